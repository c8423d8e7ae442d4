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

// legacy is what a core hands over, through its text.
func (r *rig) legacy() (l Snapshot) {
	r.t.Helper()
	var text []byte
	var err error
	if !r.Snapshot(func(l Snapshot) { text, err = json.Marshal(l) }) || err != nil {
		r.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		r.t.Fatal(err)
	}
	return l
}

// successor runs a core that goes on where another was; stop ends it.
func (r *rig) successor(from Snapshot) (next *rig, stop func()) {
	next = &rig{t: r.t, source: &fakeSource{make(chan member.List), make(chan error)}, servers: &fakeServers{sent: make(chan *exchange)}, ended: make(chan struct{})}
	next.Loop = New(Config{Module: r.config.Module, Known: list(1, true, "outdated"), Previous: &from}, next.source, next.servers, r.log)
	ctx, cancel := context.WithCancel(r.t.Context())
	go func() { next.Run(ctx); close(next.ended) }()
	return next, func() { cancel(); <-next.ended }
}

// The next process has the list as the one before was told it: changes, drains, servers that are gone, and the generation after
// which it asks on. Nothing goes to a server that drains, from its first moment on.
func TestTheListIsHandedOver(t *testing.T) {
	in(t, []string{"a", "b", "c", "d"}, func(r *rig) {
		r.source.lists <- member.List{Generation: 7, Instances: []member.Instance{
			{ID: "a", Addr: "a", Weight: 1, State: member.Draining}, {ID: "b", State: member.Removed},
			{ID: "c", Addr: "c2", Weight: 2, Zone: "z", Cell: 3, Started: time.Now()},
		}}
		synctest.Wait()
		from := r.legacy()
		if from.List.Generation != 7 || len(from.List.Instances) != 3 {
			t.Fatalf("%+v", from.List)
		}
		next, stop := r.successor(from)
		defer stop()
		if again := next.legacy(); !reflect.DeepEqual(again.List, from.List) {
			t.Errorf("%+v\n%+v", again.List, from.List)
		}
		for range 20 {
			a := next.ask(time.Now().String(), safe)
			x := <-next.servers.sent
			if x.addr != "c2" && x.addr != "d" {
				t.Errorf("sent to %q", x.addr)
			}
			x.serve()
			next.is(a, front.Served, nil)
			time.Sleep(time.Millisecond)
		}
	})
}

// An id that is open, or whose time is not up, is taken for the next process too, and free again when its time is.
func TestIDsAreHandedOver(t *testing.T) {
	in(t, []string{"a"}, func(r *rig) {
		answered := r.ask("answered", unsafe)
		(<-r.servers.sent).serve()
		r.is(answered, front.Served, nil)
		open := r.ask("open", unsafe)
		x := <-r.servers.sent
		next, stop := r.successor(r.legacy())
		defer stop()
		next.is(next.ask("open", unsafe), 0, front.ErrInUse)
		next.is(next.ask("answered", unsafe), 0, front.ErrInUse)
		x.serve()
		r.is(open, front.Served, nil)
		time.Sleep(time.Second + 2*batch)
		again := next.ask("open", unsafe)
		(<-next.servers.sent).serve()
		next.is(again, front.Served, nil)
	})
}

// What was learned goes to where its name is in the next process, and not to another's place; what has no name there is left out. A
// version that told no names is taken at its positions, unless there are others.
func TestLearnedByName(t *testing.T) {
	m := balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 1}, {Count: 2}, {Count: 3}}, Zones: map[int]float64{0: 10, 1: 11}, Kinds: map[int]float64{0: 7}}
	was := &Names{Classes: []string{"a", "b", "c"}, Zones: []string{"x", "y"}}
	for name, c := range map[string]struct {
		was  *Names
		now  Names
		want balance.Snapshot
	}{
		"another order": {was, Names{Classes: []string{"c", "a", "b"}, Zones: []string{"y", "x"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 3}, {Count: 1}, {Count: 2}}, Zones: map[int]float64{1: 10, 0: 11}, Kinds: m.Kinds}},
		"one gone, one new": {was, Names{Classes: []string{"new", "b"}, Zones: []string{"z"}, Kinds: []string{"k"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{}, {Count: 2}}, Zones: map[int]float64{}, Kinds: map[int]float64{}}},
		"no names": {nil, *was, m},
		"other rules of one": {&Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "2/0/500"}},
			Names{Classes: []string{"b", "a", "c"}, Rules: []string{"1/2/900", "0/0/500", "2/0/500"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{}, {Count: 1}, {Count: 3}}, Zones: map[int]float64{0: 10}, Kinds: m.Kinds}},
		"the same names, other rules": {&Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "2/0/500"}},
			Names{Classes: []string{"a", "b", "c"}, Rules: []string{"0/0/500", "1/2/500", "1/0/500"}},
			balance.Snapshot{Classes: []balance.ClassSnapshot{{Count: 1}, {Count: 2}, {}}, Zones: map[int]float64{0: 10}, Kinds: m.Kinds}},
		"no names, and others": {nil, Names{Classes: []string{"a"}}, balance.Snapshot{}},
	} {
		if got := placed(m, c.was, c.now); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
