package balance

import "math"

// Cold servers: how much this sidecar may send to one, so that all of them together do not push it over.

func (b *Balancer) cold(s *server) bool { return b.now < s.coldSince+b.cfg.SlowStartTime }

// coldBudget is a hard limit of sends to a cold server, re-routes included: half of the allowed multiple of
// what warm servers of its size answer of this sidecar's requests, lowered by its warmth. Answers count, not
// requests, which clients repeat in overload, and few are assumed: else small sidecars broke the rule.
func (b *Balancer) coldBudget(s *server) bool {
	share := s.weight / math.Max(b.pool, s.weight)
	fill := b.answers.rate(b, 0, 1) * share * math.Max(1, b.cfg.OverloadMultiple/2)
	most := math.Max(1, fill*b.cfg.OverloadTime/4)
	s.tokens, s.tokensAt = math.Min(s.tokens+fill*(b.now-s.tokensAt), most), b.now
	return s.tokens >= 1
}

// beginSlowStart begins a server's warm-up. The first budget is random, so that the first sends of all
// sidecars do not meet.
func (b *Balancer) beginSlowStart(s *server, since float64) {
	s.coldSince, s.tokens, s.tokensAt = since, b.rng.Float64(), b.now
}
