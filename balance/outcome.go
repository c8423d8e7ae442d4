package balance

import "math"

// The end of an attempt: what it says of its server and of the load, and what follows for its request.

func (b *Balancer) onOutcome(r *request, ev Outcome) {
	a := &r.attempts[ev.Attempt]
	r.endAttempt(a, ev.Result)
	r.lastCost = b.attemptCost(r, ev)
	r.totalCost += r.lastCost
	r.bodyConsumed = r.bodyConsumed || ev.BodyConsumed
	b.applyOutcome(r, a, ev)
	if r.done || ev.Finished || r.streaming {
		b.closeRequest(r)
	}
	b.advance(r)
}

// attemptCost is what a failed attempt took of the servers, as a fraction of an answer: one that broke off at
// once took next to nothing, and to retry it does no harm. A rejection or a time-out counts as a whole one.
func (b *Balancer) attemptCost(r *request, ev Outcome) float64 {
	if ev.Result == Rejected || ev.Result == TimedOut || ev.Result == Failed || r.stats.Count == 0 {
		return 1 // Failed: an error may be the request's own, and must not be tried at all servers
	}
	return clamp(ev.Latency/math.Max(r.stats.Mean, 1e-3), 0, 1)
}

// applyOutcome learns from an outcome what it says of the server and of the load.
func (b *Balancer) applyOutcome(r *request, a *attempt, ev Outcome) {
	s := a.server
	switch ev.Result {
	case OK:
		// It had ended and is back: a restart not listed yet. One lost connection is no restart.
		if s.ConnectionLost && s.Errors > 1 && !b.warmingUp(s) {
			b.beginSlowStart(s, b.now)
		}
		s.resetHealth()
		s.AnsweredAt = b.now
		b.traffic.answerRate.count(b, 1)
		b.latencies.record(ev.Latency / r.class.LatencyTarget)
		if b.now <= r.arrivedAt+r.class.LatencyTarget {
			r.stats.served++
			r.tenant.served++
		}
		if r.stats.Count > 0 {
			b.learnCapacity(s, ev.Latency/r.stats.Mean)
		}
		r.stats.add(ev.Latency)
	case Cancelled, NotSent:
	default:
		if ev.Result == TimedOut { // else the slowest answers of all would never be seen
			b.latencies.record(ev.Latency / r.class.LatencyTarget)
			b.recordTimeout(r, a, ev.Latency)
		}
		// ConnectFailed is no loss: a server with a full connection table refuses too.
		s.ConnectionLost = s.ConnectionLost || ev.Result == Reset
		if unreachable := ev.Result == ConnectFailed; unreachable || !a.overdue {
			b.recordFault(s, unreachable)
		}
	}
}
