// Package load sends arrivals on schedule, whether or not earlier answers have come, as an open system's clients do.
//
// Latency counts from when a request was due, not from when it was sent: what waits because a server stalls is counted
// in full. The generator watches itself. Where its own sending falls behind the schedule, or it has no room for one
// more connection, the result says that it is not valid, whatever figures it has.
//
// Memory does not grow with the length of a run: latencies go to HDR histograms, the course of a run to a fixed number
// of slices, and a trace is read as it is played.
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// Runner sends a scenario's load.
type Runner struct {
	Scenario *scenario.Scenario
	Schedule arrival.Schedule // nil: the scenario's
	Targets  []string         // one address for each sidecar; arrivals are dealt out to them in turn
	Dial     Dial

	Zero  time.Time            // of all recorded times
	Calls *audit.Recorder      // gets every try; nil: none is kept, so that memory stays bounded
	Trace *arrival.TraceWriter // gets every arrival as it was drawn; may be nil

	// Wait waits until a time, or for ctx; nil: a timer's wait. See WaitPrecisely.
	Wait func(ctx context.Context, until time.Time)
	// Connections bounds those that are open at once; 0: no bound. A request that finds no room makes the result invalid.
	Connections int
	// MaxLag is the 99th percentile of the lag behind the schedule over which the result is not valid; 0: DefaultMaxLag.
	MaxLag time.Duration
	// Live, where set, is called with each operation that ended.
	Live func(Operation)
}

// DefaultMaxLag is some times what a timer is late on a busy machine.
const DefaultMaxLag = 10 * time.Millisecond

// Operation is what a client wanted done, over all its tries.
type Operation struct {
	Class   int
	Due     time.Duration // from the start of the load
	Latency time.Duration // from Due to the final answer, or to when the client gave up
	Result  audit.Result  // of the last try
	Tries   int
}

// run is the state of one Run.
type run struct {
	*Runner
	s       *scenario.Scenario
	began   time.Time
	clients []*client
	room    room
	mix     *mix
	result  *Result
	out     sync.WaitGroup
}

// Run sends the load and returns when the last operation has ended. Where ctx ends first no more is sent, what is out
// is waited for, and the result is marked as partial. An error is one of the schedule: it ends the run likewise.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	schedule := r.Schedule
	if schedule == nil {
		var err error
		if schedule, err = arrival.NewSchedule(r.Scenario); err != nil {
			return nil, err
		}
	}
	if c, ok := schedule.(io.Closer); ok {
		defer func() { _ = c.Close() }()
	}
	if len(r.Targets) == 0 {
		return nil, errors.New("load: no address to send to")
	}
	x := &run{Runner: r, s: r.Scenario, began: time.Now(), mix: newMix(r.Scenario), result: newResult(r.Scenario)}
	if x.room.most = r.Connections; r.Connections <= 0 {
		x.room.most = 1 << 30
	}
	for _, addr := range r.Targets {
		x.clients = append(x.clients, &client{dial: r.Dial, addr: addr, room: &x.room, extra: x.extra})
	}
	x.crowds(ctx)
	err := x.arrivals(ctx, schedule)
	x.out.Wait()
	for _, c := range x.clients {
		c.close()
	}
	maxLag := r.MaxLag
	if maxLag <= 0 {
		maxLag = DefaultMaxLag
	}
	x.result.finish(time.Since(x.began), ctx.Err() != nil, &x.room, maxLag)
	return x.result, err
}

func (x *run) arrivals(ctx context.Context, schedule arrival.Schedule) error {
	wait := x.Wait
	if wait == nil {
		wait = waitForTimer
	}
	for n := 0; ; n++ {
		a, err := schedule.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		until := x.began.Add(a.ScheduledAt)
		if time.Until(until) > 0 {
			wait(ctx, until)
		}
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the end of the run is no failure of it
		}
		o := x.mix.draw(n, a)
		if x.Trace != nil {
			x.Trace.Write(o.Arrival)
		}
		x.out.Add(1)
		go func() {
			defer x.out.Done()
			x.operate(o)
		}()
	}
}

func waitForTimer(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (x *run) extra(trace string) {
	x.result.addExtra()
	if x.Calls != nil {
		x.Calls.Extra(trace)
	}
}

// operate is a client with one wish.
func (x *run) operate(o drawn) {
	class := &x.s.Classes[o.class]
	due := x.began.Add(o.ScheduledAt)
	x.result.addLag(time.Since(due))
	first, over := time.Now(), due.Add(class.Deadline)
	since := func() time.Duration { return time.Since(x.Zero) }
	op := Operation{Class: o.class, Due: o.ScheduledAt}
	for retry := 0; ; retry++ {
		q := &request{
			method: http.MethodPost, class: class.Name, tenant: o.Tenant, trace: o.id("trace", retry), about: o.Object,
			op: strconv.Itoa(o.n), retry: retry > 0 && x.s.Clients.MarkRetries,
		}
		switch class.Effect {
		case scenario.Safe:
			q.method = http.MethodGet
		case scenario.Keyed:
			q.key = o.id("key", 0)
		}
		call := audit.Call{
			Trace: q.trace, Operation: q.op, Key: q.key, Class: class.Name, Sidecar: o.n % len(x.clients),
			ScheduledAt: due.Sub(x.Zero), Patience: min(o.patience(class, retry), time.Until(over)), Retry: retry > 0,
		}
		if retry > 0 {
			call.ScheduledAt = since()
		}
		err := x.clients[call.Sidecar].do(&call, q, x.s.Rules.Slack, since)
		if x.Calls != nil {
			x.Calls.Call(call)
		}
		op.Result, op.Tries = call.Result, retry+1
		wait := x.s.Clients.RetryWait
		if call.RetryAfter > 0 {
			wait = min(call.RetryAfter, x.s.Clients.MaxRetryAfter)
		}
		again := retry < x.s.Clients.Retries && !errors.Is(err, errNoRoom) && permits(class, &call, time.Since(first)+wait)
		if !again || time.Until(over) <= wait+time.Millisecond {
			break
		}
		waitForTimer(context.Background(), time.Now().Add(wait))
	}
	op.Latency = time.Since(due)
	x.result.add(op, class)
	if x.Live != nil {
		x.Live(op)
	}
}

// permits says whether a client may try again, so long after its first try: after a refusal, which promises that it
// does no harm; where nothing was taken; and after a failure where the class lets anyone repeat it.
func permits(class *scenario.Class, call *audit.Call, after time.Duration) bool {
	switch call.Result {
	case audit.Refused, audit.Unreached:
		return true
	case audit.Failed, audit.Lost:
		anywhere := class.Effect == scenario.Keyed && class.Group == scenario.GroupAll && after < class.Window
		return class.Effect == scenario.Safe || anywhere
	}
	return false
}

// mix draws what arrivals leave open. It is used by one goroutine, in the order of the arrivals.
type mix struct {
	s      *scenario.Scenario
	shares []float64 // of classes, summed up
	zipf   *rand.Zipf
}

func newMix(s *scenario.Scenario) *mix {
	m := &mix{s: s}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		m.shares = append(m.shares, sum)
	}
	if s.Clients.Skew > 1 {
		m.zipf = rand.NewZipf(rand.New(rand.NewPCG(s.Seed, 1<<32)), s.Clients.Skew, 1, uint64(s.Clients.Objects-1))
	}
	return m
}

// drawn is an arrival with nothing left open.
type drawn struct {
	arrival.Arrival
	s     *scenario.Scenario
	n     int
	class int
}

func (m *mix) draw(n int, a arrival.Arrival) drawn {
	o := drawn{Arrival: a, s: m.s, n: n}
	if o.class = m.s.Class(a.Class); o.class < 0 {
		u := o.u("class") * m.shares[len(m.shares)-1]
		for o.class = 0; m.shares[o.class] <= u; o.class++ {
		}
		o.Class = m.s.Classes[o.class].Name
	}
	if o.Tenant == "" && len(m.s.Tenants) > 0 {
		o.Tenant = m.tenant(o.u("tenant"))
	}
	if o.Object == "" {
		about := uint64(o.u("about") * float64(m.s.Clients.Objects))
		if m.zipf != nil {
			about = m.zipf.Uint64()
		}
		o.Object = strconv.FormatUint(about, 10)
	}
	if o.Patience == 0 {
		o.Patience = o.patience(&m.s.Classes[o.class], 0)
	}
	return o
}

func (m *mix) tenant(u float64) string {
	sum := 0.0
	for _, t := range m.s.Tenants {
		sum += t.Share
	}
	u *= sum
	for _, t := range m.s.Tenants {
		if u -= t.Share; u < 0 {
			return t.Name
		}
	}
	return m.s.Tenants[len(m.s.Tenants)-1].Name
}

func (o *drawn) u(what string, more ...string) float64 {
	return scenario.Draw(o.s.Seed, append(more, what, strconv.Itoa(o.n))...)
}

// patience is how long the client waits for a try.
func (o *drawn) patience(class *scenario.Class, retry int) time.Duration {
	if retry == 0 && o.Patience > 0 {
		return o.Patience
	}
	p := o.s.Clients.Patience
	u := o.u("patience", strconv.Itoa(retry))
	return time.Duration((p[0] + u*(p[1]-p[0])) * float64(class.Deadline))
}

// id is a name that no other try, or no other operation, of any run with another seed has.
func (o *drawn) id(what string, retry int) string {
	return fmt.Sprintf("%013x%08x%02x", uint64(o.u(what, strconv.Itoa(retry))*(1<<52)), o.n, retry)
}
