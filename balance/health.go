package balance

import "math"

// The health of servers: the multiplier m, errors, and cooldowns.

// health returns a server's multiplier m, from minHealth to 1: each consecutive error takes errorPenalty off,
// and errors count half as much after each errorHalfLife.
func (b *Balancer) health(s *server) float64 {
	effective := s.Errors * math.Exp(-math.Ln2*(b.now-s.LastErrorAt)/errorHalfLife)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// coolingDown reports whether a server is in a cooldown: it left several attempts without an answer, or
// cannot be reached, and gets nothing for a time unless all servers are in one.
func (b *Balancer) coolingDown(s *server) bool { return b.now < s.CooldownUntil }

// recordOverdue counts an attempt that is far slower than its class as an error of its server while it is
// still in flight: a server that hangs would be noticed only as attempts time out.
func (b *Balancer) recordOverdue(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.live && !a.overdue && b.now >= a.sentAt+b.overdueAfter(r) {
			a.overdue = true
			b.recordFault(a.server, false)
		}
	}
}

// overdueAfter is how long an attempt may take, in ms, before it is overdue. It follows what answers of the
// class take now: in overload all are slow, by no server's fault. Before there are answers it is half of
// the target.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.Count < 5 {
		return r.class.LatencyTarget / 2
	}
	return r.stats.Mean + overdueDeviations*r.stats.Deviation
}

// recordFault counts an error of a server, which lowers m. A cooldown follows: at once if it is unreachable,
// otherwise after cooldownErrors in a row.
func (b *Balancer) recordFault(s *server, unreachable bool) {
	s.Errors, s.LastErrorAt = s.Errors+1, b.now
	b.learnCapacity(s, 3)
	if unreachable || s.Errors >= cooldownErrors {
		b.startCooldown(s)
	}
}

// startCooldown begins a cooldown of the longest latency target, or up to eight times that where the server
// has not answered since earlier ones.
func (b *Balancer) startCooldown(s *server) {
	s.CooldownUntil = b.now + b.maxLatencyTarget*float64(int(1)<<min(s.Cooldowns, 3))
	s.Cooldowns++
}
