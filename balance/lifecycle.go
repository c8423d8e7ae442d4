package balance

import (
	"fmt"
	"math"
	"slices"
)

// The life of a request: whether it is sent, waits, or is answered without having been served.

// Start returns the first actions of the balancer. It is called once, before the first event. The actions are
// valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.startedAt, b.actions = now, now, b.actions[:0]
	if b.cfg.Subscribe {
		b.watchList()
	}
	return b.actions
}

// onRequest admits a request or answers it at once. The request is counted either way, as rejected clients
// retry.
func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: %w %d", ev.ID, ErrUnknownClass, ev.Class)
	}
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], stats: &b.traffic.classes[ev.Class],
		tenant: b.traffic.tenant(ev.Tenant), arrivedAt: b.now, wakeAt: math.Inf(1),
	}
	r.deadline = b.now + finite(ev.Remaining, r.class.Deadline)
	b.requests.byID[ev.ID] = r
	admitted := b.admit(r)
	r.stats.requests++ // after admit, to which the request's own class would otherwise look worse served
	r.tenant.requests++
	b.traffic.requestRate.count(b, 1)
	b.retryBudget = math.Min(b.retryBudget+retryRatio, retryBurst)
	if !admitted {
		b.answerUnserved(r)
		return nil
	}
	b.startProbes(r)
	b.advance(r)
	return nil
}

// advance takes the next step for a request: it sends it, answers it or sets a timer. It may be called at any
// time, and does nothing if there is nothing to do.
func (b *Balancer) advance(r *request) {
	if r.done || r.streaming || r.sendingBody() {
		return
	}
	b.recordOverdue(r)
	if b.now >= r.deadline || r.live == 0 && b.noRetryLeft(r) {
		b.answerUnserved(r)
		return
	}
	if r.live == 0 && !b.awaitsProbes(r) {
		if s := b.pick(r, len(r.attempts) > 0); s != nil {
			if b.send(r, s); r.BodyOpen {
				return
			}
		} else if !b.hasEligibleServer(r) {
			b.answerUnserved(r)
			return
		}
	}
	b.scheduleWakeup(r)
}

// noRetryLeft reports whether another attempt at a request is impossible or of no use: its body has been
// consumed, its attempts or the retry budget are used up, it may have been executed and must not run twice,
// or its answer would be late, with a value no higher than the fraction of the load that is being shed.
func (b *Balancer) noRetryLeft(r *request) bool {
	if r.bodyConsumed || len(r.attempts) >= b.cfg.MaxAttempts || r.totalCost > maxRetryCost ||
		b.retryBudget < r.lastCost {
		return true
	}
	// An attempt that may have been executed forbids another one: always for an unsafe request, and for a
	// keyed one once servers may have forgotten its key.
	mayRunTwice := slices.ContainsFunc(r.attempts, func(a attempt) bool {
		forgotten := r.class.Effect == Keyed && b.now >= a.sentAt+r.class.Window
		return !a.neverRan && (r.class.Effect == Unsafe || forgotten)
	})
	late := b.now >= r.arrivedAt+r.class.LatencyTarget
	return mayRunTwice || late && b.rejectable(r) && r.class.LateValue <= b.shedding.integral
}

// hasEligibleServer reports whether there is a server to wait for. Without one the client is answered at
// once, and may still have time to retry elsewhere.
func (b *Balancer) hasEligibleServer(r *request) bool {
	return slices.ContainsFunc(b.servers.all, func(s *server) bool { return b.eligible(r, s) })
}

// answerUnserved ends a request that no server answered. If a client's retry is harmless the request is
// rejected, which invites a retry; otherwise it fails.
func (b *Balancer) answerUnserved(r *request) {
	if b.rejectable(r) {
		b.emit(Action{Kind: Reject, Request: r.ID, After: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID})
	}
	b.closeRequest(r)
}

// retryAfter returns the time from now after which a rejected client should retry, or 0 to give none. It is
// the time by which answers exceed their permitted latency, within bounds, so that the retry arrives at a
// lower load and still in time.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	after := r.class.LatencyTarget * clamp(b.shedding.excess, minRetryAfter, maxRetryAfter)
	if b.cfg.MaxRetryAfter > 0 {
		after = math.Min(after, b.cfg.MaxRetryAfter)
	}
	return after
}

// rejectable reports whether a request may be rejected, which allows its client to retry it in a new request
// at any server. That is harmless if the request is safe or was not executed, or if it has a key that all
// servers share and still remember at the time of the retry.
func (b *Balancer) rejectable(r *request) bool {
	knownToAll := r.class.Effect == Keyed && r.class.Group == GroupAll
	retryAt := b.now + b.retryAfter(r)
	return r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.neverRan && (!knownToAll || retryAt >= a.sentAt+r.class.Window)
	})
}

// scheduleWakeup sets a timer for the next time at which there may be something to do for the request: its
// deadline, the end of its wait for probes, another search for a server, or an attempt that becomes overdue.
// Timers cannot be cancelled, so none is set while an earlier one is pending.
func (b *Balancer) scheduleWakeup(r *request) {
	next := r.deadline
	if r.probeDeadline > b.now {
		next = math.Min(next, r.probeDeadline)
	} else if r.live == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.BatchInterval, r.class.LatencyTarget/20))
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live && !a.overdue {
			next = math.Min(next, a.sentAt+b.overdueAfter(r))
		}
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Request: r.ID, Token: uint64(r.ID), After: math.Max(0, next-b.now)})
	}
}
