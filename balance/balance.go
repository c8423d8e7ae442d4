package balance

import (
	"fmt"
	"math"
)

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.started, b.out = now, now, b.out[:0]
	if b.cfg.Subscribe {
		b.ask()
	}
	return b.out
}

func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class],
		tenant: b.tenant(ev.Tenant), arrived: b.now, wakeAt: math.Inf(1),
	}
	r.deadline = b.now + finite(ev.Remaining, r.class.Deadline)
	b.reqs[ev.ID] = r
	admitted := b.admit(r)
	r.count() // only now: else its own class would look a little worse served
	b.asked.rate(b, 1, 0)
	b.spare = math.Min(b.spare+repeatShare, repeatBurst)
	if !admitted {
		b.answer(r)
		return nil
	}
	b.probeFor(r)
	b.step(r)
	return nil
}

// step looks at a request afresh: it sends, answers or waits.
func (b *Balancer) step(r *request) {
	if r.done || r.stream || r.uploading() {
		return
	}
	b.markOverdue(r)
	if b.now >= r.deadline || r.live == 0 && b.hopeless(r) {
		b.answer(r)
		return
	}
	if r.live == 0 && !b.held(r) {
		if s := b.pick(r, len(r.tries) > 0); s != nil {
			if b.send(r, s); r.BodyOpen {
				return
			}
		} else if !b.sendable(r) {
			b.answer(r)
			return
		}
	}
	b.wake(r)
}

// hopeless: nothing more can be sent for the request, or it is no use to wait for a server.
func (b *Balancer) hopeless(r *request) bool {
	if r.bodyGone || len(r.tries) >= b.cfg.MaxAttempts || r.spent > maxRepeats || b.spare < r.lost {
		return true
	}
	for i := range r.tries {
		a := &r.tries[i]
		forgotten := r.class.Effect == Keyed && b.now >= a.sent+r.class.Window
		if !a.clean && (r.class.Effect == Unsafe || forgotten) {
			return true
		}
	}
	return b.now >= r.arrived+r.class.LatencyTarget && b.refusable(r) && r.class.LateValue <= b.steady
}

// sendable: there is a server to wait for. Without one only news of the list could help: who is refused
// at once can be back by then, who is kept until the deadline cannot.
func (b *Balancer) sendable(r *request) bool {
	for _, s := range b.servers {
		if b.allowed(r, s) {
			return true
		}
	}
	return false
}

// answer ends a request unserved: refused where that is harmless, else failed.
func (b *Balancer) answer(r *request) {
	if b.refusable(r) {
		b.emit(Action{Kind: Reject, Request: r.ID, After: b.holdOff(r)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID})
	}
	b.close(r)
}

// holdOff is when a refused client should come back: once what answers take too long now has passed. To hold
// off for longer makes the later try too late, and its work is wasted.
func (b *Balancer) holdOff(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	at := r.class.LatencyTarget * bound(b.over, leastHold, mostHold)
	if b.cfg.MaxRetryAfter > 0 {
		at = math.Min(at, b.cfg.MaxRetryAfter)
	}
	return at
}

// refusable guards against double effects: a refused request is tried again by its client. A key that all
// servers know lets that do no harm if they still know it when the client was told to come back.
func (b *Balancer) refusable(r *request) bool {
	if r.class.Effect == Keyed && r.class.Group == GroupAll {
		back := b.now + b.holdOff(r)
		for i := range r.tries {
			if a := &r.tries[i]; !a.clean && back >= a.sent+r.class.Window {
				return false
			}
		}
		return true
	}
	return r.class.Effect == Safe || !r.mayHaveRun()
}

// wake sets a timer for the next moment at which the request must be looked at.
func (b *Balancer) wake(r *request) {
	next := r.deadline
	if r.holdUntil > b.now {
		next = math.Min(next, r.holdUntil)
	} else if r.live == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.BatchInterval, r.class.LatencyTarget/20))
	}
	for i := range r.tries {
		if a := &r.tries[i]; a.live && !a.overdue {
			next = math.Min(next, a.sent+b.overdueAfter(r))
		}
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Request: r.ID, Token: uint64(r.ID), After: math.Max(0, next-b.now)})
	}
}
