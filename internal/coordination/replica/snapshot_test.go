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

// Rolling changes, limits and versions are in the log and in the snapshots that replace it: a replica that starts from a snapshot alone has
// them.
func TestChangesAreInSnapshots(t *testing.T) {
	var last *pb.Snapshot
	start := func(persisted *PersistedState) (*Core, func()) {
		c, err := New(Options{ID: 1, Rand: func(int) int { return 0 }, SnapshotEvery: 1, CatchUpEntries: 1}, persisted)
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
	application := func(c *Core, pump func()) (text []byte) {
		c.Submit(Request{Read: true, Done: func(r Response) { text = r.Rollouts.Application("app", false) }})
		pump()
		return text
	}
	c, pump := start(InitialState([]Member{{ID: 1}}, lease.NewState()))
	change := &rollout.Start{Plan: rollout.Plan{From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, ProgressTimeout: 1, Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}},
		Members: []rollout.Member{{Name: "n0"}}, Reports: []rollout.Report{{Sidecar: "n0", Release: "old", Ready: true}}}
	var answer rollout.Response
	c.Submit(Request{Rollout: &rollout.Command{Application: "app", Change: "c", Start: change}, Done: func(r Response) { answer = r.Rollout }})
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
	recorded := application(c, pump)
	if answer.Error != "" || len(recorded) == 0 {
		t.Fatalf("%+v: %s", answer, recorded)
	}
	restarted, pump := start(&PersistedState{HardState: InitialState(nil, lease.NewState()).HardState, Snapshot: last})
	if restored := application(restarted, pump); !bytes.Equal(restored, recorded) {
		t.Errorf("%s\nwas %s", restored, recorded)
	}
	if changed := restarted.TakeChangedServices(); !changed.All {
		t.Error("a restored snapshot does not report that all services may have changed")
	}
	if restored := versions(restarted, pump); restored.Revision != 42 || restored.Digest != newest.Digest || !bytes.Equal(restored.Content, newest.Content) {
		t.Errorf("%+v, was %+v", restored, newest)
	}
	var statuses []share.LimitStatus
	restarted.Submit(Request{Read: true, Done: func(r Response) { statuses = r.LimitStatuses() }})
	if pump(); len(statuses) != 1 || statuses[0].Limit != limit {
		t.Errorf("%+v", statuses)
	}
}
