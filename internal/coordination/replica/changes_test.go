package replica

import (
	"bytes"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/share"
)

// Changes of releases are in the log, and in the snapshots that stand for it: a replica that begins from one of them alone has them.
func TestChangesAreInSnapshots(t *testing.T) {
	var last *pb.Snapshot
	begin := func(k *PersistedState) (*Core, func()) {
		c, err := New(Options{ID: 1, Rand: func(int) int { return 0 }, SnapshotEvery: 1, CatchUpEntries: 1}, k)
		if err != nil {
			t.Fatal(err)
		}
		pump := func() {
			for w, ok := c.Ready(); ok; w, ok = c.Ready() {
				own, _, err := c.Advance(w, 0)
				if err != nil {
					t.Fatal(err)
				}
				if own != nil {
					last = own
				}
			}
		}
		for range 2 * ElectionTicks {
			c.Tick(0)
			pump()
		}
		return c, pump
	}
	kept := func(c *Core, pump func()) (text []byte) {
		c.Submit(Request{Read: true, Done: func(r Response) { text = r.Rollouts.Application("app", false) }})
		pump()
		return text
	}
	c, pump := begin(InitialState([]Member{{ID: 1}}, lease.NewState()))
	start := &rollout.Start{Plan: rollout.Plan{From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, EvidenceTimeout: 1, Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}},
		Members: []rollout.Member{{Name: "n0"}}, Reports: []rollout.Report{{Sidecar: "n0", Release: "old", Ready: true}}}
	var a rollout.Response
	c.Submit(Request{Rollout: &rollout.Command{Application: "app", Change: "c", Start: start}, Done: func(r Response) { a = r.Rollout }})
	pump()
	limit := share.Limit{Name: "l", Units: 3, Period: time.Second, Members: 1}
	c.Submit(Request{Limit: &share.Command{Set: limit}, Done: func(Response) {}})
	pump()
	versions := func(c *Core, pump func()) (v distribute.Version) {
		c.Submit(Request{Read: true, Done: func(r Response) { v, _ = r.Versions.Newest("svc") }})
		pump()
		return v
	}
	var published distribute.Answer
	c.TakeChangedServices()
	c.Submit(Request{Publish: &distribute.Command{Service: "svc", Above: 41, Content: []byte(`{"discovery": "<127.0.0.1:1>"}`)},
		Done: func(r Response) { published = r.Published }})
	pump()
	newest := versions(c, pump)
	if changed := c.TakeChangedServices(); published.Revision != 42 || newest.Revision != 42 || len(changed.Names) != 1 || changed.Names[0] != "svc" {
		t.Fatalf("%+v, %+v, %+v", published, newest, changed)
	}
	was := kept(c, pump)
	if a.Error != "" || len(was) == 0 {
		t.Fatalf("%+v: %s", a, was)
	}
	again, pump := begin(&PersistedState{HardState: InitialState(nil, lease.NewState()).HardState, Snapshot: last})
	if is := kept(again, pump); !bytes.Equal(is, was) {
		t.Errorf("%s\nwas %s", is, was)
	}
	if changed := again.TakeChangedServices(); !changed.All {
		t.Error("what a snapshot brings is not told")
	}
	if is := versions(again, pump); is.Revision != 42 || is.Digest != newest.Digest || !bytes.Equal(is.Content, newest.Content) {
		t.Errorf("%+v, was %+v", is, newest)
	}
	var standings []share.LimitStatus
	again.Submit(Request{Read: true, Done: func(r Response) { standings = r.LimitStatuses() }})
	if pump(); len(standings) != 1 || standings[0].Limit != limit {
		t.Errorf("%+v", standings)
	}
}
