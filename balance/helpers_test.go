package balance

import "testing"

// harness drives one balancer by a script of events and records its actions.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     float64
	actions []Action
	next    RequestID
}

func baseConfig() Config {
	return Config{
		Seed: 1, SidecarCount: 3, MaxAttempts: 4, Parallel: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 1000,
		BatchInterval: 4, AnswerSlack: 16, SlowStartFraction: 0.2, SlowStartTime: 20000, OverloadMultiple: 2.5, OverloadTime: 1000,
		MaxPollInterval: 10000, DrainGrace: 2000,
		Classes: []Class{
			{Effect: Safe, LatencyTarget: 300, Deadline: 1500, Value: 1},
			{Effect: Unsafe, LatencyTarget: 300, Deadline: 600, Value: 5},
			{Effect: Keyed, Group: GroupCell, Window: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
			{Effect: Keyed, Group: GroupAll, Window: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
			{Effect: Keyed, Group: GroupZone, Window: 1200, LatencyTarget: 400, Deadline: 2000, Value: 3},
		},
	}
}

const (
	safeClass = iota
	unsafeClass
	cellClass
	allClass
	zoneClass
)

func newHarness(t *testing.T, cfg Config, servers ...Server) *harness {
	g := &harness{t: t, b: New(cfg), now: 1000}
	g.actions = append(g.actions, g.b.Start(g.now)...)
	g.handle(ServerList{Kind: ListCached, Servers: servers})
	for _, s := range g.b.servers.all {
		s.currentWeight = 0 // a random initial weight would change the sequence
	}
	return g
}

// fleet returns n similar servers with IDs from 1, two to a cell, four to a zone.
func fleet(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: ServerID(i + 1), Capacity: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

func (g *harness) handle(ev Event) []Action {
	g.t.Helper()
	acts, err := g.b.Handle(g.now, ev)
	if err != nil {
		g.t.Fatalf("%#v: %v", ev, err)
	}
	acts = append([]Action(nil), acts...)
	g.actions = append(g.actions, acts...)
	return acts
}

// request hands in a request of a class and returns its ID and the immediate actions.
func (g *harness) request(class int) (RequestID, []Action) {
	g.t.Helper()
	g.next++
	return g.next, g.handle(Request{ID: g.next, Class: class, Remaining: g.b.cfg.Classes[class].Deadline})
}

// answer ends an attempt with a result and returns the actions that follow.
func (g *harness) answer(id RequestID, attempt int, res Result, took float64) []Action {
	g.t.Helper()
	s := g.b.requests.byID[id].attempts[attempt].server
	done := res == OK || g.b.requests.byID[id].done
	return g.handle(Outcome{Request: id, Attempt: attempt, Server: s.ID, Result: res, Latency: took, Finished: done})
}

func sentTo(acts []Action) (ServerID, bool) {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Server, true
		}
	}
	return 0, false
}

func has(acts []Action, kind ActionKind) bool {
	for _, a := range acts {
		if a.Kind == kind {
			return true
		}
	}
	return false
}
