// Package load sends arrivals on schedule, whether or not earlier requests have been answered, as the clients of an open system do.
//
// Latency counts from when a request was scheduled, not from when it was sent: requests that wait because a server stalls count
// in full. The generator measures itself: if its own sending falls behind the schedule, or it gets no descriptor for a
// connection, the result says that it is not valid, whatever its metrics are.
//
// Memory does not grow with the length of a run: latencies are in HDR histograms, the timeline of a run in a bounded number
// of slices, and a trace is read as it is played. A Runner is used for one Run at a time; Run waits for all goroutines it starts.
package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"petrelhook/internal/rig/arrival"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// Runner sends a scenario's load. Set its fields before Run.
type Runner struct {
	Scenario *scenario.Scenario
	Schedule arrival.Schedule // nil: the scenario's
	Targets  []string         // one address for each sidecar; arrivals go to them in rotation
	Dial     Dial

	Zero  time.Time            // of all recorded times
	Calls *audit.Recorder      // gets every call; nil: none is recorded, so that memory stays bounded
	Trace *arrival.TraceWriter // gets every arrival as it was drawn; may be nil

	// Wait waits until a time, or for ctx; nil: a timer's wait. See WaitPrecisely.
	Wait func(ctx context.Context, until time.Time)
	// MaxConnections bounds those that are open at once; 0: no bound. A request that gets none makes the result invalid.
	MaxConnections int
	// MaxLag is the 99th percentile of the lag behind the schedule over which the result is not valid; 0: DefaultMaxLag.
	MaxLag time.Duration
	// OnOperation is called with each operation that has ended, from the operation's goroutine; may be nil.
	OnOperation func(Operation)
}

// DefaultMaxLag is several times the lateness of timers on a busy machine.
const DefaultMaxLag = 10 * time.Millisecond

// Operation is what a client wanted done, with all its retries.
type Operation struct {
	Class       int
	ScheduledAt time.Duration // from the start of the load
	Latency     time.Duration // from ScheduledAt to the final answer, or to when the client gave up
	Result      audit.Result  // of the last request
	Requests    int
}

// run is the state of one Run.
type run struct {
	*Runner
	scenario   *scenario.Scenario
	began      time.Time
	clients    []*client
	limit      connectionLimit
	requestMix *requestMix
	result     *Result
	pending    sync.WaitGroup
}

// Run sends the load and returns when the last operation has ended. If ctx ends before, no more is sent, requests in flight are waited
// for, and the result is marked as partial. An error is one of the schedule: it ends the run in the same way.
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
	x := &run{Runner: r, scenario: r.Scenario, began: time.Now(), requestMix: newRequestMix(r.Scenario), result: newResult(r.Scenario)}
	if x.limit.max = r.MaxConnections; r.MaxConnections <= 0 {
		x.limit.max = 1 << 30
	}
	for _, addr := range r.Targets {
		x.clients = append(x.clients, &client{dial: r.Dial, addr: addr, limit: &x.limit, onUnexpectedAnswer: x.recordUnexpectedAnswer})
	}
	x.crowds(ctx)
	err := x.arrivals(ctx, schedule)
	x.pending.Wait()
	for _, c := range x.clients {
		c.close()
	}
	maxLag := r.MaxLag
	if maxLag <= 0 {
		maxLag = DefaultMaxLag
	}
	x.result.finish(time.Since(x.began), ctx.Err() != nil, &x.limit, maxLag)
	return x.result, err
}

// arrivals starts an operation for each arrival, on schedule, and returns at the end of the schedule or of ctx.
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
		select {
		case <-ctx.Done():
			return nil
		default:
		}
		o := x.requestMix.draw(n, a)
		if x.Trace != nil {
			x.Trace.Write(o.Arrival)
		}
		x.pending.Add(1)
		go func() {
			defer x.pending.Done()
			x.operate(o)
		}()
	}
}

// waitForTimer waits until a time, or for ctx, with the precision of a timer.
func waitForTimer(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// recordUnexpectedAnswer records an answer without a request, on the connection that last carried the trace's.
func (x *run) recordUnexpectedAnswer(trace string) {
	x.result.addUnexpectedAnswer()
	if x.Calls != nil {
		x.Calls.UnexpectedAnswer(trace)
	}
}

// operate carries out one operation: a request, and retries as long as the client may and has time.
func (x *run) operate(o completeArrival) {
	class := &x.scenario.Classes[o.class]
	scheduled := x.began.Add(o.ScheduledAt)
	x.result.addLag(time.Since(scheduled))
	first, over := time.Now(), scheduled.Add(class.Deadline)
	since := func() time.Duration { return time.Since(x.Zero) }
	op := Operation{Class: o.class, ScheduledAt: o.ScheduledAt}
	for retry := 0; ; retry++ {
		q := &request{
			method: http.MethodPost, class: class.Name, tenant: o.Tenant, trace: o.id("trace", retry), subject: o.Object,
			operation: strconv.Itoa(o.number), retry: retry > 0 && x.scenario.Clients.MarkRetries,
		}
		switch class.Effect {
		case scenario.Safe:
			q.method = http.MethodGet
		case scenario.Keyed:
			q.key = o.id("key", 0)
		}
		call := audit.Call{
			Trace: q.trace, Operation: q.operation, Key: q.key, Class: class.Name, Sidecar: o.number % len(x.clients),
			ScheduledAt: scheduled.Sub(x.Zero), Patience: min(o.patience(class, retry), time.Until(over)), Retry: retry > 0,
		}
		if retry > 0 {
			call.ScheduledAt = since()
		}
		err := x.clients[call.Sidecar].send(&call, q, x.scenario.Rules.Slack, since)
		if x.Calls != nil {
			x.Calls.Call(call)
		}
		op.Result, op.Requests = call.Result, retry+1
		wait := x.scenario.Clients.RetryWait
		if call.RetryAfter > 0 {
			wait = min(call.RetryAfter, x.scenario.Clients.MaxRetryAfter)
		}
		again := retry < x.scenario.Clients.Retries && !errors.Is(err, errNoDescriptor) && mayRetry(class, &call, time.Since(first)+wait)
		if !again || time.Until(over) <= wait+time.Millisecond {
			break
		}
		waitForTimer(context.Background(), time.Now().Add(wait))
	}
	op.Latency = time.Since(scheduled)
	x.result.add(op, class)
	if x.OnOperation != nil {
		x.OnOperation(op)
	}
}

// mayRetry reports whether a client may retry, a duration after its first request: after a refusal, which promises that a retry does no
// harm; if no connection accepted the request; and after a failure if requests of the class may be repeated at any server.
func mayRetry(class *scenario.Class, call *audit.Call, after time.Duration) bool {
	switch call.Result {
	case audit.Refused, audit.Unreached:
		return true
	case audit.Failed, audit.Lost:
		anywhere := class.Effect == scenario.Keyed && class.Group == scenario.GroupAll && after < class.Window
		return class.Effect == scenario.Safe || anywhere
	}
	return false
}
