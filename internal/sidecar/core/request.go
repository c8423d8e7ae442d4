package core

import (
	"context"
	"math"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/upstream"
)

// answerMargin is how long before the client's time is up its answer is due: timers and writes take time.
const answerMargin = 4 * time.Millisecond

// longestUpload is for how long the id of a request is held whose body is still coming: as long as the largest takes from a
// client of a pace that is served.
const longestUpload = 15 * time.Minute

// written: the last byte of a request whose body was passed on has left for its server.
func (l *Loop) written(at *attempt) {
	r := at.r
	if at.done || r.closed || r.Message.Remainder == nil {
		return
	}
	r.deadline = time.Now().Add(r.Wait - min(answerMargin, r.Wait/10))
	at.timer = &timer{due: r.deadline, attempt: at}
	l.timers.set(at.timer)
	l.tell(balance.BodySent{Request: r.id, Attempt: at.number})
}

// request is a client's request until it is answered and its last attempt has ended.
type request struct {
	front.Request
	id       balance.RequestID
	effect   balance.Effect
	window   float64 // ms
	deadline time.Time
	answer   chan answer // takes one
	gone     func() bool // its client has gone; whoever is about to send asks, for the hang-up may wait behind much else
	closed   bool
	attempts []*attempt
	timers   []*timer // the module's
	out      int
}

// answer is what a front gets: an answer, or why the request was not taken.
type answer struct {
	front.Answer
	err error
}

// Answer hands a request in and waits for its answer, as front.Core says.
func (l *Loop) Answer(ctx context.Context, in front.Request) (front.Answer, error) {
	r := &request{Request: in, answer: make(chan answer, 1)}
	r.gone = func() bool { return ctx.Err() != nil || in.ClientGone != nil && in.ClientGone() }
	l.post(func() { l.accept(r) })
	select {
	case a := <-r.answer:
		return a.Answer, a.err
	case <-ctx.Done():
		l.post(func() { l.hangUp(r) })
		return front.Answer{}, ctx.Err()
	case <-l.ended:
	}
	select {
	case a := <-r.answer: // given before the end
		return a.Answer, a.err
	default:
		return front.Answer{}, front.ErrEnded
	}
}

// reject turns down what was not taken.
func (l *Loop) reject(r *request, err error) {
	r.closed = true
	r.answer <- answer{err: err}
}

// accept takes a request in, unless its id is in use or the module cannot take it.
func (l *Loop) accept(r *request) {
	if r.Class < 0 || r.Class >= len(l.config.Module.Classes) {
		l.reject(r, front.ErrInvalid)
		return
	}
	if !l.ids.take(r.TraceID) {
		l.reject(r, front.ErrInUse)
		return
	}
	class := &l.config.Module.Classes[r.Class]
	l.lastID++
	r.id, r.effect, r.window = l.lastID, class.Effect, class.Window
	open := r.Message.Remainder != nil
	r.deadline = r.Arrived.Add(r.Wait - min(answerMargin, r.Wait/10))
	if open { // its time begins with its last byte
		r.deadline = r.Arrived.Add(longestUpload)
	}
	l.requests[r.id] = r
	ev := balance.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, WorkHint: millis(r.WorkHint),
		Remaining: math.Max(millis(time.Until(r.deadline)), 1e-3), ClientRetry: r.ClientRetry, BodyOpen: open,
	}
	if open {
		ev.Remaining = math.Max(millis(r.Wait-min(answerMargin, r.Wait/10)), 1e-3)
	}
	if r.AffinityKey != "" {
		ev.Key = stableHash(r.AffinityKey)
	}
	if err := l.tell(ev); err != nil {
		l.remove(r)
		l.reject(r, front.ErrInvalid)
	}
}

// finish gives a request its one answer. Later ones are dropped.
func (l *Loop) finish(id balance.RequestID, a front.Answer) {
	if r := l.requests[id]; r != nil && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: a}
		l.removeIfOver(r)
	}
}

// hangUp: the client has gone away.
func (l *Loop) hangUp(r *request) {
	if r.closed {
		select {
		case a := <-r.answer: // it crossed with the hang-up, and nobody takes it any more
			a.Reply.Done()
		default:
		}
		return
	}
	r.closed = true
	for _, at := range r.attempts { // what has not begun does not begin any more, whether or not attempts may be cancelled
		if !at.done && at.call.Claim() {
			at.cancel()
			l.attemptEnded(at, upstream.Outcome{Result: upstream.NotSent, Err: upstream.ErrClientGone})
		}
	}
	l.tell(balance.ClientGone{Request: r.id})
	l.removeIfOver(r)
}

func (l *Loop) removeIfOver(r *request) {
	if r.closed && r.out == 0 && l.requests[r.id] == r {
		l.remove(r)
	}
}

func (l *Loop) remove(r *request) {
	delete(l.requests, r.id)
	// A copy that comes late must not run either. Ids are never used again, so they are kept no longer than that.
	l.ids.until(r.TraceID, r.deadline)
	l.timers.stop(r.timers...)
}
