package balance

import (
	"maps"
	"math"
)

// The state that one process of a sidecar hands to the next, so that it neither learns anew nor gives a server
// in its slow start a second budget. No decisions.

// Snapshot returns what has been learned. Its maps are the balancer's own, and good until the next event.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{
		StartedAt: b.started, Kinds: b.kinds, Zones: b.zones, ShedFraction: b.steady,
		MeanLatency: b.slowness, LatencySamples: b.slowN, MinLatency: b.quickest,
		CapacitySamples: b.learned, MeanCapacityStep: b.drift, RetryBudget: b.spare,
		RequestsRecent: b.asked.recent, RequestsLatest: b.asked.latest, RequestsAt: b.asked.at,
		AnswersRecent: b.answers.recent, AnswersLatest: b.answers.latest, AnswersAt: b.answers.at,
	}
	for _, s := range b.servers {
		one := ServerSnapshot{
			ID: s.ID, CapacityLog: s.size, Errors: s.errs, LastErrorAt: s.lastErr, CooldownUntil: s.restUntil,
			AnsweredAt: s.answered, Cooldowns: s.rests, ProbeFailed: s.dark, ConnectionLost: s.down,
			CurrentWeight: s.running,
		}
		if one.WarmingUp = b.cold(s); one.WarmingUp {
			one.SlowStartAt, one.Tokens, one.TokensAt = s.coldSince, s.tokens, s.tokensAt
		}
		m.Servers = append(m.Servers, one)
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassSnapshot{c.n, c.mean, c.dev, c.longest})
	}
	return m
}

// Restore goes on with what another process of this sidecar has learned; the server list must be known already.
func (b *Balancer) Restore(m Snapshot) {
	b.started, b.steady, b.spare = math.Min(m.StartedAt, b.now), m.ShedFraction, m.RetryBudget
	b.slowness, b.slowN, b.quickest = m.MeanLatency, m.LatencySamples, m.MinLatency
	b.learned, b.drift = m.CapacitySamples, m.MeanCapacityStep
	b.asked = meter{m.RequestsRecent, m.RequestsLatest, math.Min(m.RequestsAt, b.now)}
	b.answers = meter{m.AnswersRecent, m.AnswersLatest, math.Min(m.AnswersAt, b.now)}
	maps.Copy(b.kinds, m.Kinds)
	maps.Copy(b.zones, m.Zones)
	for i, c := range m.Classes[:min(len(m.Classes), len(b.classes))] {
		own := &b.classes[i]
		own.n, own.mean, own.dev, own.longest = c.Count, c.Mean, c.Deviation, c.MaxRemaining
	}
	for _, one := range m.Servers {
		s := b.byID[one.ID]
		if s == nil {
			continue
		}
		s.size, s.errs, s.lastErr, s.restUntil = one.CapacityLog, one.Errors, one.LastErrorAt, one.CooldownUntil
		s.answered, s.rests, s.dark, s.down = one.AnsweredAt, one.Cooldowns, one.ProbeFailed, one.ConnectionLost
		if s.running = one.CurrentWeight; one.WarmingUp {
			s.coldSince, s.tokens, s.tokensAt = one.SlowStartAt, one.Tokens, one.TokensAt
		}
	}
}
