package balance

import (
	"encoding/json"
	"reflect"
	"testing"
)

// trainedHarness returns a harness whose balancer has received 400 requests in 8 s: server 2 failed during the first half, server 3
// is slow, and server 5 has restarted and warms up.
func trainedHarness(t *testing.T) *harness {
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
			for _, a := range g.actions { // a second attempt, if there is one, succeeds
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

// A balancer that is restored from an encoded snapshot chooses the same servers for the same requests as the balancer that the
// snapshot was taken of.
func TestRestoreContinues(t *testing.T) {
	g := trainedHarness(t)
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
	restored := &harness{t: t, b: New(baseConfig()), now: g.now, next: g.next}
	restored.b.Start(restored.now)
	restored.handle(ServerList{Kind: ListCached, Servers: list})
	restored.b.Restore(snapshot)
	if !reflect.DeepEqual(restored.b.Snapshot(), g.b.Snapshot()) {
		t.Errorf("the snapshot after the restore differs:\n%+v\nwant\n%+v", restored.b.Snapshot(), g.b.Snapshot())
	}
	for i := range 300 {
		g.now, restored.now = g.now+15, restored.now+15
		id, acts := g.request(i % 3)
		_, restoredActs := restored.request(i % 3)
		to, _ := sentTo(acts)
		if restoredTo, _ := sentTo(restoredActs); to != restoredTo {
			t.Fatalf("request %d: the balancer chose server %d, the restored one server %d", i, to, restoredTo)
		}
		if to != 0 {
			g.answer(id, 0, OK, 25)
			restored.answer(id, 0, OK, 25)
		}
	}
}

// The budget of a server in its slow start carries over to the next process. Tokens that the previous process used are not available
// again, and a server warms up in the next process even if only the previous process knows of its restart.
func TestAServerInItsSlowStartHasOneBudget(t *testing.T) {
	g := trainedHarness(t)
	s := g.b.servers.byID[1]
	g.b.beginSlowStart(s, g.now)
	s.Tokens = 0
	restored := &harness{t: t, b: New(baseConfig()), now: g.now}
	restored.b.Start(restored.now)
	restored.handle(ServerList{Kind: ListCached, Servers: fleet(5)})
	if restored.b.warmingUp(restored.b.servers.byID[1]) {
		t.Fatal("the server warms up before the snapshot is restored")
	}
	restored.b.Restore(g.b.Snapshot())
	if restoredServer := restored.b.servers.byID[1]; !restored.b.warmingUp(restoredServer) || restoredServer.Tokens != 0 || restoredServer.SlowStartAt != g.now {
		t.Errorf("%+v", restoredServer)
	}
}

// Restore ignores servers that are not listed and classes that the process does not have.
func TestRestoreIgnoresUnknownServersAndClasses(t *testing.T) {
	g := trainedHarness(t)
	cfg := baseConfig()
	cfg.Classes = cfg.Classes[:1]
	restored := New(cfg)
	restored.Start(g.now)
	restored.Handle(g.now, ServerList{Kind: ListCached, Servers: fleet(2)})
	restored.Restore(g.b.Snapshot())
	if len(restored.servers.all) != 2 || len(restored.traffic.classes) != 1 {
		t.Errorf("%d servers, %d classes", len(restored.servers.all), len(restored.traffic.classes))
	}
	if acts, err := restored.Handle(g.now, Request{ID: 1, Remaining: 1500}); err != nil || !has(acts, Send) {
		t.Errorf("%+v, %v", acts, err)
	}
}
