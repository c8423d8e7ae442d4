package balance

import "math"

// Health: what an outcome says of its server, of the load, and of the request that it was for.

// health is the multiplier m.
func (b *Balancer) health(s *server) float64 {
	effective := s.Errors * math.Exp(-math.Ln2*(b.now-s.LastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// coolingDown: it left several attempts without an answer, or cannot be reached, and gets nothing for a time.
func (b *Balancer) coolingDown(s *server) bool { return b.now < s.CooldownUntil }

// recordOverdue counts an attempt far slower than its class as a fault: a hung server would show too late.
func (b *Balancer) recordOverdue(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live && !a.overdue && b.now >= a.sentAt+b.overdueAfter(r) {
			a.overdue = true
			b.recordFault(a.server, false)
		}
	}
}

// overdueAfter follows what the class's answers take now: in overload all are late, by no server's fault.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.Count < 5 {
		return r.class.LatencyTarget / 2
	}
	return r.stats.Mean + overdueDeviations*r.stats.Deviation
}

// recordFault counts an error against m. A cooldown follows, if unreachable at once, else after several.
func (b *Balancer) recordFault(s *server, unreachable bool) {
	s.Errors, s.LastErrorAt = s.Errors+1, b.now
	b.learnCapacity(s, 3)
	if unreachable || s.Errors >= cooldownErrors {
		b.startCooldown(s)
	}
}

func (b *Balancer) startCooldown(s *server) {
	s.CooldownUntil = b.now + b.maxLatencyTarget*float64(int(1)<<min(s.Cooldowns, 3))
	s.Cooldowns++
}

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
