package balance

import "math"

// What one process of a sidecar hands to the next, so that it neither learns anew nor gives a cold server a
// second budget. It decides nothing.

// Memory is what has been learned. Its maps are the balancer's own, and good until the next event.
func (b *Balancer) Memory() Memory {
	m := Memory{
		Started: b.started, Kinds: b.kinds, Zones: b.zones, Steady: b.steady, Slowness: b.slowness,
		Seen: b.slowN, Quickest: b.quickest, Learned: b.learned, Drift: b.drift, Spare: b.spare,
		AskedRecent: b.asked.recent, AskedLatest: b.asked.latest, AskedAt: b.asked.at,
		ServedRecent: b.answers.recent, ServedLatest: b.answers.latest, ServedAt: b.answers.at,
	}
	for _, s := range b.servers {
		one := ServerMemory{
			ID: s.ID, Size: s.size, Errors: s.errs, LastError: s.lastErr, RestUntil: s.restUntil,
			Answered: s.answered, Rests: s.rests, Dark: s.dark, Down: s.down, Running: s.running,
		}
		if one.Cold = b.cold(s); one.Cold {
			one.ColdSince, one.Tokens, one.TokensAt = s.coldSince, s.tokens, s.tokensAt
		}
		m.Servers = append(m.Servers, one)
	}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, ClassMemory{c.n, c.mean, c.dev, c.longest})
	}
	return m
}

// Recall takes in what another process of this sidecar has learned; the list of servers is held already.
func (b *Balancer) Recall(m Memory) {
	b.started, b.steady, b.slowness, b.slowN = math.Min(m.Started, b.now), m.Steady, m.Slowness, m.Seen
	b.quickest, b.learned, b.drift, b.spare = m.Quickest, m.Learned, m.Drift, m.Spare
	b.asked = meter{m.AskedRecent, m.AskedLatest, math.Min(m.AskedAt, b.now)}
	b.answers = meter{m.ServedRecent, m.ServedLatest, math.Min(m.ServedAt, b.now)}
	for k, v := range m.Kinds {
		b.kinds[k] = v
	}
	for z, v := range m.Zones {
		b.zones[z] = v
	}
	for i, c := range m.Classes[:min(len(m.Classes), len(b.classes))] {
		own := &b.classes[i]
		own.n, own.mean, own.dev, own.longest = c.Count, c.Mean, c.Deviation, c.Longest
	}
	for _, one := range m.Servers {
		s := b.byID[one.ID]
		if s == nil {
			continue
		}
		s.size, s.errs, s.lastErr, s.restUntil = one.Size, one.Errors, one.LastError, one.RestUntil
		s.answered, s.rests, s.dark, s.down = one.Answered, one.Rests, one.Dark, one.Down
		if s.running = one.Running; one.Cold {
			s.coldSince, s.tokens, s.tokensAt = one.ColdSince, one.Tokens, one.TokensAt
		}
	}
}
