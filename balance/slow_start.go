package balance

import "math"

// Slow start: how much this sidecar may send to a server that warms up, so that all do not overload it.

// warmingUp reports whether a server started less than SlowStartTime ago.
func (b *Balancer) warmingUp(s *server) bool { return b.now < s.SlowStartAt+b.cfg.SlowStartTime }

// warmupFraction is the least fraction of its capacity that a server has: it grows linearly from
// SlowStartFraction to 1 while the server warms up.
func (b *Balancer) warmupFraction(s *server) float64 {
	age := math.Max(0, b.now-s.SlowStartAt) / b.cfg.SlowStartTime
	return b.cfg.SlowStartFraction + (1-b.cfg.SlowStartFraction)*math.Min(1, age)
}

// slowStartBudget saves up tokens for a server that warms up and reports whether there is one for a send.
// It is a hard limit, retries included: half of the multiple that the server stands, of what warm servers
// like it answer of this sidecar's requests, lowered by its warm-up. Package documentation derives why all
// sidecars together then stay below what overloads it. The rate is that of answers, since clients repeat
// requests; hardly any are assumed, since the assumptions of many small sidecars add up.
func (b *Balancer) slowStartBudget(s *server) bool {
	share := s.weight / math.Max(b.servers.totalWeight, s.weight)
	rate := b.traffic.answerRate.perMillisecond(b, 1) * share * math.Max(1, b.cfg.OverloadMultiple/2)
	maxTokens := math.Max(1, rate*b.cfg.OverloadTime/4)
	s.Tokens, s.TokensAt = math.Min(s.Tokens+rate*(b.now-s.TokensAt), maxTokens), b.now
	return s.Tokens >= 1
}

// beginSlowStart begins a warm-up at a time. The first budget is a random fraction of a send, so that the
// first sends of all sidecars do not coincide.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.SlowStartState = SlowStartState{since, b.rng.Float64(), b.now}
}
