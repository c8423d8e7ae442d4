package balance

import "testing"

// open brings a request of a class whose body is still coming.
func (g *harness) open(class int) (RequestID, []Action) {
	g.t.Helper()
	g.next++
	return g.next, g.handle(Request{ID: g.next, Class: class, Remaining: g.b.cfg.Classes[class].Deadline, BodyOpen: true})
}

// However long a body takes to come, its request is not late, no fault of its server is counted, and the fleet is not taken to be full.
// Its time begins with the last byte.
func TestABodyThatTakesLong(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	id, acts := g.open(safeClass)
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
		t.Errorf("a fault or load of the server is counted: %+v", s)
	}
	if acts = g.handle(BodySent{Request: id}); !has(acts, SetTimer) || s.inFlight != 1 || s.weightedLoad == 0 {
		t.Errorf("its time begins: %+v, in flight %d", acts, s.inFlight)
	}
	if again := g.handle(BodySent{Request: id}); len(again) != 0 || s.inFlight != 1 {
		t.Errorf("twice: %+v", again)
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

// Before the last byte an attempt that ends has not run, of any class. It is made again while the body can be sent again,
// and else answered at once: refused, for nothing ran.
func TestAConsumedBody(t *testing.T) {
	for class := range baseConfig().Classes {
		g := newHarness(t, baseConfig(), fleet(4)...)
		id, acts := g.open(class)
		first, _ := sentTo(acts)
		g.now += 5
		acts = g.answer(id, 0, ConnectFailed, 5)
		second, sent := sentTo(acts)
		if !sent || second == first {
			t.Fatalf("class %d: the body is complete, and it goes to another: %+v", class, acts)
		}
		g.now += 5
		if acts = g.handle(Outcome{Request: id, Attempt: 1, Server: second, Result: ConnectFailed, Latency: 5, BodyConsumed: true}); !has(acts, Reject) || has(acts, Send) {
			t.Errorf("class %d: the body is gone: %+v", class, acts)
		}
		for _, s := range g.b.servers.all {
			if s.inFlight != 0 || s.weightedLoad != 0 {
				t.Errorf("class %d: %+v", class, s)
			}
		}
	}
}

// What may have run and cannot be sent again is failed where a client's retry might do harm, and refused where it cannot.
func TestAConsumedBodyThatMayHaveRun(t *testing.T) {
	for class, want := range map[int]ActionKind{safeClass: Reject, unsafeClass: Fail, cellClass: Fail, allClass: Reject} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		id, acts := g.open(class)
		to, _ := sentTo(acts)
		g.handle(BodySent{Request: id})
		g.now += 20
		if acts = g.handle(Outcome{Request: id, Server: to, Result: Reset, Latency: 20, BodyConsumed: true}); !has(acts, want) || has(acts, Send) {
			t.Errorf("class %d: %+v", class, acts)
		}
	}
}
