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

// A replica that starts from a snapshot alone has the rolling changes, limits and versions that were in the log.
func TestChangesAreInSnapshots(t *testing.T) {
	var lastSnapshot *pb.Snapshot
	start := func(persisted *PersistedState) (*Core, func()) {
		c, err := New(Options{ID: 1, Rand: func(int) int { return 0 }, SnapshotEvery: 1, CatchUpEntries: 1}, persisted)
		if err != nil {
			t.Fatal(err)
		}
		processReady := func() {
			for ready, ok := c.Ready(); ok; ready, ok = c.Ready() {
				created, _, err := c.Advance(ready, 0)
				if err != nil {
					t.Fatal(err)
				}
				if created != nil {
					lastSnapshot = created
				}
			}
		}
		for range 2 * ElectionTicks {
			c.Tick(0)
			processReady()
		}
		return c, processReady
	}
	readApplication := func(c *Core, processReady func()) (text []byte) {
		c.Submit(Request{Read: true, Done: func(r Response) { text = r.Rollouts.Application("app", false) }})
		processReady()
		return text
	}
	c, processReady := start(InitialState([]Member{{ID: 1}}, lease.NewState()))
	startChange := &rollout.Start{Plan: rollout.Plan{From: "old", To: "new", MaxConcurrent: 1, MaxUnavailable: 1, ProgressTimeout: 1, Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 1}}}},
		Members: []rollout.Member{{Name: "n0"}}, Reports: []rollout.Report{{Sidecar: "n0", Release: "old", Ready: true}}}
	var answer rollout.Response
	c.Submit(Request{Rollout: &rollout.Command{Application: "app", Change: "c", Start: startChange}, Done: func(r Response) { answer = r.Rollout }})
	processReady()
	limit := share.Limit{Name: "l", Units: 3, Period: time.Second, Members: 1}
	c.Submit(Request{Limit: &share.Command{Set: limit}, Done: func(Response) {}})
	processReady()
	readNewestVersion := func(c *Core, processReady func()) (v distribute.Version) {
		c.Submit(Request{Read: true, Done: func(r Response) { v, _ = r.Versions.Newest("svc") }})
		processReady()
		return v
	}
	var published distribute.Answer
	c.TakeChangedServices()
	c.Submit(Request{Publish: &distribute.Command{Service: "svc", Above: 41, Content: []byte(`{"discovery": "<127.0.0.1:1>"}`)},
		Done: func(r Response) { published = r.Published }})
	processReady()
	newest := readNewestVersion(c, processReady)
	if changed := c.TakeChangedServices(); published.Revision != 42 || newest.Revision != 42 || len(changed.Names) != 1 || changed.Names[0] != "svc" {
		t.Fatalf("%+v, %+v, %+v", published, newest, changed)
	}
	recorded := readApplication(c, processReady)
	if answer.Error != "" || len(recorded) == 0 {
		t.Fatalf("%+v: %s", answer, recorded)
	}
	restarted, processReady := start(&PersistedState{HardState: InitialState(nil, lease.NewState()).HardState, Snapshot: lastSnapshot})
	if restored := readApplication(restarted, processReady); !bytes.Equal(restored, recorded) {
		t.Errorf("%s\nwas %s", restored, recorded)
	}
	if changed := restarted.TakeChangedServices(); !changed.All {
		t.Error("a restored snapshot does not report that all services may have changed")
	}
	if restored := readNewestVersion(restarted, processReady); restored.Revision != 42 || restored.Digest != newest.Digest || !bytes.Equal(restored.Content, newest.Content) {
		t.Errorf("%+v, was %+v", restored, newest)
	}
	var statuses []share.LimitStatus
	restarted.Submit(Request{Read: true, Done: func(r Response) { statuses = r.LimitStatuses() }})
	if processReady(); len(statuses) != 1 || statuses[0].Limit != limit {
		t.Errorf("%+v", statuses)
	}
}
