package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

func probeConfig() Config {
	cfg := baseConfig()
	cfg.Probes, cfg.Reports, cfg.Fields = true, ReportProbe, []ReportField{FieldInFlight}
	return cfg
}

// answerProbes answers the probes among acts: servers in unreachable time out, the others report n requests in flight. It returns
// the actions that follow.
func (g *harness) answerProbes(acts []Action, n float32, unreachable map[ServerID]bool) []Action {
	var after []Action
	for _, a := range acts {
		if a.Kind != Probe {
			continue
		}
		res := ProbeResult{Server: a.Server, LoadReport: []float32{n}}
		if unreachable[a.Server] {
			res = ProbeResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, g.handle(res)...)
	}
	return after
}

// A server whose probe fails gets a cooldown. Without it, when a network partition lost most probes, the
// unreachable servers stayed first in the rotation and were probed again for every request.
func TestUnreachableServersHaveACooldown(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(3)...)
	unreachable := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(safeClass)
		if asked := len(acts) - 1; i > 0 && asked > 1 {
			t.Fatalf("request %d: %d servers probed though two are unreachable", id, asked)
		}
		if s, ok := sentTo(g.answerProbes(acts, 0, unreachable)); !ok || s != 3 {
			t.Fatalf("request %d went to server %d, want server 3", id, s)
		}
		g.answer(id, 0, OK, 10)
	}
	g.now += 10000 // their cooldown is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(g.answerProbes(acts, 0, nil))
		used[s] = true
		g.answer(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("servers used after the cooldown: %v, want also 1 and 2", used)
	}
}

// A probed server with a queue is skipped: a sidecar with little traffic cannot infer the load of others from its own requests.
func TestProbedQueueIsPassedOver(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(3)...)
	g.b.servers.all[0].currentWeight = 1000 // server 1 is first in the rotation
	id, acts := g.request(safeClass)
	if has(acts, Send) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(ProbeResult{Server: 1, LoadReport: []float32{5}})
	g.handle(ProbeResult{Server: 2, LoadReport: []float32{0}})
	if s, ok := sentTo(g.handle(ProbeResult{Server: 3, LoadReport: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
	}
}

func TestARequestDoesNotWaitLongForProbes(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(3)...)
	id, _ := g.request(safeClass)
	g.now = g.b.requests.byID[id].wakeAt
	if acts := g.handle(Timer{Token: uint64(id)}); !has(acts, Send) || g.now > 1000+0.1*300 {
		t.Fatalf("at %v ms the actions are %+v, want a Send by 1030 ms", g.now, acts)
	}
}

// A hung server is skipped early because of its requests in flight, and has a cooldown after several errors. The requests
// stuck there must not count as an overload of the whole fleet.
func TestHungServerIsNoOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was rejected with integral part %v of the shed fraction", id, g.b.shedding.integral)
		}
		if s == 1 {
			hung++
			continue
		}
		g.now++
		g.answer(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// dueTimers returns the timers of open requests that are due.
func (g *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= g.next; id++ {
		if r := g.b.requests.byID[id]; r != nil && r.wakeAt <= g.now && !r.done {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// In overload, requests that cannot be answered in time are rejected before they are sent, those of least
// value first. Otherwise every queue fills and all answers are late.
func TestOverloadIsShedLeastValueFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	rejected := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{safeClass, unsafeClass}[i%2]
		id, acts := g.request(class)
		if has(acts, Reject) {
			rejected[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.answer(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if rejected[safeClass] < 100 || rejected[unsafeClass] >= rejected[safeClass] {
		t.Fatalf("rejected %d of low value and %d of high value", rejected[safeClass], rejected[unsafeClass])
	}
}

// In a congested fleet all answers are late, by no server's fault: once the class is known to take long, an attempt of 430 ms
// with a latency target of 300 is no error.
func TestLateInACongestedFleetIsNoError(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, acts := g.request(unsafeClass)
		if !has(acts, Send) {
			continue
		}
		end := g.now + times[i%3]
		for r := g.b.requests.byID[id]; !r.done && r.wakeAt < end; {
			g.now = r.wakeAt
			g.handle(Timer{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.b.requests.byID[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is overdue after %v", i, times[i%3], g.b.overdueAfter(g.b.requests.byID[id]))
		}
		g.answer(id, 0, OK, times[i%3])
	}
	id, _ := g.request(unsafeClass)
	r := g.b.requests.byID[id]
	if g.now = r.wakeAt; g.now >= r.deadline {
		t.Fatal("no timer for the attempt before its deadline")
	}
	if g.handle(Timer{Token: uint64(id)}); !r.attempts[0].overdue || r.attempts[0].server.Errors != 1 {
		t.Fatal("an attempt that is far slower than all others is no error")
	}
}

// Attempts that hang at a server in a cooldown are that server's fault and must not shed load, unless most of the load is at such
// servers. When a whole fleet broke down, all servers had cooldowns, nothing in flight counted, and the shedding stopped.
func TestServersInACooldownAreNoLoadUnlessMostAre(t *testing.T) {
	for _, c := range []struct {
		suspect, healthy float64
		sheds            bool
	}{{20, 0.1, true}, {0.4, 0.5, false}} {
		g := newHarness(t, baseConfig(), fleet(2)...)
		g.b.traffic.answerRate.count(g.b, 2)
		g.b.latencies.recent = 1
		g.b.servers.all[0].weightedLoad, g.b.servers.all[1].weightedLoad = c.suspect, c.healthy
		g.b.startCooldown(g.b.servers.all[0])
		for range 20 {
			g.request(unsafeClass)
			g.b.servers.all[0].weightedLoad, g.b.servers.all[1].weightedLoad = c.suspect, c.healthy
		}
		if g.b.shedding.integral > 0 != c.sheds {
			t.Errorf("%+v: integral %.2f", c, g.b.shedding.integral)
		}
	}
}

// setLoad sets the integral part of the shed fraction, and loads the fleet so that the latency exceeds the
// permitted latency by over, a fraction of the latency target.
func (g *harness) setLoad(integral, over float64) {
	full := g.b.latencies.min + queueAllowance*(1-g.b.latencies.min)
	g.b.shedding.integral = integral
	g.b.servers.all[0].weightedLoad += (full+over)*g.b.traffic.answerRate.perMillisecond(g.b, assumedAnswers)/inFlightWeight - g.healthyLoad()
	g.b.latencies.recent = 1
}

// rejectedFractions sends 4000 requests while 0.4 of the work is to be shed. The class and the tenant of each
// request are a random element of turns. It returns the rejected fraction of each class and of each tenant.
func rejectedFractions(t *testing.T, cfg Config, turns ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, fleet(4)...)
	var requested [2][5]float64
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		turn := turns[draw.IntN(len(turns))]
		g.now++
		g.setLoad(0.4, 0)
		requested[0][turn[0]]++
		requested[1][turn[1]]++
		id := RequestID(i + 1)
		acts := g.handle(Request{ID: id, Class: turn[0], Tenant: turn[1], Remaining: cfg.Classes[turn[0]].Deadline})
		if has(acts, Reject) {
			byClass[turn[0]]++
			byTenant[turn[1]]++
		} else {
			g.answer(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, requested[0][i])
		byTenant[i] /= max(1, requested[1][i])
	}
	return byClass, byTenant
}

// The shed fraction follows the load immediately, between zero and twice its integral part. Without this
// immediate part, busy sidecars let queues grow for seconds before enough was shed, and overloaded servers
// stayed slow. A sidecar that has not shed recently does not reject immediately, as its few requests may
// coincide by chance.
func TestShedFollowsTheLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		lasting, over float64 // integral part; latency above the permitted one, in latency targets
		least, most   float64 // bounds of the rejected fraction
	}{{0, 0.5, 0, 0.1}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 100 {
			id, _ := g.request(safeClass)
			g.now += 5
			g.answer(id, 0, OK, 50)
		}
		rejected := 0.0
		for range 200 {
			g.setLoad(c.lasting, c.over)
			if _, acts := g.request(safeClass); has(acts, Reject) {
				rejected++
			}
		}
		if rejected /= 200; rejected < c.least || rejected > c.most {
			t.Errorf("%+v: %.2f were rejected", c, rejected)
		}
	}
}

// Of two tenants with equal shares, the one that sends three times as many requests has its requests beyond
// the share rejected. If both send equally many, the same fraction of each is rejected.
func TestTenantsBeyondTheirShareAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}}
	_, rejected := rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("rejected %.2f of the tenant with much traffic, %.2f of the other", rejected[0], rejected[1])
	}
	_, rejected = rejectedFractions(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// If the worst-served class has a high weight in the goal, similar fractions of all classes are rejected. Without such a weight
// the class of least value is rejected first. All of that class was once rejected despite the weight.
func TestTheWorstClassStaysServed(t *testing.T) {
	cfg := baseConfig()
	turns := [][2]int{{safeClass, 0}, {unsafeClass, 0}}
	cfg.Goal = Goal{Overall: 1}
	if rejected, _ := rejectedFractions(t, cfg, turns...); rejected[safeClass] < 0.7 || rejected[unsafeClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are rejected", rejected[safeClass], rejected[unsafeClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	if rejected, _ := rejectedFractions(t, cfg, turns...); rejected[safeClass] > 0.5 || rejected[unsafeClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are rejected", rejected[safeClass], rejected[unsafeClass])
	}
}

// A tenant beyond its share is not starved if the worst-served tenant has a weight in the goal.
func TestTheWorstTenantStaysServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Share: 0.8}, {Share: 0.2}}
	turns := [][2]int{{0, 0}, {0, 1}}
	cfg.Goal = Goal{Overall: 1}
	if _, rejected := rejectedFractions(t, cfg, turns...); rejected[0] > 0.1 || rejected[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	if _, rejected := rejectedFractions(t, cfg, turns...); math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are rejected", rejected[0], rejected[1])
	}
}

// A restart clears a server's cooldowns and its failed probe.
func TestRestartClearsHealth(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	s := g.b.servers.all[0]
	g.handle(ProbeResult{Server: s.ID, Result: TimedOut})
	if !s.ProbeFailed || !g.b.coolingDown(s) {
		t.Fatal("a probe without an answer starts no cooldown")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.ProbeFailed || s.Cooldowns != 0 || g.b.coolingDown(s) {
		t.Fatalf("after the restart: probe failed %v, %d cooldowns", s.ProbeFailed, s.Cooldowns)
	}
}

// Servers that answer twice as fast get a higher learned capacity, and so does their kind.
func TestCapacitiesAreLearned(t *testing.T) {
	servers := fleet(4)
	servers[2].Kind, servers[3].Kind = 1, 1
	g := newHarness(t, baseConfig(), servers...)
	hits := map[ServerID]int{}
	for range 1500 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(acts)
		hits[s]++
		g.now += 5
		g.answer(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("requests by server: %v, want 1.5 times as many at 3 and 4 as at 1 and 2", hits)
	}
	if g.b.capacities.kinds[1] <= g.b.capacities.kinds[0] {
		t.Fatalf("capacities by kind: %v, want a higher one for kind 1", g.b.capacities.kinds)
	}
}

// Clients' late retries are rejected first in overload. After half of a fleet was removed, retries that came too late to be of
// value used up the remaining capacity.
func TestLateRetriesAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].LateValue = 0.3
	for _, c := range []struct {
		shed, remaining float64
		rejected        bool
	}{
		{0.5, 1000, true},   // after 500 ms, the latency target of 300 has passed
		{0.2, 1000, false},  // the fraction to shed is less than the value of a late answer
		{0.5, 1300, false},  // after 200 ms, it can still be answered in time
		{0.99, 1500, false}, // a first request
	} {
		g := newHarness(t, cfg, fleet(4)...)
		g.request(safeClass)
		g.b.shedding.integral = c.shed
		r := &request{
			Request: Request{Remaining: c.remaining}, class: &g.b.cfg.Classes[safeClass], stats: &g.b.traffic.classes[safeClass],
		}
		if got := g.b.lateRetry(r) && g.b.shedding.integral >= r.class.LateValue; got != c.rejected {
			t.Errorf("%+v: got rejected %v", c, got)
		}
		if !c.rejected {
			continue
		}
		g.b.shedding.integral = c.shed
		if acts := g.handle(Request{ID: 77, Remaining: c.remaining}); !has(acts, Reject) {
			t.Errorf("%+v: the actions are %+v, want a Reject", c, acts)
		}
	}
}

// Several errors in a row start a cooldown, after which the server is tried again. An answer clears its errors.
func TestErrorsBeginACooldown(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	s := g.b.servers.all[0]
	for range cooldownErrors - 1 {
		g.b.recordFault(s, false)
	}
	if g.b.coolingDown(s) {
		t.Fatal("a cooldown before the last error")
	}
	g.b.recordFault(s, false)
	if !g.b.coolingDown(s) {
		t.Fatal("no cooldown after the last error")
	}
	for range 12 {
		id, acts := g.request(safeClass)
		if to, _ := sentTo(acts); to == s.ID {
			t.Fatal("a server in a cooldown got a request")
		}
		g.answer(id, 0, OK, 10)
	}
	g.now = s.CooldownUntil
	for range 12 {
		id, acts := g.request(safeClass)
		to, _ := sentTo(acts)
		if g.answer(id, 0, OK, 10); to == s.ID && s.CooldownUntil == 0 && s.Errors == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its cooldown")
}

// If all servers are in a cooldown, they are still used, as the cause is probably not in the servers.
func TestAllInACooldownAreUsed(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	for _, s := range g.b.servers.all {
		g.b.recordFault(s, true)
	}
	if _, acts := g.request(safeClass); !has(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// As probes have a cost, their number follows the load: a few find an idle server at low load, and all are probed at high load.
func TestProbesFollowHowBusyServersAre(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(12)...)
	asked := func(holds float32) int {
		n := 0
		for range 60 {
			g.now += 10
			id, acts := g.request(safeClass)
			n = 0
			for _, a := range acts {
				if a.Kind == Probe {
					n++
				}
			}
			g.answerProbes(acts, holds, nil)
			g.answer(id, 0, OK, 10)
		}
		return n
	}
	idle := asked(0)
	if busy := asked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}

// If crossing zones has a penalty, the own zone gets more requests, and others still get some.
func TestOwnZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for penalty, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = penalty, 1
		g := newHarness(t, cfg, fleet(8)...)
		own := 0
		for _, s := range sequence(g, 40) {
			if s > 4 {
				own++
			}
		}
		if own < least || own > 38 || penalty == 0 && own != 20 {
			t.Errorf("penalty %v: %d of 40 in the own zone", penalty, own)
		}
	}
}

// Fast growth of the traffic without slow answers is no overload. When traffic grew sevenfold within seconds on an enlarged
// fleet, the attempts in flight were compared with an outdated rate of answers, and half of the requests were rejected.
func TestFastGrowthIsNoOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(12)...)
	var open []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.request(safeClass)
		if has(acts, Reject) {
			rejected++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.b.requests.byID[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.answer(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected", rejected)
	}
}

// Capacities are learned faster at first. Otherwise a restarted sidecar with few requests uses slow servers as much as fast ones
// for a minute.
func TestCapacitiesAreLearnedFastAtFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	fast, slow := g.b.servers.all[0], g.b.servers.all[1]
	for range 20 {
		g.b.learnCapacity(fast, 0.5)
		g.b.learnCapacity(slow, 1.5)
	}
	early := fast.capacityLog - slow.capacityLog
	for range 2000 { // a long time with equal latencies, before one server turns fast again
		g.b.learnCapacity(fast, 1)
		g.b.learnCapacity(slow, 1)
	}
	before := fast.capacityLog - slow.capacityLog
	for range 20 {
		g.b.learnCapacity(fast, 0.5)
		g.b.learnCapacity(slow, 1.5)
	}
	if late := fast.capacityLog - slow.capacityLog - before; early < 3*late || late <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later", early, late)
	}
}

// Unsafe requests avoid servers with recent errors while there are others, as an unsafe request that is lost cannot be retried.
func TestUnsafeRequestsAvoidSuspects(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	suspect := g.b.servers.all[2]
	suspect.Errors, suspect.LastErrorAt = 1, g.now
	hits := map[int]int{}
	for i := range 40 {
		class := []int{safeClass, unsafeClass}[i%2]
		id, acts := g.request(class)
		if s, _ := sentTo(acts); s == suspect.ID {
			hits[class]++
		}
		g.b.requests.byID[id].stats.Count = 0
		g.answer(id, 0, OK, 10)
		suspect.Errors, suspect.LastErrorAt = 1, g.now
	}
	if hits[unsafeClass] != 0 || hits[safeClass] == 0 {
		t.Fatalf("the suspect server got %d unsafe and %d safe requests", hits[unsafeClass], hits[safeClass])
	}
	for _, s := range g.b.servers.all { // if all servers are suspect, all stay in the rotation
		s.Errors, s.LastErrorAt = 1, g.now
	}
	if _, acts := g.request(unsafeClass); !has(acts, Send) {
		t.Fatal("nothing was sent with all servers suspect")
	}
}

// Retries are limited by a budget. Without a budget every request to a failing fleet was sent twice,
// which doubled the load.
func TestRetriesKeepTheirBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(6)...)
	retries := 0
	const requests = 200
	for range requests {
		id, acts := g.request(safeClass)
		if !has(acts, Send) {
			continue
		}
		g.now++
		if has(g.answer(id, 0, Failed, 1), Send) {
			retries++
			g.answer(id, 1, Failed, 1)
		}
	}
	if maxRetries := int(retryBurst + retryRatio*requests); retries < maxRetries/2 || retries > maxRetries {
		t.Fatalf("%d of %d requests were retried, want at most %d", retries, requests, maxRetries)
	}
}

// A safe request that fails after its latency target is retried if a late answer still has a value, and otherwise rejected.
func TestLateAnswersWithAValueAreStillAttempted(t *testing.T) {
	for value, sent := range map[float64]bool{0: false, 0.5: true} {
		cfg := baseConfig()
		cfg.Classes[safeClass].LateValue = value
		g := newHarness(t, cfg, fleet(3)...)
		id, _ := g.request(safeClass)
		g.now += cfg.Classes[safeClass].LatencyTarget + 1
		if acts := g.answer(id, 0, Failed, 301); has(acts, Send) != sent || has(acts, Reject) == sent {
			t.Errorf("late answers of value %v: the actions are %+v", value, acts)
		}
	}
}

// While answers are quick nothing is shed, whatever is in flight. A few requests of a sidecar with little
// traffic often coincide by chance. This was mistaken for an overload, and some were rejected.
func TestQuickAnswersShedNothing(t *testing.T) {
	for quick, rejects := range map[bool]bool{true: false, false: true} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 60 {
			id, _ := g.request(safeClass)
			g.now += 5
			g.answer(id, 0, OK, map[bool]float64{true: 30, false: 290}[quick])
		}
		rejected := false
		for range 60 {
			g.b.servers.all[0].weightedLoad++
			_, acts := g.request(safeClass)
			rejected = rejected || has(acts, Reject)
		}
		if rejected != rejects {
			t.Errorf("quick answers %v: got rejections %v", quick, rejected)
		}
	}
}

// When answers become slow, the preference for the own zone, which avoids the cross-zone penalty, ends. Otherwise one data centre
// has more traffic than its servers can handle while the other is idle.
func TestSlowAnswersEndThePreferenceForTheOwnZone(t *testing.T) {
	cfg := baseConfig()
	cfg.Penalties.CrossZone, cfg.Zone = 0.05, 1
	g := newHarness(t, cfg, fleet(8)...)
	near, far := g.b.servers.all[7], g.b.servers.all[0]
	if g.b.weight(near) < 10*g.b.weight(far) {
		t.Error("the own zone is not preferred while answers are quick")
	}
	g.b.latencies.min, g.b.latencies.mean = 0.2, 0.6
	if g.b.weight(near) != g.b.weight(far) {
		t.Error("the own zone is preferred though answers are slow")
	}
}

// With few requests each one moves the integral part further, so that a sidecar with little traffic reacts to the same overload
// within as many latency targets as a busy one. Otherwise it went on sending until overloaded servers, which stay slow, broke
// down.
func TestSheddingFollowsTheLoadWithFewRequests(t *testing.T) {
	steps := map[float64]float64{}
	for _, gap := range []float64{300, 3} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 8 {
			g.now += gap
			g.b.traffic.requestRate.count(g.b, 1)
		}
		g.setLoad(0.1, 0.5)
		g.request(safeClass)
		steps[gap] = g.b.shedding.integral - 0.1
	}
	if steps[300] < 2*steps[3] || steps[3] <= 0 {
		t.Fatalf("changes of the integral part by gap between requests in ms: %v", steps)
	}
}

// healthyLoad returns the weighted load at servers without a cooldown.
func (g *harness) healthyLoad() float64 {
	healthy, _ := g.b.servers.loadByHealth()
	return healthy
}

// Time-outs count as slow answers. Otherwise only quick answers count, and a fleet that answers nothing before its clients give
// up seems healthy.
func TestTimeOutsCountAsSlowAnswers(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	for range 10 {
		id, _ := g.request(unsafeClass)
		g.answer(id, 0, TimedOut, 600)
	}
	if g.b.latencies.recent < 1 {
		t.Fatalf("recent latency %.2f after ten time-outs", g.b.latencies.recent)
	}
}

// An attempt that broke off at once cost the servers nothing, so its request is retried until the attempt limit. An attempt that
// was rejected, got an error or took long is retried once.
func TestQuickFailuresAreRetriedMore(t *testing.T) {
	for _, c := range []struct {
		end      Result
		took     float64
		attempts int
	}{{Reset, 1, 4}, {ConnectFailed, 1, 4}, {Failed, 1, 2}, {Reset, 100, 2}, {Rejected, 1, 2}, {TimedOut, 1, 2}} {
		g := newHarness(t, baseConfig(), fleet(8)...)
		for range 20 {
			id, _ := g.request(safeClass)
			g.answer(id, 0, OK, 100)
			g.now += 5
		}
		id, _ := g.request(safeClass)
		attempts := 0
		for g.b.requests.byID[id] != nil && attempts < 9 {
			g.answer(id, attempts, c.end, c.took)
			attempts++
		}
		if attempts != c.attempts {
			t.Errorf("%v after %v ms: %d attempts, want %d", c.end, c.took, attempts, c.attempts)
		}
	}
}
