package balance

import "math"

// The health of servers: the multiplier m, errors, and cooldowns.

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
