package balance

import (
	"encoding/json"
	"reflect"
	"testing"
)

// learnedHarness returns a balancer that has served for some seconds, with a failing server, a slow one and one that warms up.
func learnedHarness(t *testing.T) *harness {
	g := newHarness(t, baseConfig(), fleet(5)...)
	for i := range 400 {
		g.now += 20
		id, acts := g.request(i % 3)
		to, sent := sentTo(acts)
		if !sent {
			continue
		}
		switch {
		case to == 2 && i < 200:
			g.answer(id, 0, Reset, 5)
			for _, a := range g.actions {
				if r := g.b.requests.byID[id]; a.Kind == Send && a.Request == id && r != nil && len(r.attempts) > 1 && r.attempts[1].live {
					g.answer(id, 1, OK, 20)
				}
			}
		case to == 3:
			g.answer(id, 0, OK, 90)
		default:
			g.answer(id, 0, OK, 20)
		}
	}
	list := fleet(5)
	list[4].StartedAt = g.now - 100
	g.handle(ServerList{Kind: ListFull, Servers: list})
	return g
}

// The next process continues as the previous one would have: it makes the same choices for the same events, also after the
// snapshot was encoded and decoded.
func TestRestoreContinues(t *testing.T) {
	g := learnedHarness(t)
	encoded, err := json.Marshal(g.b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil {
		t.Fatal(err)
	}
	list := fleet(5)
	list[4].StartedAt = g.now - 100
	next := &harness{t: t, b: New(baseConfig()), now: g.now, next: g.next}
	next.b.Start(next.now)
	next.handle(ServerList{Kind: ListCached, Servers: list})
	next.b.Restore(snapshot)
	if !reflect.DeepEqual(next.b.Snapshot(), g.b.Snapshot()) {
		t.Errorf("%+v\n%+v", next.b.Snapshot(), g.b.Snapshot())
	}
	for i := range 300 {
		g.now, next.now = g.now+15, next.now+15
		id, acts := g.request(i % 3)
		_, nextActs := next.request(i % 3)
		to, _ := sentTo(acts)
		if nextTo, _ := sentTo(nextActs); to != nextTo {
			t.Fatalf("request %d: to %d, the next process to %d", i, to, nextTo)
		}
		if to != 0 {
			g.answer(id, 0, OK, 25)
			next.answer(id, 0, OK, 25)
		}
	}
}

// A server in its slow start has one budget over all processes: tokens that the previous process used stay used, and a server of
// whose restart only that process knows is also warming up for the next one.
func TestAServerInItsSlowStartHasOneBudget(t *testing.T) {
	g := learnedHarness(t)
	s := g.b.servers.byID[1]
	g.b.beginSlowStart(s, g.now)
	s.Tokens = 0
	next := &harness{t: t, b: New(baseConfig()), now: g.now}
	next.b.Start(next.now)
	next.handle(ServerList{Kind: ListCached, Servers: fleet(5)})
	if next.b.warmingUp(next.b.servers.byID[1]) {
		t.Fatal("warming up without a restart")
	}
	next.b.Restore(g.b.Snapshot())
	if one := next.b.servers.byID[1]; !next.b.warmingUp(one) || one.Tokens != 0 || one.SlowStartAt != g.now {
		t.Errorf("%+v", one)
	}
}

// Restore ignores servers that are not listed and classes that the process does not have.
func TestASnapshotThatDoesNotFit(t *testing.T) {
	g := learnedHarness(t)
	cfg := baseConfig()
	cfg.Classes = cfg.Classes[:1]
	next := New(cfg)
	next.Start(g.now)
	next.Handle(g.now, ServerList{Kind: ListCached, Servers: fleet(2)})
	next.Restore(g.b.Snapshot())
	if len(next.servers.all) != 2 || len(next.traffic.classes) != 1 {
		t.Errorf("%d servers, %d classes", len(next.servers.all), len(next.traffic.classes))
	}
	if acts, err := next.Handle(g.now, Request{ID: 1, Remaining: 1500}); err != nil || !has(acts, Send) {
		t.Errorf("%+v, %v", acts, err)
	}
}
