package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// ramp is a fleet of sidecars, each with its own module, before some servers that restart, in virtual time.
type ramp struct {
	sidecars, servers, warming int
	uneven                     bool    // some sidecars have several times the mean traffic
	maxDelay                   float64 // ms within which the sidecars learn of a restart
	restarts                   bool    // half of the sidecars are started anew during the ramp
	oldLists                   bool    // ... with the list of before it, and learn of it half a second later
	slow                       bool    // servers can do a tenth: one that warms up may be sent a few requests
	unknown                    bool    // each has a count of one sidecar
	failing                    float64 // fraction of the answers of warm servers that are errors, each retried
	multiple, overloadTime     float64
}

// rampLoad is the fraction of what the servers can do that is requested, and rampWork what one request takes, in ms.
const (
	rampLoad          = 0.7
	rampWork          = 40.0
	rampServerRate    = 50.0 // requests a second that a warm server can do
	rampStartFraction = 0.2  // fraction of that at the start
	rampTime          = 10_000.0
)

// rampEvent is an event at a time: a request at a sidecar, an answer to one, a timer, an update of the list.
type rampEvent struct {
	at          float64
	sidecar     int
	incarnation int // of the sidecar: what is for the one before its restart is dropped
	event       Event
	kind        int
}

const (
	rampArrival = iota
	rampHandle
	rampRestart
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

// play plays a ramp and returns the largest use of what may be sent to a server that warms up, N + 2 x root of N + 2 in any window, and what
// such servers were sent over their slow start, as a fraction of what they could do.
func (c ramp) play(seed uint64) (most, used float64) {
	const warm, end = 10_000.0, 10_000.0 + rampTime // the restart is at warm
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := baseConfig()
	cfg.OverloadMultiple, cfg.OverloadTime, cfg.SlowStartFraction, cfg.SlowStartTime = c.multiple, c.overloadTime, rampStartFraction, rampTime
	cfg.SidecarCount, cfg.MaxAttempts = c.sidecars, 4
	servers := fleet(c.servers)
	weights, sum := make([]float64, c.sidecars), 0.0
	for i := range weights {
		if weights[i] = 1; c.uneven {
			weights[i] = math.Exp(rng.NormFloat64())
		}
		sum += weights[i]
	}
	per := rampServerRate / 1000 // requests a ms
	if c.slow {
		per /= 10
	}
	total := rampLoad * per * float64(c.servers)
	all := make([]*Balancer, c.sidecars)
	incarnations := make([]int, c.sidecars)
	var q rampQueue
	push := func(e rampEvent) { e.incarnation = incarnations[e.sidecar]; heap.Push(&q, e) }
	sends := make([][]float64, c.warming)
	var carry func(n int, now float64, acts []Action)
	begin := func(n int, now float64, list []Server) {
		own := cfg
		own.Seed, own.SidecarNumber = rng.Uint64(), n
		if c.unknown {
			own.SidecarCount, own.SidecarNumber = 1, 0
		}
		all[n] = New(own)
		all[n].Start(now)
		carry(n, now, nil)
		acts, _ := all[n].Handle(now, ServerList{Kind: ListCached, Servers: list})
		carry(n, now, acts)
	}
	carry = func(n int, now float64, acts []Action) {
		for _, a := range append([]Action(nil), acts...) {
			switch a.Kind {
			case Send:
				at := now
				took, res := rampWork*(0.5+rng.Float64()), OK
				if s := int(a.Server) - 1; s < c.warming && at >= warm {
					sends[s] = append(sends[s], at)
				} else if c.failing > 0 && rng.Float64() < c.failing {
					took, res = 1, Failed
				}
				r := all[n].requests.byID[a.Request]
				push(rampEvent{at: now + took, sidecar: n, kind: rampHandle, event: Outcome{
					Request: a.Request, Attempt: len(r.attempts) - 1, Server: a.Server, Result: res, Latency: took, Finished: res == OK}})
			case SetTimer:
				if a.Token != listTimer {
					push(rampEvent{at: now + a.After, sidecar: n, kind: rampHandle, event: Timer{a.Token}})
				}
			}
		}
	}
	for n := range all {
		begin(n, 0, servers)
		push(rampEvent{at: rng.ExpFloat64() * sum / weights[n] / total, sidecar: n, kind: rampArrival})
		restarted := append([]Server(nil), servers[:c.warming]...)
		for i := range restarted {
			restarted[i].StartedAt = warm
		}
		push(rampEvent{at: warm + c.maxDelay*rng.Float64(), sidecar: n, kind: rampHandle, event: ServerList{Kind: ListDelta, Servers: restarted}})
		if c.restarts && n%2 == 0 {
			push(rampEvent{at: warm + rampTime*rng.Float64()/2, sidecar: n, kind: rampRestart})
		}
	}
	started := append([]Server(nil), servers...)
	for i := range c.warming {
		started[i].StartedAt = warm
	}
	next := RequestID(1)
	for len(q) > 0 {
		e := heap.Pop(&q).(rampEvent)
		if e.at >= end {
			break
		}
		n := e.sidecar
		if e.kind != rampArrival && e.incarnation != incarnations[n] {
			continue
		}
		switch e.kind {
		case rampArrival:
			next++
			acts, _ := all[n].Handle(e.at, Request{ID: next, Class: safeClass, Remaining: 1500})
			carry(n, e.at, acts)
			push(rampEvent{at: e.at + rng.ExpFloat64()*sum/weights[n]/total, sidecar: n, kind: rampArrival})
		case rampHandle:
			acts, err := all[n].Handle(e.at, e.event)
			if err == nil {
				carry(n, e.at, acts)
			}
		case rampRestart:
			incarnations[n]++
			if !c.oldLists {
				begin(n, e.at, started)
				continue
			}
			begin(n, e.at, servers)
			push(rampEvent{at: e.at + 500, sidecar: n, kind: rampHandle, event: ServerList{Kind: ListFull, Servers: started}})
		}
	}
	could, sent := 0.0, 0
	for _, times := range sends {
		sort.Float64s(times)
		sent += len(times)
		for i, from := 0, 0; i < len(times); i++ {
			for times[from] <= times[i]-c.overloadTime {
				from++
			}
			age := math.Max(0, times[i]-warm-c.overloadTime) // at the beginning of the window, where it can do least
			n := c.multiple * per * c.overloadTime * (rampStartFraction + (1-rampStartFraction)*age/rampTime)
			most = math.Max(most, float64(i-from+1)/(n+2*math.Sqrt(n)+2))
		}
		could += per * rampTime * (1 + rampStartFraction) / 2
	}
	return most, float64(sent) / could
}

// The bound that doc.go derives, and that a server is used in its slow start all the same: it gets at least half of what it can do, over
// its ramp.
func TestTheRampHoldsForTheFleet(t *testing.T) {
	worst := 0.0
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
			"all of it":        {uneven: true, warming: 3, maxDelay: 1000, restarts: true, failing: 0.1},
			"a short time":     {uneven: true, multiple: 4, overloadTime: 1500},
			"a small multiple": {uneven: true, multiple: 1.5, overloadTime: 2000},
		} {
			if c.multiple == 0 {
				c.multiple, c.overloadTime = 2.5, 3000
			}
			c.sidecars, c.servers, c.warming = sidecars, 10, max(c.warming, 1)
			use, used := 0.0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				most, part := c.play(seed)
				use, used = math.Max(use, most), used+part/seeds
			}
			worst = math.Max(worst, use)
			t.Logf("%3d sidecars, %-17s largest use %.2f of the bound, sent %.2f of what they could do",
				sidecars, name+":", use, used)
			if use > 1 || used < 0.5 {
				t.Errorf("%d sidecars, %s: a server that warms up got %.2f times what it may get, and %.2f of what it could do",
					sidecars, name, use, used)
			}
		}
	}
	t.Logf("largest use %.2f", worst)
}
