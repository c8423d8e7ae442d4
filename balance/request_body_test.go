package balance

import "testing"

// requestWithOpenBody hands in a request of a class whose body is still arriving.
func (g *harness) requestWithOpenBody(class int) (RequestID, []Action) {
	g.t.Helper()
	g.next++
	return g.next, g.handle(Request{ID: g.next, Class: class, Remaining: g.b.cfg.Classes[class].Deadline, BodyOpen: true})
}

// However long a body takes to arrive, its request is not late, no error of its server is counted, and the fleet does not count
// as overloaded. The time limits begin with the last byte.
func TestABodyThatTakesLong(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	id, acts := g.requestWithOpenBody(safeClass)
	to, sent := sentTo(acts)
	if !sent || has(acts, SetTimer) {
		t.Fatalf("%+v", acts)
	}
	s := g.b.servers.byID[to]
	g.now += 60_000
	if acts := g.handle(Timer{Token: uint64(id)}); len(acts) != 0 {
		t.Errorf("after a minute: %+v", acts)
	}
	if s.Errors != 0 || s.weightedLoad != 0 || s.inFlight != 0 {
		t.Errorf("an error or load of the server is counted: %+v", s)
	}
	if acts = g.handle(BodySent{Request: id}); !has(acts, SetTimer) || s.inFlight != 1 || s.weightedLoad == 0 {
		t.Errorf("after the last byte: %+v, in flight %d", acts, s.inFlight)
	}
	if again := g.handle(BodySent{Request: id}); len(again) != 0 || s.inFlight != 1 {
		t.Errorf("after a second BodySent: %+v", again)
	}
	g.now += g.b.cfg.Classes[safeClass].Deadline + 1
	if acts = g.handle(Timer{Token: uint64(id)}); !has(acts, Reject) {
		t.Errorf("at its deadline: %+v", acts)
	}
	g.answer(id, 0, TimedOut, g.b.cfg.Classes[safeClass].Deadline)
	if s.weightedLoad != 0 || s.inFlight != 0 || len(g.b.requests.byID) != 0 {
		t.Errorf("afterwards: load %v, %d in flight, %d requests", s.weightedLoad, s.inFlight, len(g.b.requests.byID))
	}
}

// An attempt that ends before the last byte has not run, whatever the class. The request is retried while its body can be sent
// again. Otherwise it is answered at once, with a rejection, as nothing ran.
func TestAConsumedBody(t *testing.T) {
	for class := range baseConfig().Classes {
		g := newHarness(t, baseConfig(), fleet(4)...)
		id, acts := g.requestWithOpenBody(class)
		first, _ := sentTo(acts)
		g.now += 5
		acts = g.answer(id, 0, ConnectFailed, 5)
		second, sent := sentTo(acts)
		if !sent || second == first {
			t.Fatalf("class %d: not retried at another server though the body can be sent again: %+v", class, acts)
		}
		g.now += 5
		if acts = g.handle(Outcome{Request: id, Attempt: 1, Server: second, Result: ConnectFailed, Latency: 5, BodyConsumed: true}); !has(acts, Reject) || has(acts, Send) {
			t.Errorf("class %d: not rejected after its body was consumed: %+v", class, acts)
		}
		for _, s := range g.b.servers.all {
			if s.inFlight != 0 || s.weightedLoad != 0 {
				t.Errorf("class %d: %+v", class, s)
			}
		}
	}
}

// A request that may have run and cannot be sent again fails if a client's retry might do harm; otherwise it is rejected.
func TestAConsumedBodyThatMayHaveRun(t *testing.T) {
	for class, want := range map[int]ActionKind{safeClass: Reject, unsafeClass: Fail, cellClass: Fail, allClass: Reject} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		id, acts := g.requestWithOpenBody(class)
		to, _ := sentTo(acts)
		g.handle(BodySent{Request: id})
		g.now += 20
		if acts = g.handle(Outcome{Request: id, Server: to, Result: Reset, Latency: 20, BodyConsumed: true}); !has(acts, want) || has(acts, Send) {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}
