package core

import (
	"context"
	"errors"
	"math"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/upstream"
)

// attempt is one exchange for a request, from the module's decision to send until its end.
type attempt struct {
	request   *request
	number    int     // position in the request's attempts
	server    *server // nil: it was removed from the list before the attempt was sent
	serverID  balance.ServerID
	sentAt    time.Time
	call      *upstream.Call
	neverRan  bool // it has ended, and the server certainly did not execute it
	ended     bool // its outcome was handled; the rest of a streamed reply may still be arriving
	streaming bool // its reply is being streamed to the client, so the exchange must not be cancelled
	cancel    context.CancelFunc
	timeout   *timer // nil while the body of the request is still arriving
}

// send starts an attempt. If its server is no longer in the table, or the request is closed, the attempt ends as not sent.
func (l *Loop) send(action *balance.Action) {
	r := l.requests[action.Request]
	if r == nil {
		l.log.Error("the decision module sent an attempt for a request that is no longer in the table", "request", action.Request)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	a := &attempt{
		request: r, number: len(r.attempts), serverID: action.Server, server: l.servers[action.Server],
		call: l.newCall(r, action), sentAt: time.Now(), cancel: cancel,
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if a.server == nil || r.closed {
		l.deferred = append(l.deferred, func() { l.attemptEnded(a, upstream.Outcome{Result: upstream.NotSent}) })
		return
	}
	if a.call.Expires.IsZero() {
		a.call.OnRequestWritten = func() { l.post(func() { l.onRequestWritten(a) }) }
	} else {
		a.timeout = &timer{deadline: a.call.Expires, attempt: a}
		l.timers.add(a.timeout)
	}
	a.call.OnReplyStarted = func(out upstream.Outcome) { l.post(func() { l.onReplyStarted(a, out) }) }
	go func() {
		out := a.server.endpoint.Send(ctx, a.call)
		l.post(func() { l.attemptEnded(a, out) })
	}()
}

// newCall returns the call for a new attempt of a request, with its time limits.
func (l *Loop) newCall(r *request, action *balance.Action) *upstream.Call {
	call := &upstream.Call{Message: r.Message, Expires: r.deadline, ClientGone: r.isClientGone}
	if r.Message.Remainder != nil { // the time limit starts with the last byte of the body
		call.Expires, call.Wait = time.Time{}, r.Wait
	}
	if action.After > 0 {
		call.Expires = earlier(call.Expires, l.clock.timeAt(action.After))
	}
	for _, previous := range r.attempts { // a keyed request must not be sent again once servers may have forgotten its key
		if r.effect == balance.Keyed && !previous.neverRan && !math.IsInf(r.windowMillis, 1) {
			call.SendBefore = earlier(call.SendBefore, previous.sentAt.Add(toDuration(r.windowMillis)))
		}
	}
	return call
}

// balancerResults maps the results of exchanges to those of the module.
var balancerResults = [...]balance.Result{
	upstream.Served: balance.OK, upstream.Failed: balance.Failed, upstream.Rejected: balance.Rejected,
	upstream.TimedOut: balance.TimedOut, upstream.ConnectFailed: balance.ConnectFailed, upstream.Reset: balance.Reset,
	upstream.Cancelled: balance.Cancelled, upstream.NotSent: balance.NotSent,
}

// onReplyStarted handles the start of a streamed reply. For the module the attempt ends here, because the server has accepted and
// answered the request; the connection stays in use until the remainder of the reply is read or closed.
func (l *Loop) onReplyStarted(a *attempt, out upstream.Outcome) {
	if a.ended {
		out.Reply.Done()
		return
	}
	a.streaming = true
	l.attemptEnded(a, out)
}

// errNoConnection is the error of an attempt that timed out before its connection was established.
var errNoConnection = errors.New("timed out before a connection was established")

// attemptEnded handles the end of an attempt: it answers the request if the attempt was served, and passes the outcome to the
// module. Only the first call for an attempt counts; a later one discards the reply.
func (l *Loop) attemptEnded(a *attempt, out upstream.Outcome) {
	if a.ended {
		if a.streaming {
			a.cancel()
		}
		out.Reply.Done()
		return
	}
	a.ended = true
	l.timers.remove(a.timeout)
	if out.Result == upstream.TimedOut && a.call.Claim() { // nothing was sent, and nothing will be after the claim
		out = upstream.Outcome{Result: upstream.ConnectFailed, Err: errNoConnection}
	}
	if !a.streaming {
		a.cancel()
	}
	r := a.request
	r.inFlight--
	a.neverRan = out.Result.NeverRan()
	r.deliver(out)
	took := time.Since(a.sentAt)
	l.logAttempt(a, out, took)
	err := l.handle(balance.Outcome{
		Request: r.id, Attempt: a.number, Server: a.serverID, Result: balancerResults[out.Result], Latency: toMillis(took), Finished: r.closed,
		LoadReport: out.LoadReport, BodyConsumed: r.Message.Remainder != nil && r.Message.Remainder.Consumed(),
	})
	if err != nil && r.inFlight == 0 { // the module does not know the attempt and will take no further action
		l.finish(r.id, front.Answer{Verdict: front.Failed})
	}
	l.removeIfOver(r)
}

// deliver passes the outcome of an attempt to the goroutine in Answer if it ends the request. Otherwise it discards the reply.
func (r *request) deliver(out upstream.Outcome) {
	if errors.Is(out.Err, upstream.ErrClientGone) && !r.closed { // the exchange noticed it before the front's context ended
		r.closed = true
		r.answer <- answer{err: front.ErrClientGone}
	}
	if out.Result == upstream.Served && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: front.Answer{Verdict: front.Served, Reply: out.Reply}}
	} else {
		out.Reply.Done()
	}
}

// logAttempt logs an attempt that was not served, unless the sidecar cancelled it or its client has gone.
func (l *Loop) logAttempt(a *attempt, out upstream.Outcome, took time.Duration) {
	abandoned := errors.Is(out.Err, context.Canceled) || errors.Is(out.Err, upstream.ErrClientGone)
	if out.Result == upstream.Served || abandoned {
		return
	}
	name := ""
	if a.server != nil {
		name = a.server.name
	}
	l.log.Info("attempt", "trace", a.request.TraceID, "n", a.number, "server", name, "result", out.Result.String(),
		"took", toMillis(took), "err", out.Err)
}

// cancelAttempt cancels an attempt at the module's request. The outcome is passed to the module after all actions are carried
// out.
func (l *Loop) cancelAttempt(action *balance.Action) {
	r := l.requests[action.Request]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) || r.attempts[action.Attempt].ended {
		return
	}
	a := r.attempts[action.Attempt]
	result := upstream.Cancelled
	if a.call.Claim() { // nothing of it was sent
		result = upstream.NotSent
	}
	a.cancel()
	l.deferred = append(l.deferred, func() { l.attemptEnded(a, upstream.Outcome{Result: result, Err: context.Canceled}) })
}
