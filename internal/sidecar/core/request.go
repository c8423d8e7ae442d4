package core

import (
	"context"
	"math"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/upstream"
)

const (
	// answerMargin is how long before the client's deadline its answer is due, because timers and writes take time.
	answerMargin = 4 * time.Millisecond
	// maxUploadTime is how long the id of a request is reserved while its body is still arriving: the time that the largest body
	// takes from the slowest client that is served.
	maxUploadTime = 15 * time.Minute
	// minRemainingMillis is the least remaining time, in milliseconds, that the module accepts.
	minRemainingMillis = 1e-3
)

// request is a client's request until it is answered and its last attempt has ended.
type request struct {
	front.Request
	id           balance.RequestID
	effect       balance.Effect
	windowMillis float64
	deadline     time.Time
	answer       chan answer // buffered, for the one answer
	// isClientGone reports whether the client has disconnected. An exchange calls it immediately before it sends, because the
	// loop may handle the disconnect much later: its event waits behind others in the queue.
	isClientGone func() bool
	closed       bool // answered, or the client has gone
	attempts     []*attempt
	timers       []*timer // the module's timers for this request
	inFlight     int      // number of attempts that have not ended
}

// answer holds the results of Answer: an answer, or the reason why there is none.
type answer struct {
	front.Answer
	err error
}

// timeLimit returns how long after Arrived, or after the last byte of a streamed body, the request is answered at the latest.
func (r *request) timeLimit() time.Duration { return r.Wait - min(answerMargin, r.Wait/10) }

// Answer passes a request to the loop and waits for its answer; see front.Core. If ctx ends first, the client counts as gone and
// the error is that of ctx.
func (l *Loop) Answer(ctx context.Context, in front.Request) (front.Answer, error) {
	r := &request{Request: in, answer: make(chan answer, 1)}
	r.isClientGone = func() bool { return ctx.Err() != nil || in.ClientGone != nil && in.ClientGone() }
	l.post(func() { l.accept(r) })
	select {
	case a := <-r.answer:
		return a.Answer, a.err
	case <-ctx.Done():
		l.post(func() { l.onClientGone(r) })
		return front.Answer{}, ctx.Err()
	case <-l.ended:
	}
	select {
	case a := <-r.answer: // given before the loop ended
		return a.Answer, a.err
	default:
		return front.Answer{}, front.ErrCoreEnded
	}
}

// reject answers a request that is not accepted with an error.
func (l *Loop) reject(r *request, err error) {
	r.closed = true
	r.answer <- answer{err: err}
}

// accept adds a request to the table and passes it to the module, unless its id is reserved or the module rejects it.
func (l *Loop) accept(r *request) {
	if r.Class < 0 || r.Class >= len(l.config.Module.Classes) {
		l.reject(r, front.ErrInvalid)
		return
	}
	if !l.ids.reserve(r.TraceID) {
		l.reject(r, front.ErrInUse)
		return
	}
	class := &l.config.Module.Classes[r.Class]
	l.lastID++
	r.id, r.effect, r.windowMillis = l.lastID, class.Effect, class.Window
	streamed := r.Message.Remainder != nil
	r.deadline = r.Arrived.Add(r.timeLimit())
	if streamed { // the time limit starts with the last byte
		r.deadline = r.Arrived.Add(maxUploadTime)
	}
	l.requests[r.id] = r
	event := balance.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, WorkHint: toMillis(r.WorkHint),
		Remaining: math.Max(toMillis(time.Until(r.deadline)), minRemainingMillis), ClientRetry: r.ClientRetry, BodyOpen: streamed,
	}
	if streamed {
		event.Remaining = math.Max(toMillis(r.timeLimit()), minRemainingMillis)
	}
	if r.AffinityKey != "" {
		event.Key = stableHash(r.AffinityKey)
	}
	if err := l.handle(event); err != nil {
		l.remove(r)
		l.reject(r, front.ErrInvalid)
	}
}

// onRequestWritten handles that the last byte of a streamed request was sent. It starts the time limit of the request and of the
// attempt.
func (l *Loop) onRequestWritten(a *attempt) {
	r := a.request
	if a.ended || r.closed || r.Message.Remainder == nil {
		return
	}
	r.deadline = time.Now().Add(r.timeLimit())
	a.timeout = &timer{deadline: r.deadline, attempt: a}
	l.timers.add(a.timeout)
	l.notify(balance.BodySent{Request: r.id, Attempt: a.number})
}

// finish answers a request, unless it is closed already.
func (l *Loop) finish(id balance.RequestID, a front.Answer) {
	if r := l.requests[id]; r != nil && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: a}
		l.removeIfOver(r)
	}
}

// onClientGone handles that the client has disconnected.
func (l *Loop) onClientGone(r *request) {
	if r.closed {
		select {
		case a := <-r.answer: // the answer was given at the same time, and Answer has returned without it
			a.Reply.Done()
		default:
		}
		return
	}
	r.closed = true
	for _, a := range r.attempts { // unsent attempts end here, even if the settings do not allow attempts to be cancelled
		if !a.ended && a.call.Claim() {
			a.cancel()
			l.attemptEnded(a, upstream.Outcome{Result: upstream.NotSent, Err: upstream.ErrClientGone})
		}
	}
	l.notify(balance.ClientGone{Request: r.id})
	l.removeIfOver(r)
}

// removeIfOver removes a request that is closed and has no attempts in flight.
func (l *Loop) removeIfOver(r *request) {
	if r.closed && r.inFlight == 0 && l.requests[r.id] == r {
		l.remove(r)
	}
}

// remove removes a request and its timers; its id stays reserved until its deadline.
func (l *Loop) remove(r *request) {
	delete(l.requests, r.id)
	// A late copy must not be executed either. Clients do not reuse ids, so an id is reserved only until the deadline.
	l.ids.releaseAt(r.TraceID, r.deadline)
	l.timers.remove(r.timers...)
}
