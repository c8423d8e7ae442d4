package balance

import (
	"fmt"
	"math"
	"testing"
)

// The end of a first attempt is followed by another send, a rejection or a failure as the rules allow, for each
// effect, group and result, within the window and after it.
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

// followAttempt ends a first attempt with a result, within the window of its key or late, and checks the actions.
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
			t.Fatalf("rejected or not failed: %+v", acts)
		}
		return
	}
	a, b := g.b.servers.byID[first], g.b.servers.byID[second]
	mayHaveRun := !res.NeverRan()
	if a == b || mayHaveRun && class == cellClass && a.Cell != b.Cell || mayHaveRun && class == zoneClass && a.Zone != b.Zone {
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
			t.Errorf("class %d at its deadline with an attempt in flight: %+v", class, acts)
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

// A keyed request that may have run stays in its cell. Once all servers there have been tried, waiting is of no use: the client
// gets its answer at once, not at its deadline.
func TestAllEligibleServersWereTried(t *testing.T) {
	servers := fleet(4)
	for i := range servers {
		servers[i].Cell = i / 2
	}
	g := newHarness(t, baseConfig(), servers...)
	id, _ := g.request(cellClass)
	g.now += 5
	if acts := g.answer(id, 0, Reset, 5); !has(acts, Send) {
		t.Fatalf("not retried in its cell: %+v", acts)
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
	draining := fleet(1)[0]
	draining.State = Draining
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{draining}})
	for range 20 {
		id, acts := g.request(safeClass)
		if s, _ := sentTo(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.answer(id, 0, OK, 10)
	}
	draining.State = Ready
	g.handle(ServerList{Kind: ListFull, Servers: []Server{draining}}) // without the other server, which is thus removed
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

// A timer that fires early by a rounding error is set again. Otherwise the request gets no answer at its deadline, which
// happened in overload.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	id, _ := g.request(unsafeClass)
	g.now = g.b.requests.byID[id].wakeAt - 1e-4
	if acts := g.handle(Timer{Token: uint64(id)}); !has(acts, SetTimer) {
		t.Fatalf("no timer after one that fired early: %+v", acts)
	}
}

// All sidecars together stay below the overload multiple of a server in its slow start, whatever their number. Such a server was
// overloaded when the budget followed the requests of clients, retries included, and by many sidecars with few answers each.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers, perSecond int }{{4, 5, 150}, {40, 10, 15}, {300, 60, 2}} {
		cfg := baseConfig()
		cfg.SidecarCount = c.sidecars
		toWarming, later := 0, 0
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
					toWarming++
				} else if s == 1 && restarted {
					later++
				}
				g.answer(id, 0, OK, 10)
			}
		}
		// A warm server gets its share of the traffic. One that starts can handle SlowStartFraction of that and a little
		// more as it warms up, and breaks down at OverloadMultiple times what it can handle.
		limit := float64(c.sidecars*c.perSecond) / float64(c.servers) * cfg.OverloadMultiple * (cfg.SlowStartFraction + 0.05)
		if later == 0 || float64(toWarming) > limit {
			t.Errorf("%+v: %d sends to a server in its first second, want at most %.0f; %d later", c, toWarming, limit, later)
		}
	}
}

// A server that lost a connection, failed again and then answers has restarted, whatever the list says. Failures to connect
// alone do not show a restart: healthy servers with full connection tables got the share of a starting server. Nor does a
// single lost connection, as networks and servers close some at any time.
func TestAnAnswerAfterLostConnectionsBeginsASlowStart(t *testing.T) {
	for _, c := range []struct {
		ends    []Result
		warming bool
	}{
		{[]Result{Reset, ConnectFailed}, true}, {[]Result{Reset, Reset}, true}, {[]Result{Reset}, false},
		{[]Result{ConnectFailed}, false}, {[]Result{ConnectFailed, ConnectFailed}, false},
	} {
		g := newHarness(t, baseConfig(), fleet(1)...)
		s := g.b.servers.all[0]
		for _, end := range c.ends {
			id, _ := g.request(unsafeClass)
			g.answer(id, 0, end, 150)
			if inCooldown := g.b.coolingDown(s); inCooldown != (end == ConnectFailed) {
				t.Errorf("%v: in a cooldown: %v", c.ends, inCooldown)
			}
			g.now += 60000
		}
		id, _ := g.request(safeClass)
		g.answer(id, 0, OK, 10)
		if g.b.warmingUp(s) != c.warming {
			t.Errorf("%v: warming up %v", c.ends, !c.warming)
		}
	}
}

// Once a streamed answer has begun, the request has no deadline and gets no retry and no other answer.
func TestStartedStreamIsNotRetried(t *testing.T) {
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

// After failed list calls the old list stays, and the calls are repeated with a growing backoff up to the limit.
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

// Where lists are pushed, whatever the agent has counts as known to the sidecar. It subscribes again after a pause that is
// well within the drain grace, however often calls have failed.
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

// A sidecar that has seen no answers may send hardly anything to a server in its slow start. When the answers that are
// assumed for small sidecars also counted in that budget, many such sidecars together overloaded a server.
func TestAssumedAnswersGiveNoSlowStartBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	entry := g.b.servers.all[0].Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	g.now += 2000
	g.request(safeClass) // sets the weights
	s := g.b.servers.all[0]
	s.Tokens, s.TokensAt = 0, g.now-2000
	if g.b.slowStartBudget(s); s.Tokens > 0.2 { // with ten assumed answers: 1
		t.Fatalf("%.2f tokens in two seconds without answers", s.Tokens)
	}
	g.b.traffic.answerRate.count(g.b, 400) // two hundred answers a second
	s.Tokens, s.TokensAt = 0, g.now-2000
	if g.b.slowStartBudget(s); s.Tokens < 0.5 {
		t.Fatalf("%.2f tokens in two seconds for a busy sidecar", s.Tokens)
	}
}

// Retries keep the budget of a server in its slow start. When all other servers failed, the retries of all sidecars went to the
// one that had just started, as it had no errors.
func TestRetriesKeepTheSlowStartBudget(t *testing.T) {
	toWarming, limit := 0, 0.0
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
					toWarming++
				}
				g.now++
				acts = g.answer(id, i, Failed, 1)
			}
			g.now += 50
		}
	}
	// In this second a warm server's share of the requests is a fifth.
	limit = sidecars * requests / 5 * 2.5 * (0.2 + 0.05)
	if float64(toWarming) > limit {
		t.Fatalf("%d sends to the starting server, want at most %.0f", toWarming, limit)
	}
}

// A rejected client is told when to retry: later in overload, never later than clients obey, and not at all if the settings do
// not allow it.
func TestRejectedClientsGetARetryTime(t *testing.T) {
	for _, c := range []struct {
		latencyExcess, maxRetryAfter float64
		allowed                      bool
		want                         float64
	}{
		{-0.3, 1000, true, 15}, {0.1, 1000, true, 30}, {1.2, 1000, true, 75}, {0.5, 20, true, 20}, {0.1, 0, true, 30}, {0.5, 1000, false, 0},
	} {
		cfg := baseConfig()
		cfg.MaxRetryAfter, cfg.RetryAfter = c.maxRetryAfter, c.allowed
		g := newHarness(t, cfg, fleet(2)...)
		_, _ = g.request(safeClass)
		g.b.shedding.excess = c.latencyExcess
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
			t.Errorf("%+v: not rejected", c)
		}
	}
}
