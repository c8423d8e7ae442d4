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

// attempt is one exchange for a request, from the decision to its end.
type attempt struct {
	r      *request
	number int
	to     *server
	id     balance.ServerID
	sent   time.Time
	call   *upstream.Call
	clean  bool // it is certain that it never ran
	done   bool
	begun  bool // its answer is passed on as it comes; the exchange goes on
	cancel context.CancelFunc
	timer  *timer // the end of its time
}

// send starts an attempt.
func (l *Loop) send(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil {
		l.log.Error("the module sends for a request that is over", "request", a.Request)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	c := &upstream.Call{Message: r.Message, Expires: r.deadline, ClientGone: r.gone}
	if r.Message.Remainder != nil {
		c.Expires, c.Wait = time.Time{}, r.Wait
	}
	at := &attempt{r: r, number: len(r.attempts), id: a.Server, to: l.servers[a.Server], call: c, sent: time.Now(), cancel: cancel}
	if a.After > 0 {
		c.Expires = earlier(c.Expires, l.clock.time(a.After))
	}
	for _, before := range r.attempts { // a keyed request must not go out after its key may be forgotten
		if r.effect == balance.Keyed && !before.clean && !math.IsInf(r.window, 1) {
			c.SendBefore = earlier(c.SendBefore, before.sent.Add(duration(r.window)))
		}
	}
	r.attempts = append(r.attempts, at)
	r.out++
	if at.to == nil || r.closed {
		l.later = append(l.later, func() { l.attemptEnded(at, upstream.Outcome{Result: upstream.NotSent}) })
		return
	}
	if c.Expires.IsZero() {
		c.OnRequestWritten = func() { l.post(func() { l.written(at) }) }
	} else {
		at.timer = &timer{due: c.Expires, attempt: at}
		l.timers.set(at.timer)
	}
	c.OnReplyStarted = func(out upstream.Outcome) { l.post(func() { l.begun(at, out) }) }
	go func() {
		out := at.to.end.Send(ctx, c)
		l.post(func() { l.attemptEnded(at, out) })
	}()
}

// results are the module's names for the ends of exchanges.
var results = [...]balance.Result{
	upstream.Served: balance.OK, upstream.Failed: balance.Failed, upstream.Rejected: balance.Rejected,
	upstream.TimedOut: balance.TimedOut, upstream.ConnectFailed: balance.ConnectFailed, upstream.Reset: balance.Reset,
	upstream.Cancelled: balance.Cancelled, upstream.NotSent: balance.NotSent,
}

// begun: the server's answer is there and is passed on as it comes. For the module the attempt has ended with it, since what
// is left is no work of the server's; its connection is in use until the rest has ended too.
func (l *Loop) begun(at *attempt, out upstream.Outcome) {
	if at.done {
		out.Reply.Done()
		return
	}
	at.begun = true
	l.attemptEnded(at, out)
}

// attemptEnded reports the first end of an attempt to the module. Others are dropped.
func (l *Loop) attemptEnded(at *attempt, out upstream.Outcome) {
	if at.done {
		if at.begun {
			at.cancel()
		}
		out.Reply.Done()
		return
	}
	at.done = true
	l.timers.stop(at.timer)
	if out.Result == upstream.TimedOut && at.call.Claim() { // its connection never came up; claimed before it is given up
		out = upstream.Outcome{Result: upstream.ConnectFailed, Err: errors.New("no connection in time")}
	}
	if !at.begun {
		at.cancel()
	}
	r := at.r
	r.out--
	at.clean = out.Result.NeverRan()
	if errors.Is(out.Err, upstream.ErrClientGone) && !r.closed { // seen here before its front could tell
		r.closed = true
		r.answer <- answer{err: front.ErrClientGone}
	}
	if out.Result == upstream.Served && !r.closed {
		r.closed = true
		r.answer <- answer{Answer: front.Answer{Verdict: front.Served, Reply: out.Reply}}
	} else {
		out.Reply.Done()
	}
	took := time.Since(at.sent)
	givenUp := errors.Is(out.Err, context.Canceled) || errors.Is(out.Err, upstream.ErrClientGone)
	if out.Result != upstream.Served && !givenUp {
		name := ""
		if at.to != nil {
			name = at.to.name
		}
		l.log.Info("attempt", "trace", r.TraceID, "n", at.number, "server", name, "result", out.Result.String(), "took", millis(took), "err", out.Err)
	}
	err := l.tell(balance.Outcome{
		Request: r.id, Attempt: at.number, Server: at.id, Result: results[out.Result], Latency: millis(took), Finished: r.closed,
		LoadReport: out.LoadReport, BodyConsumed: r.Message.Remainder != nil && r.Message.Remainder.Consumed(),
	})
	if err != nil && r.out == 0 { // the module does not know of it, so nothing more would come
		l.finish(r.id, front.Answer{Verdict: front.Failed})
	}
	l.removeIfOver(r)
}

func (l *Loop) cancelAttempt(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) || r.attempts[a.Attempt].done {
		return
	}
	at := r.attempts[a.Attempt]
	result := upstream.Cancelled
	if at.call.Claim() { // nothing of it has left
		result = upstream.NotSent
	}
	at.cancel()
	l.later = append(l.later, func() { l.attemptEnded(at, upstream.Outcome{Result: result, Err: context.Canceled}) })
}

func (l *Loop) probe(id balance.ServerID) {
	s := l.servers[id]
	if s == nil {
		l.later = append(l.later, func() { l.tell(balance.ProbeResult{Server: id, Result: balance.ConnectFailed}) })
		return
	}
	began := time.Now()
	go func() {
		out := s.end.CheckHealth(l.ctx)
		l.post(func() {
			l.tell(balance.ProbeResult{Server: id, Result: results[out.Result], Latency: millis(time.Since(began)), LoadReport: out.LoadReport})
		})
	}()
}
