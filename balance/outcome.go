package balance

import "math"

// This file handles the end of an attempt: it updates the state of the server and of the load, and ends or
// retries the request.

// onOutcome ends an attempt. It also ends the request if the request needs no further answer; otherwise the
// request may be retried.
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

// attemptCost returns the work that an attempt cost the servers, as a fraction of an answer's work. An
// attempt that failed immediately cost the servers almost nothing, so a retry adds little load. A rejection,
// an error or a time-out counts in full.
func (b *Balancer) attemptCost(r *request, ev Outcome) float64 {
	if ev.Result == Rejected || ev.Result == TimedOut || ev.Result == Failed || r.stats.Count == 0 {
		return 1 // Failed: the request itself may cause the error, so the cost limits the servers it reaches
	}
	return clamp(ev.Latency/math.Max(r.stats.Mean, 1e-3), 0, 1)
}

// applyOutcome updates the state of the server and the load from an outcome.
func (b *Balancer) applyOutcome(r *request, a *attempt, ev Outcome) {
	s := a.server
	switch ev.Result {
	case OK:
		// A server that answers again after a lost connection and further errors has restarted, even if the
		// list of servers does not show it yet. A single lost connection does not show a restart.
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
		if ev.Result == TimedOut { // without these, b.latencies would lack the slowest answers
			b.latencies.record(ev.Latency / r.class.LatencyTarget)
			b.recordTimeout(r, a, ev.Latency)
		}
		// A failure to connect is not a lost connection: a server with a full connection table also refuses.
		s.ConnectionLost = s.ConnectionLost || ev.Result == Reset
		if unreachable := ev.Result == ConnectFailed; unreachable || !a.overdue {
			b.recordFault(s, unreachable)
		}
	}
}
