package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// ramp configures a simulation in virtual time: a fleet of sidecars, each with its own balancer, and servers of which some
// restart.
type ramp struct {
	sidecars, servers, warming int
	uneven                     bool    // some sidecars have several times the mean traffic
	maxDelay                   float64 // longest time until a sidecar learns of a restart, in ms
	restarts                   bool    // half of the sidecars restart during the slow start
	oldLists                   bool    // restarted sidecars get the servers' new start times half a second late
	slow                       bool    // servers have a tenth of rampServerRate, so the bound is a few requests
	unknown                    bool    // each sidecar is configured as the only sidecar
	failing                    float64 // fraction of the answers of warm servers that are errors, each retried
	multiple, overloadTime     float64 // Config.OverloadMultiple and Config.OverloadTime
}

const (
	rampLoad          = 0.7      // requests as a fraction of the servers' capacity
	rampWork          = 40.0     // mean time of a request, in ms
	rampServerRate    = 50.0     // requests a second that a warm server can handle
	rampStartFraction = 0.2      // fraction of rampServerRate at the start of a slow start
	rampTime          = 10_000.0 // length of the slow start, in ms
)

// rampEvent is a scheduled event at a sidecar: the arrival of a request, an event for its balancer, or a restart of the sidecar.
type rampEvent struct {
	at          float64
	sidecar     int
	incarnation int // of the sidecar: events for an earlier incarnation are dropped
	event       Event
	kind        int
}

const (
	rampArrival = iota // a request arrives
	rampHandle         // the balancer handles event
	rampRestart        // the sidecar restarts
)

type rampQueue []rampEvent

func (q rampQueue) Len() int           { return len(q) }
func (q rampQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q rampQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *rampQueue) Push(x any)        { *q = append(*q, x.(rampEvent)) }
func (q *rampQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	rampRestartAt = 10_000.0 // when the servers restart, in ms
	rampEnd       = rampRestartAt + rampTime
)

// rampRun is the state of one run of a ramp.
type rampRun struct {
	ramp
	rng          *rand.Rand
	cfg          Config
	before       []Server  // the list before the servers' restart
	after        []Server  // the list after it
	weights      []float64 // of the sidecars' traffic
	weightSum    float64
	serverRate   float64 // requests a millisecond that a warm server can handle
	totalRate    float64 // requests a millisecond of all sidecars
	balancers    []*Balancer
	incarnations []int
	queue        rampQueue
	sends        [][]float64 // times of the sends to each server that warms up
}

func newRampRun(c ramp, seed uint64) *rampRun {
	run := &rampRun{ramp: c, rng: rand.New(rand.NewPCG(seed, 7)), cfg: baseConfig(), before: fleet(c.servers)}
	cfg := &run.cfg
	cfg.OverloadMultiple, cfg.OverloadTime, cfg.SlowStartFraction, cfg.SlowStartTime = c.multiple, c.overloadTime, rampStartFraction, rampTime
	cfg.SidecarCount, cfg.MaxAttempts = c.sidecars, 4
	run.weights = make([]float64, c.sidecars)
	for i := range run.weights {
		if run.weights[i] = 1; c.uneven {
			run.weights[i] = math.Exp(run.rng.NormFloat64())
		}
		run.weightSum += run.weights[i]
	}
	if run.serverRate = rampServerRate / 1000; c.slow {
		run.serverRate /= 10
	}
	run.totalRate = rampLoad * run.serverRate * float64(c.servers)
	run.balancers, run.incarnations = make([]*Balancer, c.sidecars), make([]int, c.sidecars)
	run.sends = make([][]float64, c.warming)
	run.after = append([]Server(nil), run.before...)
	for i := range c.warming {
		run.after[i].StartedAt = rampRestartAt
	}
	return run
}

func (run *rampRun) push(e rampEvent) {
	e.incarnation = run.incarnations[e.sidecar]
	heap.Push(&run.queue, e)
}

// begin starts a sidecar with a server list.
func (run *rampRun) begin(sidecar int, now float64, list []Server) {
	own := run.cfg
	own.Seed, own.SidecarNumber = run.rng.Uint64(), sidecar
	if run.unknown {
		own.SidecarCount, own.SidecarNumber = 1, 0
	}
	run.balancers[sidecar] = New(own)
	run.balancers[sidecar].Start(now)
	actions, _ := run.balancers[sidecar].Handle(now, ServerList{Kind: ListCached, Servers: list})
	run.carryOut(sidecar, now, actions)
}

func (run *rampRun) carryOut(sidecar int, now float64, actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		switch a.Kind {
		case Send:
			took, result := rampWork*(0.5+run.rng.Float64()), OK
			if s := int(a.Server) - 1; s < run.warming && now >= rampRestartAt {
				run.sends[s] = append(run.sends[s], now)
			} else if run.failing > 0 && run.rng.Float64() < run.failing {
				took, result = 1, Failed
			}
			r := run.balancers[sidecar].requests.byID[a.Request]
			run.push(rampEvent{at: now + took, sidecar: sidecar, kind: rampHandle, event: Outcome{
				Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Result: result, Latency: took, Finished: result == OK,
			}})
		case SetTimer:
			if a.Token != listTimer {
				run.push(rampEvent{at: now + a.After, sidecar: sidecar, kind: rampHandle, event: Timer{a.Token}})
			}
		}
	}
}

func (run *rampRun) nextArrival(sidecar int) float64 {
	return run.rng.ExpFloat64() * run.weightSum / run.weights[sidecar] / run.totalRate
}

// start starts all sidecars and schedules their first arrivals, list updates and restarts.
func (run *rampRun) start() {
	for n := range run.balancers {
		run.begin(n, 0, run.before)
		run.push(rampEvent{at: run.nextArrival(n), sidecar: n, kind: rampArrival})
		update := ServerList{Kind: ListDelta, Servers: run.after[:run.warming]}
		run.push(rampEvent{at: rampRestartAt + run.maxDelay*run.rng.Float64(), sidecar: n, kind: rampHandle, event: update})
		if run.restarts && n%2 == 0 {
			run.push(rampEvent{at: rampRestartAt + rampTime*run.rng.Float64()/2, sidecar: n, kind: rampRestart})
		}
	}
}

// handle carries out one event; next is the ID of a new request.
func (run *rampRun) handle(e rampEvent, next RequestID) {
	n := e.sidecar
	switch e.kind {
	case rampArrival:
		actions, _ := run.balancers[n].Handle(e.at, Request{ID: next, Class: safeClass, Remaining: 1500})
		run.carryOut(n, e.at, actions)
		run.push(rampEvent{at: e.at + run.nextArrival(n), sidecar: n, kind: rampArrival})
	case rampHandle:
		if actions, err := run.balancers[n].Handle(e.at, e.event); err == nil {
			run.carryOut(n, e.at, actions)
		}
	case rampRestart:
		run.incarnations[n]++
		if !run.oldLists {
			run.begin(n, e.at, run.after)
			return
		}
		run.begin(n, e.at, run.before)
		run.push(rampEvent{at: e.at + 500, sidecar: n, kind: rampHandle, event: ServerList{Kind: ListFull, Servers: run.after}})
	}
}

// simulate runs a ramp. maxUse is the largest number of requests that a server in its slow start gets within
// an overloadTime, as a fraction of the bound N + 2 x sqrt(N) + 2, where N is multiple times the number of
// requests that the server can handle in that time at the rate of the window's start. utilization is the
// number of requests sent to such servers over their slow start, as a fraction of those that they can handle.
func (c ramp) simulate(seed uint64) (maxUse, utilization float64) {
	run := newRampRun(c, seed)
	run.start()
	next := RequestID(1)
	for len(run.queue) > 0 {
		e := heap.Pop(&run.queue).(rampEvent)
		if e.at >= rampEnd {
			break
		}
		if e.kind == rampArrival {
			next++
		} else if e.incarnation != run.incarnations[e.sidecar] {
			continue
		}
		run.handle(e, next)
	}
	return run.results()
}

// results returns the results of simulate.
func (run *rampRun) results() (maxUse, utilization float64) {
	capacity, sent := 0.0, 0
	for _, times := range run.sends {
		sort.Float64s(times)
		sent += len(times)
		for i, from := 0, 0; i < len(times); i++ {
			for times[from] <= times[i]-run.overloadTime {
				from++
			}
			age := math.Max(0, times[i]-rampRestartAt-run.overloadTime) // at the start of the window, when capacity is lowest
			n := run.multiple * run.serverRate * run.overloadTime * (rampStartFraction + (1-rampStartFraction)*age/rampTime)
			maxUse = math.Max(maxUse, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
		capacity += run.serverRate * rampTime * (1 + rampStartFraction) / 2
	}
	return maxUse, float64(sent) / capacity
}

// The fleet stays within the bound that doc.go derives, and still uses a server in its slow start: over that time the server gets
// at least half of the requests that it can handle.
func TestTheSlowStartBoundHoldsForTheFleet(t *testing.T) {
	largestUse := 0.0
	for _, sidecars := range []int{1, 3, 20, 30, 300} {
		for name, c := range map[string]ramp{
			"even":             {},
			"uneven":           {uneven: true},
			"late updates":     {uneven: true, maxDelay: 2000},
			"restarts":         {uneven: true, restarts: true},
			"old lists":        {uneven: true, restarts: true, oldLists: true},
			"slow servers":     {uneven: true, slow: true, restarts: true, warming: 2},
			"unknown peers":    {uneven: true, unknown: true},
			"several start":    {uneven: true, warming: 3},
			"retries":          {uneven: true, failing: 0.2},
			"combined":         {uneven: true, warming: 3, maxDelay: 1000, restarts: true, failing: 0.1},
			"a short time":     {uneven: true, multiple: 4, overloadTime: 1500},
			"a small multiple": {uneven: true, multiple: 1.5, overloadTime: 2000},
		} {
			if c.multiple == 0 {
				c.multiple, c.overloadTime = 2.5, 3000
			}
			c.sidecars, c.servers, c.warming = sidecars, 10, max(c.warming, 1)
			maxUse, utilization := 0.0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				seedMaxUse, seedUtilization := c.simulate(seed)
				maxUse, utilization = math.Max(maxUse, seedMaxUse), utilization+seedUtilization/seeds
			}
			largestUse = math.Max(largestUse, maxUse)
			t.Logf("%3d sidecars, %-17s largest use %.2f of the bound, sent %.2f of the warming servers' capacity",
				sidecars, name+":", maxUse, utilization)
			if maxUse > 1 || utilization < 0.5 {
				t.Errorf("%d sidecars, %s: %.2f of the bound, want at most 1; %.2f of capacity, want at least 0.5",
					sidecars, name, maxUse, utilization)
			}
		}
	}
	t.Logf("largest use %.2f", largestUse)
}
