package core

import (
	"context"
	"encoding/json"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/member"
)

// snapshot returns the snapshot that a core hands over, after encoding and decoding it.
func (core *testCore) snapshot() (decoded Snapshot) {
	core.t.Helper()
	var text []byte
	var err error
	if !core.Snapshot(func(s Snapshot) { text, err = json.Marshal(s) }) || err != nil {
		core.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		core.t.Fatal(err)
	}
	return decoded
}

// successor starts a core that restores the snapshot of another core, and returns it with a function that stops it.
func (core *testCore) successor(from Snapshot) (next *testCore, stop func()) {
	core.t.Helper()
	next = &testCore{
		t: core.t, source: &fakeSource{make(chan member.List), make(chan error)}, servers: &fakeServers{sent: make(chan *exchange)},
		stopped: make(chan struct{}),
	}
	next.Loop = New(Config{Module: core.config.Module, Known: completeList(1, "outdated"), Previous: &from}, next.source, next.servers, core.log)
	ctx, cancel := context.WithCancel(core.t.Context())
	go func() { next.Run(ctx); close(next.stopped) }()
	return next, func() { cancel(); <-next.stopped }
}

// The next process starts with the server list of the previous process and the generation of that list. The list includes changed,
// draining and removed servers. The next process sends no request to a draining server, not even its first request.
func TestServerListIsHandedOver(t *testing.T) {
	withCore(t, []string{"a", "b", "c", "d"}, func(core *testCore) {
		core.source.lists <- member.List{Generation: 7, Instances: []member.Instance{
			{ID: "a", Addr: "a", Weight: 1, State: member.Draining}, {ID: "b", State: member.Removed},
			{ID: "c", Addr: "c2", Weight: 2, Zone: "z", Cell: 3, Started: time.Now()},
		}}
		synctest.Wait()
		from := core.snapshot()
		if from.List.Generation != 7 || len(from.List.Instances) != 3 {
			t.Fatalf("the list in the snapshot is %+v; want generation 7 and 3 servers", from.List)
		}
		next, stop := core.successor(from)
		defer stop()
		if again := next.snapshot(); !reflect.DeepEqual(again.List, from.List) {
			t.Errorf("the next core has the list\n%+v\nwant\n%+v", again.List, from.List)
		}
		for range 20 {
			pending := next.request(time.Now().String(), safe) // the time serves as a unique id
			x := <-next.servers.sent
			if x.addr != "c2" && x.addr != "d" {
				t.Errorf("sent to %q", x.addr)
			}
			x.serve()
			next.expect(pending, front.Served, nil)
			time.Sleep(time.Millisecond)
		}
	})
}

// The next process, too, reserves the id of each request that is open or was answered, until the deadline of that request.
func TestIDsAreHandedOver(t *testing.T) {
	withCore(t, []string{"a"}, func(core *testCore) {
		answered := core.request("answered", unsafe)
		(<-core.servers.sent).serve()
		core.expect(answered, front.Served, nil)
		open := core.request("open", unsafe)
		x := <-core.servers.sent
		next, stop := core.successor(core.snapshot())
		defer stop()
		next.expect(next.request("open", unsafe), 0, front.ErrInUse)
		next.expect(next.request("answered", unsafe), 0, front.ErrInUse)
		x.serve()
		core.expect(open, front.Served, nil)
		time.Sleep(time.Second + 2*batchInterval)
		again := next.request("open", unsafe)
		(<-next.servers.sent).serve()
		next.expect(again, front.Served, nil)
	})
}

// Learned statistics are stored by the position of their class, zone or kind. The next process moves them to the position that the
// same name has there. It drops them if it does not have the name, or if the rules of the class differ. If the previous version
// recorded no names, the positions are kept if the number of classes is the same; otherwise everything is dropped.
func TestLearnedByName(t *testing.T) {
	learned := balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 1}, {Count: 2}, {Count: 3}}, Zones: map[int]float64{0: 10, 1: 11}, Kinds: map[int]float64{0: 7}}
	previous := &Names{Classes: []string{"a", "b", "c"}, Zones: []string{"x", "y"}}
	for name, c := range map[string]struct {
		previous *Names
		current  Names
		want     balance.Snapshot
	}{
		"another order": {previous, Names{Classes: []string{"c", "a", "b"}, Zones: []string{"y", "x"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 3}, {Count: 1}, {Count: 2}}, Zones: map[int]float64{1: 10, 0: 11}, Kinds: learned.Kinds}},
		"one gone, one new": {previous, Names{Classes: []string{"new", "b"}, Zones: []string{"z"}, Kinds: []string{"k"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{}, {Count: 2}}, Zones: map[int]float64{}, Kinds: map[int]float64{}}},
		"no names": {nil, *previous, learned},
		"another order, changed rules of one class": {&Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "2/0/500"}},
			Names{Classes: []string{"b", "a", "c"}, Rules: []string{"1/2/900", "0/0/500", "2/0/500"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{}, {Count: 1}, {Count: 3}}, Zones: map[int]float64{0: 10}, Kinds: learned.Kinds}},
		"same names, changed rules of one class": {&Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "2/0/500"}},
			Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "1/0/500"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 1}, {Count: 2}, {}}, Zones: map[int]float64{0: 10}, Kinds: learned.Kinds}},
		"no names, another number of classes": {nil, Names{Classes: []string{"a"}}, balance.Snapshot{}},
	} {
		if got := remapSnapshot(learned, c.previous, c.current); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
