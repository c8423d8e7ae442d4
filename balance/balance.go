package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// The errors that Handle returns for impossible events.
var (
	ErrIDInUse      = errors.New("the id is in use")
	ErrUnknownClass = errors.New("unknown class")
	ErrNotInFlight  = errors.New("it is not out")
)

// listTimer is the token of the timer for the server list. A request's timers have its ID, which is below
// 2^52.
const listTimer = 1 << 60

// Balancer makes the decisions of one sidecar. It is not safe for concurrent use. All its randomness comes
// from Config.Seed, so that the same events give the same actions.
type Balancer struct {
	cfg              Config
	rng              *rand.Rand
	now, startedAt   float64  // the time of the last event, and of Start
	maxLatencyTarget float64  // of all classes
	actions          []Action // of the current event; the slice is reused for the next one

	servers      serverTable
	requests     requestTable
	traffic      traffic
	latencies    latencyStats
	capacities   capacityModel
	shedding     loadShedding
	timeouts     timeoutTable
	polling      listPolling
	retryBudget  float64 // cost that retries may still have, in whole attempts; see attemptCost
	busyFraction float64 // recent fraction of load reports that came from servers with requests in flight
}

// New returns a balancer with the given settings, completed by withDefaults. Start must be called before
// Handle.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	b := &Balancer{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.SidecarNumber))), maxLatencyTarget: 1,
		servers:    serverTable{byID: map[ServerID]*server{}},
		requests:   requestTable{byID: map[RequestID]*request{}},
		capacities: capacityModel{kinds: map[int]float64{}, zones: map[int]float64{}},
		timeouts:   timeoutTable{records: map[classKey]timeoutRecord{}},
		latencies:  latencyStats{min: initialMinLatency}, retryBudget: retryBurst / 2, busyFraction: 1,
	}
	for _, class := range cfg.Classes {
		b.maxLatencyTarget = math.Max(b.maxLatencyTarget, class.LatencyTarget)
		stats := classStats{servedCounts: servedCounts{requests: 1, served: 1}, value: class.Value}
		b.traffic.classes = append(b.traffic.classes, stats)
	}
	for _, tenant := range append(cfg.Tenants, Tenant{}) { // the last is for requests without one
		b.traffic.tenants = append(b.traffic.tenants, servedCounts{1, 1, tenant.Share})
	}
	return b
}

// Handle handles one event and returns the actions to carry out now, in order. The actions are valid until
// the next call. An error means that the event is impossible, by a fault of the caller: only the time has
// changed, and there are no actions. Events for servers and requests that are unknown by now are ignored
// without an error.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	if now > b.now && !math.IsInf(now, 1) { // time never goes back
		b.now = now
	}
	b.actions = b.actions[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		if b.requests.byID[ev.ID] != nil {
			return nil, fmt.Errorf("request %d: %w", ev.ID, ErrIDInUse)
		}
		err = b.onRequest(ev)
	case Outcome:
		r := b.requests.byID[ev.Request]
		if r == nil || !r.inFlight(ev.Attempt) {
			return nil, fmt.Errorf("outcome of request %d, attempt %d: %w",
				ev.Request, ev.Attempt, ErrNotInFlight)
		}
		ev.Latency = finite(ev.Latency, math.MaxFloat32)
		b.onOutcome(r, ev)
	case Timer:
		b.onTimer(ev)
	case ServerList:
		b.onList(ev)
	case ProbeResult:
		b.onProbe(ev)
	case ClientGone:
		if r := b.requests.byID[ev.Request]; r != nil {
			b.closeRequest(r)
		}
	case ResponseStarted:
		b.onResponseStarted(ev)
	case BodySent:
		b.onBodySent(ev)
	}
	return b.actions, err
}

// emit adds an action to those of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// onTimer handles a timer that is due. One of a request that has ended is ignored.
func (b *Balancer) onTimer(ev Timer) {
	if ev.Token == listTimer {
		b.watchList()
	} else if r := b.requests.byID[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // without a look at the clock: a timer may fire early by a rounding error
		b.advance(r)
	}
}

// onResponseStarted ends retries and time limits of a request whose streamed answer has begun, and cancels
// its other attempts.
func (b *Balancer) onResponseStarted(ev ResponseStarted) {
	if r := b.requests.byID[ev.Request]; r != nil && !r.done && !r.streaming {
		r.streaming = true // no deadline and no retry from here on
		b.cancelOthers(r, ev.Attempt)
	}
}

// onBodySent starts the time limits of a request whose body was still arriving, and those of its attempt.
func (b *Balancer) onBodySent(ev BodySent) {
	r := b.requests.byID[ev.Request]
	if r == nil || !r.BodyOpen || !r.inFlight(ev.Attempt) {
		return
	}
	r.BodyOpen = false
	r.arrivedAt, r.deadline = b.now, b.now+finite(r.Remaining, r.class.Deadline)
	r.attempts[ev.Attempt].sentAt = b.now
	r.attempts[ev.Attempt].server.countAttempt(1, r)
	b.advance(r)
}

// hash64 returns a 64-bit hash of a number, the same at every sidecar. It is the finalizer of splitmix64.
func hash64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// clamp returns v limited to the given bounds.
func clamp(v, lowest, highest float64) float64 { return math.Max(lowest, math.Min(highest, v)) }
