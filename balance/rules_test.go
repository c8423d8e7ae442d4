package balance

import (
	"fmt"
	"math"
	"testing"
)

// What may follow the end of a first attempt, for each effect, group and result, within the
// window and after it: another send, a refusal, a failure.
func TestWhatMayFollowAnAttempt(t *testing.T) {
	for _, class := range []int{safeClass, unsafeClass, cellClass, allClass, zoneClass} {
		for _, res := range []Result{Failed, Rejected, TimedOut, ConnectFailed, Reset, Cancelled} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, res, late), func(t *testing.T) {
					followAttempt(t, class, res, late)
				})
			}
		}
	}
}

func followAttempt(t *testing.T, class int, res Result, late bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyTarget = cfg.Classes[i].Deadline // a retry is of use to the end
		cfg.Classes[i].Window = 200
	}
	g := newHarness(t, cfg, fleet(8)...)
	id, acts := g.request(class)
	first, ok := sentTo(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if g.now += 100; late {
		g.now += 200
	}
	acts = g.answer(id, 0, res, 100)
	c := cfg.Classes[class]
	mayResend := c.Effect == Safe || res.NeverRan() || c.Effect == Keyed && !late
	second, sent := sentTo(acts)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, acts)
	}
	if !sent {
		if has(acts, Reject) || !has(acts, Fail) { // a client's retry could run a second time
			t.Fatalf("refused: %+v", acts)
		}
		return
	}
	a, b := g.b.servers.byID[first], g.b.servers.byID[second]
	dirty := !res.NeverRan()
	if a == b || dirty && class == cellClass && a.Cell != b.Cell || dirty && class == zoneClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Server, a.Server)
	}
}

func TestNothingIsRejectedThatMayHaveRun(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	for _, class := range []int{unsafeClass, cellClass, zoneClass} {
		id, _ := g.request(class)
		g.now = g.b.requests.byID[id].deadline
		acts := g.handle(Timer{Token: uint64(id)})
		if has(acts, Reject) || !has(acts, Fail) {
			t.Errorf("class %d at its deadline with an attempt out: %+v", class, acts)
		}
	}
}

func TestNoTimeLeftIsAnsweredAtOnce(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	acts := g.handle(Request{ID: 1, Class: unsafeClass, Remaining: 0})
	if !has(acts, Reject) || has(acts, Send) {
		t.Fatalf("a request without time left: %+v", acts)
	}
}

// A key that may have run stays in its cell. When all servers there have been tried, waiting brings nothing: the client
// gets its answer at once, and not at its deadline.
func TestAllEligibleServersWereTried(t *testing.T) {
	servers := fleet(4)
	for i := range servers {
		servers[i].Cell = i / 2
	}
	g := newHarness(t, baseConfig(), servers...)
	id, _ := g.request(cellClass)
	g.now += 5
	if acts := g.answer(id, 0, Reset, 5); !has(acts, Send) {
		t.Fatalf("not repeated in its cell: %+v", acts)
	}
	g.now += 5
	if acts := g.answer(id, 1, Reset, 5); !has(acts, Fail) || has(acts, Send) {
		t.Fatalf("not failed at once: %+v", acts)
	}
}

func TestNoServerIsEligible(t *testing.T) {
	drained := fleet(3)
	for i := range drained {
		drained[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "draining": drained} {
		g := newHarness(t, baseConfig(), servers...)
		if _, acts := g.request(unsafeClass); has(acts, Send) || !has(acts, Reject) || len(g.b.requests.byID) != 0 {
			t.Fatalf("%s: %+v, %d requests left", name, acts, len(g.b.requests.byID))
		}
	}
}

func TestDrainingGetsNothingNew(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	gone := fleet(1)[0]
	gone.State = Draining
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{gone}})
	for range 20 {
		id, acts := g.request(safeClass)
		if s, _ := sentTo(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.answer(id, 0, OK, 10)
	}
	gone.State = Ready
	g.handle(ServerList{Kind: ListFull, Servers: []Server{gone}}) // the other is left out: it has gone
	id, acts := g.request(safeClass)
	if s, _ := sentTo(acts); s != 1 {
		t.Fatalf("sent to %d of request %d", s, id)
	}
}

func TestAttemptLimit(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	g := newHarness(t, cfg, fleet(4)...)
	id, _ := g.request(safeClass)
	if acts := g.answer(id, 0, Rejected, 1); has(acts, Send) || !has(acts, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	id, _ := g.request(unsafeClass)
	g.now = g.b.requests.byID[id].wakeAt - 1e-4
	if acts := g.handle(Timer{Token: uint64(id)}); !has(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}

// A server in its slow start was overloaded when the budget followed the requests of clients, retries included; and by many
// sidecars that each knew of few answers. Whatever their number, all together stay under the multiple.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers, perSecond int }{{4, 5, 150}, {40, 10, 15}, {300, 60, 2}} {
		cfg := baseConfig()
		cfg.SidecarCount = c.sidecars
		toCold, later := 0, 0
		for n := range c.sidecars {
			cfg.Seed, cfg.SidecarNumber = uint64(n+1), n
			servers := fleet(c.servers)
			g := newHarness(t, cfg, servers...)
			g.now += 1000 * g.b.rng.Float64() / float64(c.perSecond)
			start := g.now
			for restarted := false; g.now < start+6000; g.now += 1000 / float64(c.perSecond) {
				if !restarted && g.now >= start+3000 { // half-way one server restarts
					restarted, servers[0].StartedAt = true, g.now
					g.handle(ServerList{Kind: ListDelta, Servers: servers[:1]})
				}
				id, acts := g.request(safeClass)
				if s, ok := sentTo(acts); !ok {
					t.Fatal("nothing sent")
				} else if s == 1 && restarted && g.now < start+4000 {
					toCold++
				} else if s == 1 && restarted {
					later++
				}
				g.answer(id, 0, OK, 10)
			}
		}
		// A warm server gets its part of the traffic; one that starts can do SlowStartFraction of that and a little
		// more as it warms up, and breaks down at OverloadMultiple times what it can do.
		limit := float64(c.sidecars*c.perSecond) / float64(c.servers) * cfg.OverloadMultiple * (cfg.SlowStartFraction + 0.05)
		if later == 0 || float64(toCold) > limit {
			t.Errorf("%+v: %d sends to a server in its first second, at most %.0f wanted; %d later", c, toCold, limit, later)
		}
	}
}

// A server that lost a connection, failed again and then answers has restarted, whatever the list says. One that took
// no connection may not have: healthy servers with full tables were given a starting server's share. Nor has one that
// lost a single connection: networks and servers end some at any time.
func TestAnAnswerAfterLostConnectionsBeginsASlowStart(t *testing.T) {
	for _, c := range []struct {
		ends []Result
		cold bool
	}{
		{[]Result{Reset, ConnectFailed}, true}, {[]Result{Reset, Reset}, true}, {[]Result{Reset}, false},
		{[]Result{ConnectFailed}, false}, {[]Result{ConnectFailed, ConnectFailed}, false},
	} {
		g := newHarness(t, baseConfig(), fleet(1)...)
		s := g.b.servers.all[0]
		for _, end := range c.ends {
			id, _ := g.request(unsafeClass)
			g.answer(id, 0, end, 150)
			if rests := g.b.coolingDown(s); rests != (end == ConnectFailed) {
				t.Errorf("%v: in a cooldown: %v", c.ends, rests)
			}
			g.now += 60000
		}
		id, _ := g.request(safeClass)
		g.answer(id, 0, OK, 10)
		if g.b.warmingUp(s) != c.cold {
			t.Errorf("%v: warming up %v", c.ends, !c.cold)
		}
	}
}

// Once a streamed answer has begun the client owns it: no deadline, no repeat, no answer of ours.
func TestStartedStreamIsLeftAlone(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].Stream = true
	g := newHarness(t, cfg, fleet(3)...)
	id, acts := g.request(safeClass)
	s, _ := sentTo(acts)
	g.handle(ResponseStarted{Request: id, Server: s, Latency: 20})
	g.now += 5000
	if acts := g.handle(Timer{Token: uint64(id)}); has(acts, Fail) || has(acts, Reject) || has(acts, Send) {
		t.Fatalf("a running stream got %+v", acts)
	}
	g.handle(Outcome{Request: id, Server: s, Result: Reset, Latency: 5000, Finished: true})
	if len(g.b.requests.byID) != 0 {
		t.Fatal("an ended stream is remembered")
	}
}

// Failed list calls keep the old list and are made again, ever later, within the limit.
func TestListCallsBackOff(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	g := newHarness(t, cfg, fleet(3)...)
	if !has(g.actions, WatchList) {
		t.Fatal("not subscribed at once")
	}
	var pauses []float64
	for range 6 {
		acts := g.handle(ServerList{Kind: ListFailed})
		if len(acts) != 1 || acts[0].Token != listTimer || acts[0].After > cfg.MaxPollInterval/3 {
			t.Fatalf("after a failed call: %+v", acts)
		}
		pauses = append(pauses, acts[0].After)
		g.now += acts[0].After
		if !has(g.handle(Timer{Token: listTimer}), WatchList) {
			t.Fatal("not subscribed again")
		}
	}
	if pauses[5] < 2*pauses[0] || len(g.b.servers.all) != 3 {
		t.Fatalf("pauses %v, %d servers", pauses, len(g.b.servers.all))
	}
}

// Where lists are pushed, what the agent has counts as known to the sidecar: it subscribes again well within the grace
// for drains, however often it has failed, and not without a pause.
func TestAFailedSubscriptionIsRetriedSoon(t *testing.T) {
	for _, grace := range []float64{0, 250, 2500, 1e6} {
		cfg := baseConfig()
		cfg.Subscribe, cfg.DrainGrace = false, grace
		g := newHarness(t, cfg, fleet(3)...)
		for range 9 {
			acts := g.handle(ServerList{Kind: ListFailed})
			if len(acts) != 1 || acts[0].After < pushedPollBackoff/2 || acts[0].After > math.Max(pushedPollBackoff, math.Min(grace/10, pollBackoff)) {
				t.Fatalf("grace %v: %+v", grace, acts)
			}
			g.now += acts[0].After
			if !has(g.handle(Timer{Token: listTimer}), WatchList) {
				t.Fatal("not subscribed again")
			}
		}
	}
}

// Answers assumed for small sidecars counted in the budget of starting servers too, and together
// they overloaded one. A sidecar that has seen no answers may hardly send anything to such a server.
func TestAssumedAnswersGiveNoSlowStartBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	entry := g.b.servers.all[0].Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	g.now += 2000
	g.request(safeClass) // sets the weights
	s := g.b.servers.all[0]
	s.Tokens, s.TokensAt = 0, g.now-2000
	if g.b.slowStartBudget(s); s.Tokens > 0.2 { // with ten assumed: 1
		t.Fatalf("%.2f sends in two seconds", s.Tokens)
	}
	g.b.traffic.answerRate.count(g.b, 400) // of two hundred answers a second it may have its part
	s.Tokens, s.TokensAt = 0, g.now-2000
	if g.b.slowStartBudget(s); s.Tokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy sidecar", s.Tokens)
	}
}

// All other servers failed, and every sidecar's retries went to the one that had just started, as it had no errors.
func TestRetriesKeepTheSlowStartBudget(t *testing.T) {
	toCold, limit := 0, 0.0
	const sidecars, requests = 40, 20
	for n := range sidecars {
		cfg := baseConfig()
		cfg.Seed = uint64(n + 1)
		g := newHarness(t, cfg, fleet(5)...)
		entry := g.b.servers.all[0].Server
		entry.StartedAt = g.now
		g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
		for range requests {
			id, acts := g.request(safeClass)
			for i := 0; ; i++ {
				s, ok := sentTo(acts)
				if !ok {
					break
				}
				if s == 1 {
					toCold++
				}
				g.now++
				acts = g.answer(id, i, Failed, 1)
			}
			g.now += 50
		}
	}
	// In this second a warm server's part of the requests is a fifth.
	limit = sidecars * requests / 5 * 2.5 * (0.2 + 0.05)
	if float64(toCold) > limit {
		t.Fatalf("%d sends to the starting server, at most %.0f wanted", toCold, limit)
	}
}

// A rejected client gets the time for its retry: later in overload, never past what clients obey, and not at all
// where the settings do not allow it.
func TestRejectedClientsGetARetryTime(t *testing.T) {
	for _, c := range []struct {
		over, most float64
		allowed    bool
		want       float64
	}{
		{-0.3, 1000, true, 15}, {0.1, 1000, true, 30}, {1.2, 1000, true, 75}, {0.5, 20, true, 20}, {0.1, 0, true, 30}, {0.5, 1000, false, 0},
	} {
		cfg := baseConfig()
		cfg.MaxRetryAfter, cfg.RetryAfter = c.most, c.allowed
		g := newHarness(t, cfg, fleet(2)...)
		_, _ = g.request(safeClass)
		g.b.shedding.excess = c.over
		g.b.actions = g.b.actions[:0]
		for _, r := range g.b.requests.byID {
			g.b.answerUnserved(r)
		}
		for _, a := range g.b.actions {
			if a.Kind == Reject && math.Abs(a.After-c.want) > 1e-9 {
				t.Errorf("%+v: %v", c, a.After)
			}
		}
		if !has(g.b.actions, Reject) {
			t.Errorf("%+v: no refusal", c)
		}
	}
}
