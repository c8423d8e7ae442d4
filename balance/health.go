package balance

import "math"

// The health of servers: the multiplier m, errors, and cooldowns.

// health returns a server's multiplier m, from minHealth to 1. Each consecutive error subtracts errorPenalty,
// and errors lose half their weight in each errorHalfLife.
func (b *Balancer) health(s *server) float64 {
	effective := s.Errors * math.Exp(-math.Ln2*(b.now-s.LastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// coolingDown reports whether a server is in a cooldown, after several errors in a row or because it could
// not be reached. It gets no requests meanwhile unless all servers are in a cooldown.
func (b *Balancer) coolingDown(s *server) bool { return b.now < s.CooldownUntil }

// recordOverdue counts attempts that are far slower than their class as errors of their servers while they
// are still in flight. Otherwise a server that hangs would go unnoticed until attempts time out.
func (b *Balancer) recordOverdue(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live && !a.overdue && b.now >= a.sentAt+b.overdueAfter(r) {
			a.overdue = true
			b.recordFault(a.server, false)
		}
	}
}

// overdueAfter returns how long an attempt may take, in ms, before it is overdue. It follows the current
// latency of the class: in overload all answers are slow, by no server's fault. Until there are five answers
// it is half of the latency target.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.Count < 5 {
		return r.class.LatencyTarget / 2
	}
	return r.stats.Mean + overdueDeviations*r.stats.Deviation
}

// recordFault counts an error of a server, which lowers m, and starts a cooldown: at once if the server is
// unreachable, otherwise after cooldownErrors in a row.
func (b *Balancer) recordFault(s *server, unreachable bool) {
	s.Errors, s.LastErrorAt = s.Errors+1, b.now
	b.learnCapacity(s, 3)
	if unreachable || s.Errors >= cooldownErrors {
		b.startCooldown(s)
	}
}

// startCooldown starts a cooldown as long as the longest latency target. The length doubles with each
// cooldown since the server last answered, up to eight times the target.
func (b *Balancer) startCooldown(s *server) {
	s.CooldownUntil = b.now + b.maxLatencyTarget*float64(int(1)<<min(s.Cooldowns, 3))
	s.Cooldowns++
}
