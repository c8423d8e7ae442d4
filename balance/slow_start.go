package balance

import "math"

// Slow start: how much this sidecar may send to a server that warms up, so that all sidecars together do not
// overload it.

// warmingUp reports whether a server started less than SlowStartTime ago.
func (b *Balancer) warmingUp(s *server) bool { return b.now < s.SlowStartAt+b.cfg.SlowStartTime }

// warmupFraction returns the least fraction of its capacity that a server has. It grows linearly from
// SlowStartFraction to 1 while the server warms up.
func (b *Balancer) warmupFraction(s *server) float64 {
	age := math.Max(0, b.now-s.SlowStartAt) / b.cfg.SlowStartTime
	return b.cfg.SlowStartFraction + (1-b.cfg.SlowStartFraction)*math.Min(1, age)
}

// slowStartBudget refills the token bucket of a server that warms up and reports whether it holds a token for
// a send. The bucket is a hard limit, retries included. It fills at half of OverloadMultiple times the rate
// at which a warm server of the same weight answers this sidecar's requests, lowered by the warm-up. The
// package documentation derives why all sidecars together then stay below an overload. The rate is that of
// answers, not of requests, since clients repeat requests. Only one answer is assumed, since the assumptions
// of many small sidecars add up.
func (b *Balancer) slowStartBudget(s *server) bool {
	share := s.weight / math.Max(b.servers.totalWeight, s.weight)
	rate := b.traffic.answerRate.perMillisecond(b, 1) * share * math.Max(1, b.cfg.OverloadMultiple/2)
	maxTokens := math.Max(1, rate*b.cfg.OverloadTime/4)
	s.Tokens, s.TokensAt = math.Min(s.Tokens+rate*(b.now-s.TokensAt), maxTokens), b.now
	return s.Tokens >= 1
}

// beginSlowStart begins a slow start at the given time. The bucket starts with a random fraction of a token,
// so that the first sends of all sidecars do not coincide.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.SlowStartState = SlowStartState{since, b.rng.Float64(), b.now}
}
