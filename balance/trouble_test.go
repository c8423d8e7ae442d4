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

// probes answers the probes of acts: servers in dark give no answer, the others hold n requests.
func (g *harness) probes(acts []Action, n float32, dark map[ServerID]bool) []Action {
	var after []Action
	for _, a := range acts {
		if a.Kind != Probe {
			continue
		}
		res := ProbeResult{Server: a.Server, LoadReport: []float32{n}}
		if dark[a.Server] {
			res = ProbeResult{Server: a.Server, Result: TimedOut}
		}
		after = append(after, g.handle(res)...)
	}
	return after
}

// The network was partitioned and most probes lost, and the servers next in turn, which could not be reached,
// were probed again for every request.
func TestUnreachableServersHaveACooldown(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(3)...)
	dark := map[ServerID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(safeClass)
		if asked := len(acts) - 1; i > 0 && asked > 1 {
			t.Fatalf("request %d: %d servers probed though two are out of reach", id, asked)
		}
		if s, ok := sentTo(g.probes(acts, 0, dark)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.answer(id, 0, OK, 10)
	}
	g.now += 10000 // their cooldown is over and they answer again
	used := map[ServerID]bool{}
	for range 6 {
		id, acts := g.request(safeClass)
		s, _ := sentTo(g.probes(acts, 0, nil))
		used[s] = true
		g.answer(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they came back", used)
	}
}

// A sidecar with little traffic cannot know from its own requests what others fill.
func TestProbedQueueIsPassedOver(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(3)...)
	g.b.servers.all[0].currentWeight = 1000 // its turn
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
		t.Fatalf("at %v: %+v", g.now, acts)
	}
}

// A hung server is passed over at once, for what it holds, and has a cooldown after several errors;
// what is stuck there must not look like overload of the whole fleet.
func TestHungServerIsNoOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.due() {
			g.handle(a)
		}
		id, acts := g.request(safeClass)
		s, ok := sentTo(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, g.b.shedding.lasting)
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

// due returns the timers of open requests that have come.
func (g *harness) due() []Timer {
	var list []Timer
	for id := RequestID(1); id <= g.next; id++ {
		if r := g.b.requests.byID[id]; r != nil && r.wakeAt <= g.now && !r.done {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// In overload every queue filled and all answers came late. What cannot be answered in time is
// rejected before it is sent, least value first.
func TestOverloadIsShedLeastValueFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	refused := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{safeClass, unsafeClass}[i%2]
		id, acts := g.request(class)
		if has(acts, Reject) {
			refused[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.answer(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if refused[safeClass] < 100 || refused[unsafeClass] >= refused[safeClass] {
		t.Fatalf("refused %d of low value and %d of high value", refused[safeClass], refused[unsafeClass])
	}
}

// In a congested fleet all answers are late, and that is no server's fault: once the class is
// known to take long, an attempt of 430 ms with a latency target of 300 is no error.
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
		t.Fatal("nothing looks at the attempt before its deadline")
	}
	if g.handle(Timer{Token: uint64(id)}); !r.attempts[0].overdue || r.attempts[0].server.Errors != 1 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// What hangs at a server in a cooldown is that server's fault and must not shed load. But as a whole fleet broke
// down all servers had cooldowns, nothing in flight counted, and the shedding stopped when it was needed most.
func TestServersInACooldownAreNoLoadUnlessMostAre(t *testing.T) {
	for _, c := range []struct {
		rested, steady float64
		sheds          bool
	}{{20, 0.1, true}, {0.4, 0.5, false}} {
		g := newHarness(t, baseConfig(), fleet(2)...)
		g.b.traffic.answerRate.count(g.b, 2)
		g.b.latencies.recent = 1
		g.b.servers.all[0].weightedLoad, g.b.servers.all[1].weightedLoad = c.rested, c.steady
		g.b.startCooldown(g.b.servers.all[0])
		for range 20 {
			g.request(unsafeClass)
			g.b.servers.all[0].weightedLoad, g.b.servers.all[1].weightedLoad = c.rested, c.steady
		}
		if g.b.shedding.lasting > 0 != c.sheds {
			t.Errorf("%+v: lasting part %.2f", c, g.b.shedding.lasting)
		}
	}
}

// crowd sets the fraction to shed lastingly and fills the fleet so that answers take the given fraction of the
// latency target longer than they may.
func (g *harness) crowd(lasting, over float64) {
	full := g.b.latencies.min + queueAllowance*(1-g.b.latencies.min)
	g.b.shedding.lasting = lasting
	g.b.servers.all[0].weightedLoad += (full+over)*g.b.traffic.answerRate.perMillisecond(g.b, assumedAnswers)/loadTrust - g.load()
	g.b.latencies.recent = 1
}

// shedding brings 4000 requests, drawn from turns of (class, tenant), of which 0.4 of the work is to be shed,
// and returns the part refused of each class and of each tenant.
func shedding(t *testing.T, cfg Config, turns ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, fleet(4)...)
	var asked [2][5]float64
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		turn := turns[draw.IntN(len(turns))]
		g.now++
		g.crowd(0.4, 0)
		asked[0][turn[0]]++
		asked[1][turn[1]]++
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
		byClass[i] /= max(1, asked[0][i])
		byTenant[i] /= max(1, asked[1][i])
	}
	return byClass, byTenant
}

// Busy sidecars let queues grow for seconds before enough was shed, and crowded servers
// stayed slow. What is shed follows the load at once, between nothing and twice the lasting part; a
// sidecar that has not shed lately refuses nothing, as its few requests may crowd by chance.
func TestShedFollowsTheLoadAtOnce(t *testing.T) {
	for _, c := range []struct {
		lasting, over float64 // over: of the latency target, beyond what answers may take
		least, most   float64 // part refused
	}{{0, 0.5, 0, 0.1}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 100 {
			id, _ := g.request(safeClass)
			g.now += 5
			g.answer(id, 0, OK, 50)
		}
		refused := 0.0
		for range 200 {
			g.crowd(c.lasting, c.over)
			if _, acts := g.request(safeClass); has(acts, Reject) {
				refused++
			}
		}
		if refused /= 200; refused < c.least || refused > c.most {
			t.Errorf("%+v: %.2f were refused", c, refused)
		}
	}
}

// Of two tenants with equal shares the one that requests three times as much loses what is beyond its
// share; when both request the same they lose the same.
func TestTenantsBeyondTheirShareAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Share: 0.5}, {Share: 0.5}}
	_, refused := shedding(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if refused[0] < 0.4 || refused[1] > 0.1 {
		t.Fatalf("refused %.2f of the tenant with much traffic, %.2f of the other", refused[0], refused[1])
	}
	_, refused = shedding(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// All of the class of least value was rejected although the worst-served class weighs much
// in the goal. Then the classes come near each other; without such a weight the least goes first.
func TestTheWorstClassStaysServed(t *testing.T) {
	cfg := baseConfig()
	turns := [][2]int{{safeClass, 0}, {unsafeClass, 0}}
	cfg.Goal = Goal{Overall: 1}
	if refused, _ := shedding(t, cfg, turns...); refused[safeClass] < 0.7 || refused[unsafeClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[safeClass], refused[unsafeClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	if refused, _ := shedding(t, cfg, turns...); refused[safeClass] > 0.5 || refused[unsafeClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[safeClass], refused[unsafeClass])
	}
}

// A tenant beyond its share is not starved where the worst-served tenant weighs in the goal.
func TestTheWorstTenantStaysServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{Share: 0.8}, {Share: 0.2}}
	turns := [][2]int{{0, 0}, {0, 1}}
	cfg.Goal = Goal{Overall: 1}
	if _, refused := shedding(t, cfg, turns...); refused[0] > 0.1 || refused[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	if _, refused := shedding(t, cfg, turns...); math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// A restarted server starts afresh: no cooldown and no failed probe is remembered.
func TestRestartClearsHealth(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	s := g.b.servers.all[0]
	g.handle(ProbeResult{Server: s.ID, Result: TimedOut})
	if !s.ProbeFailed || !g.b.coolingDown(s) {
		t.Fatal("a probe without answer begins no cooldown")
	}
	entry := s.Server
	entry.StartedAt = g.now
	g.handle(ServerList{Kind: ListDelta, Servers: []Server{entry}})
	if s.ProbeFailed || s.Cooldowns != 0 || g.b.coolingDown(s) {
		t.Fatalf("after the restart: probe failed %v, %d cooldowns", s.ProbeFailed, s.Cooldowns)
	}
}

// Twice as fast a server is found to be larger, and its kind with it.
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
		t.Fatalf("hits %v", hits)
	}
	if g.b.capacities.kinds[1] <= g.b.capacities.kinds[0] {
		t.Fatalf("kinds %v", g.b.capacities.kinds)
	}
}

// Half the fleet was removed and clients' retries, too late to be of value, took what was
// left of it.
func TestLateRetriesAreRejectedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[safeClass].LateValue = 0.3
	for _, c := range []struct {
		shed, remaining float64
		refused         bool
	}{
		{0.5, 1000, true},   // 500 ms passed, the latency target of 300 has passed
		{0.2, 1000, false},  // the load to shed is less than the value of a late answer
		{0.5, 1300, false},  // 200 ms passed, it can still be in time
		{0.99, 1500, false}, // a first request
	} {
		g := newHarness(t, cfg, fleet(4)...)
		g.request(safeClass)
		g.b.shedding.lasting = c.shed
		r := &request{
			Request: Request{Remaining: c.remaining}, class: &g.b.cfg.Classes[safeClass], stats: &g.b.traffic.classes[safeClass],
		}
		if got := g.b.lateRetry(r) && g.b.shedding.lasting >= r.class.LateValue; got != c.refused {
			t.Errorf("%+v: refused %v", c, got)
		}
		if !c.refused {
			continue
		}
		g.b.shedding.lasting = c.shed
		if acts := g.handle(Request{ID: 77, Remaining: c.remaining}); !has(acts, Reject) {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// A server that leaves several attempts unanswered has a cooldown, and is used again after an answer.
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

// When all servers are in a cooldown the cause is hardly theirs.
func TestAllInACooldownAreUsed(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	for _, s := range g.b.servers.all {
		g.b.recordFault(s, true)
	}
	if _, acts := g.request(safeClass); !has(acts, Send) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Probes cost: in quiet hours a few find an idle server, in busy ones all are probed.
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
			g.probes(acts, holds, nil)
			g.answer(id, 0, OK, 10)
		}
		return n
	}
	idle := asked(0)
	if busy := asked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}

// Where crossing zones has a penalty, the own zone gets more, and others still get some.
func TestOwnZoneIsPreferredWhereCrossingCosts(t *testing.T) {
	for price, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = price, 1
		g := newHarness(t, cfg, fleet(8)...)
		own := 0
		for _, s := range sequence(g, 40) {
			if s > 4 {
				own++
			}
		}
		if own < least || own > 38 || price == 0 && own != 20 {
			t.Errorf("price %v: %d of 40 in the own zone", price, own)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
func TestFastGrowthIsNoOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(12)...)
	var open []RequestID
	refused := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.request(safeClass)
		if has(acts, Reject) {
			refused++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.b.requests.byID[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.answer(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if refused > 0 {
		t.Fatalf("%d requests were refused", refused)
	}
}

// A restarted sidecar with few requests used slow servers as much as fast ones for a minute.
func TestCapacitiesAreLearnedFastAtFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(2)...)
	fast, slow := g.b.servers.all[0], g.b.servers.all[1]
	for range 20 {
		g.b.learnCapacity(fast, 0.5)
		g.b.learnCapacity(slow, 1.5)
	}
	early := fast.capacityLog - slow.capacityLog
	for range 2000 { // much later, of two servers alike, one turns fast
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

// A request that must not run twice was lost for good at a server that had just failed, while others did well.
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
		t.Fatalf("the suspect got %d that must not repeat, %d that may", hits[unsafeClass], hits[safeClass])
	}
	for _, s := range g.b.servers.all { // with all suspect the rotation goes on over all of them
		s.Errors, s.LastErrorAt = 1, g.now
	}
	if _, acts := g.request(unsafeClass); !has(acts, Send) {
		t.Fatal("nothing was sent with all suspect")
	}
}

// Every request of a failing fleet was sent twice, which doubled the load. Repeats come out of a budget.
func TestRetriesKeepTheirBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(6)...)
	repeats := 0
	const requests = 200
	for range requests {
		id, acts := g.request(safeClass)
		if !has(acts, Send) {
			continue
		}
		g.now++
		if has(g.answer(id, 0, Failed, 1), Send) {
			repeats++
			g.answer(id, 1, Failed, 1)
		}
	}
	if most := int(retryBurst + retryRatio*requests); repeats < most/2 || repeats > most {
		t.Fatalf("%d of %d requests were repeated, at most %d wanted", repeats, requests, most)
	}
}

// A safe request that failed after its latency target was rejected though a late answer still had a value.
func TestLateAnswersOfValueAreStillSought(t *testing.T) {
	for value, sent := range map[float64]bool{0: false, 0.5: true} {
		cfg := baseConfig()
		cfg.Classes[safeClass].LateValue = value
		g := newHarness(t, cfg, fleet(3)...)
		id, _ := g.request(safeClass)
		g.now += cfg.Classes[safeClass].LatencyTarget + 1
		if acts := g.answer(id, 0, Failed, 301); has(acts, Send) != sent || has(acts, Reject) == sent {
			t.Errorf("value %v of late answers: %+v", value, acts)
		}
	}
}

// A few requests of a quiet sidecar often meet by chance; they were taken for a crowd and some refused. While
// answers come quickly nothing is shed, whatever is in flight.
func TestQuickAnswersShedNothing(t *testing.T) {
	for quick, refuses := range map[bool]bool{true: false, false: true} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 60 {
			id, _ := g.request(safeClass)
			g.now += 5
			g.answer(id, 0, OK, map[bool]float64{true: 30, false: 290}[quick])
		}
		refused := false
		for range 60 {
			g.b.servers.all[0].weightedLoad++
			_, acts := g.request(safeClass)
			refused = refused || has(acts, Reject)
		}
		if refused != refuses {
			t.Errorf("quick answers %v: refused %v", quick, refused)
		}
	}
}

// The own data centre had more traffic than its servers could carry, while the other stood idle: where
// answers turn slow the preference for the own zone, which avoids the cross-zone penalty, ends.
func TestSlowAnswersEndThePreferenceForTheOwnZone(t *testing.T) {
	cfg := baseConfig()
	cfg.Penalties.CrossZone, cfg.Zone = 0.05, 1
	g := newHarness(t, cfg, fleet(8)...)
	near, far := g.b.servers.all[7], g.b.servers.all[0]
	if g.b.weight(near) < 10*g.b.weight(far) {
		t.Error("the own zone is not preferred in quiet times")
	}
	g.b.latencies.min, g.b.latencies.mean = 0.2, 0.6
	if g.b.weight(near) != g.b.weight(far) {
		t.Error("the own zone is preferred though answers are slow")
	}
}

// Of the same crowd a sidecar of few requests must take in as much as a busy one within some latency targets: it went on
// sending until servers that stay slow once crowded had choked.
func TestFewRequestsFollowTheLoadToo(t *testing.T) {
	steady := map[float64]float64{}
	for _, gap := range []float64{300, 3} {
		g := newHarness(t, baseConfig(), fleet(4)...)
		for range 8 {
			g.now += gap
			g.b.traffic.requestRate.count(g.b, 1)
		}
		g.crowd(0.1, 0.5)
		g.request(safeClass)
		steady[gap] = g.b.shedding.lasting - 0.1
	}
	if steady[300] < 2*steady[3] || steady[3] <= 0 {
		t.Fatalf("a request moved the lasting part by %v", steady)
	}
}

func (g *harness) load() float64 {
	steady, _ := g.b.servers.openLoad()
	return steady
}

// Where nothing was answered before the clients gave up, only the quick answers counted and all seemed well.
func TestTimeOutsCountAsSlowAnswers(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(4)...)
	for range 10 {
		id, _ := g.request(unsafeClass)
		g.answer(id, 0, TimedOut, 600)
	}
	if g.b.latencies.recent < 1 {
		t.Fatalf("pressure %.2f after ten time-outs", g.b.latencies.recent)
	}
}

// An attempt that broke off at once has cost the servers nothing, so its request is tried again while others are
// left; one that met a full queue or took its time is repeated once.
func TestQuickFailuresAreRetriedMore(t *testing.T) {
	for _, c := range []struct {
		end   Result
		took  float64
		tries int
	}{{Reset, 1, 4}, {ConnectFailed, 1, 4}, {Failed, 1, 2}, {Reset, 100, 2}, {Rejected, 1, 2}, {TimedOut, 1, 2}} {
		g := newHarness(t, baseConfig(), fleet(8)...)
		for range 20 {
			id, _ := g.request(safeClass)
			g.answer(id, 0, OK, 100)
			g.now += 5
		}
		id, _ := g.request(safeClass)
		tries := 0
		for g.b.requests.byID[id] != nil && tries < 9 {
			g.answer(id, tries, c.end, c.took)
			tries++
		}
		if tries != c.tries {
			t.Errorf("%v after %v ms: %d attempts, want %d", c.end, c.took, tries, c.tries)
		}
	}
}
