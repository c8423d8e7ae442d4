package balance

import "math"

// The end of an attempt: what it says of its server and of the load, and what follows for its request.

// onOutcome ends an attempt. The request ends too where it has its answer; otherwise it may be retried.
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

// attemptCost is what an attempt cost the servers, as a fraction of an answer's work: one that broke off at
// once took next to nothing, and to retry it does no harm. A rejection, an error or a time-out counts in
// full.
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
		// A server that lost connections and made other errors, and answers again, has restarted, though no
		// list says so yet. One lost connection alone is no restart.
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
		if ev.Result == TimedOut { // counted as an answer: the slowest ones would never be seen otherwise
			b.latencies.record(ev.Latency / r.class.LatencyTarget)
			b.recordTimeout(r, a, ev.Latency)
		}
		// A failure to connect is no lost connection: a server whose connection table is full refuses too.
		s.ConnectionLost = s.ConnectionLost || ev.Result == Reset
		if unreachable := ev.Result == ConnectFailed; unreachable || !a.overdue {
			b.recordFault(s, unreachable)
		}
	}
}
