package balance

import (
	"math"
	"slices"
)

// Choice of a server: smooth weighted round robin over capacity × m, within the subset and the rules.

// pick returns the server for a send, or nil. A first send takes its turn in smooth weighted round robin; a
// retry goes to the healthiest server that was not tried, which is charged in the rotation too.
func (b *Balancer) pick(r *request, retry bool) *server {
	pool := b.subset()
	total := b.computeWeights(pool, r, retry, false)
	if total == 0 && len(pool) < len(b.servers.all) { // the subset has none: a key stays in its cell
		pool = b.servers.all
		total = b.computeWeights(pool, r, retry, false)
	}
	if total == 0 { // all are in a cooldown: the cause is hardly theirs
		total = b.computeWeights(pool, r, retry, true)
	}
	load, weights := 1.0, 0.0
	for _, s := range pool {
		if s.weight > 0 && s.loadKnown {
			load += b.pending(s)
			weights += s.weight
		}
	}
	var best *server
	bestOver, preferred := false, b.preferredServer(pool, r, retry)
	for _, s := range pool {
		if s.weight == 0 || b.warmingUp(s) && !b.slowStartBudget(s) {
			continue
		}
		// Bounded load: a server that holds more than its share is slow, hung or filled by others, whatever
		// its errors say. It is passed over and keeps its current weight for later.
		maxPending := math.Ceil(loadHeadroom * load * s.weight / weights)
		if s == preferred {
			maxPending += affinityRoom
		}
		over := !s.loadKnown || b.pending(s)+1 > maxPending
		if best == nil || bestOver && !over || over == bestOver && b.precedes(s, best, retry, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		best.currentWeight = math.Max(best.currentWeight-total, -total*b.maxDebt())
	}
	return best
}

// subset is what this sidecar rotates over: else all servers get too many connections. It starts at its
// position in a ring of servers, is wider with more traffic, and is extended past members in a cooldown.
func (b *Balancer) subset() []*server {
	t, n := &b.servers, float64(len(b.servers.all))
	width := math.Max(minSubset, connectionsPerServer*n/float64(b.cfg.SidecarCount))
	width = math.Max(width, subsetPerRequest*b.traffic.requestRate.perMillisecond(b, 0)*b.maxLatencyTarget)
	if width >= n {
		return t.all
	}
	perRing := math.Ceil(float64(b.cfg.SidecarCount) / ringCount)
	start := int(n * math.Mod(float64(b.cfg.SidecarNumber/ringCount)/perRing, 1))
	t.subset = t.subset[:0]
	for i := 0; i < len(t.ring) && width > 0; i++ {
		s := t.ring[(start+i)%len(t.ring)]
		t.subset = append(t.subset, s)
		if s.State == Ready && !b.coolingDown(s) {
			width--
		}
	}
	return t.subset
}

// computeWeights sets the weights of this pick and returns their sum; all includes servers in a cooldown.
func (b *Balancer) computeWeights(pool []*server, r *request, retry, all bool) float64 {
	total, anyReport := 0.0, false
	for _, s := range pool {
		s.weight = 0
		if !b.eligible(r, s) ||
			!all && (b.coolingDown(s) || r.class.Effect == Unsafe && b.health(s) < minUnsafeHealth) {
			continue
		}
		s.weight, s.affinity = b.weight(s), b.affinity(r, s)
		total += s.weight
		s.loadKnown = b.reportFresh(s)
		anyReport = anyReport || s.loadKnown
	}
	for _, s := range pool {
		s.loadKnown = s.loadKnown || !anyReport // without any report, own requests are all that is known
		if !retry {
			s.currentWeight = math.Min(s.currentWeight+s.weight, total)
		}
	}
	if !retry {
		b.servers.totalWeight = total
	}
	return total
}

// precedes says which of two is preferred: where all exceed their share, for a first send the least filled.
func (b *Balancer) precedes(s, best *server, retry, over bool) bool {
	if over && !retry {
		return (b.pending(s)+1)*best.weight < (b.pending(best)+1)*s.weight
	}
	health, bestHealth := b.health(s), b.health(best)
	turn := s.currentWeight + s.affinity*b.servers.totalWeight
	bestTurn := best.currentWeight + best.affinity*b.servers.totalWeight
	return retry && health > bestHealth || (!retry || health == bestHealth) && turn > bestTurn
}

// eligible: the rules allow to send this request to this server now.
func (b *Balancer) eligible(r *request, s *server) bool {
	return s.State == Ready && !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		if a.server == s || a.neverRan || r.class.Effect != Keyed {
			return a.server == s
		}
		// A keyed request that may have run stays where the key is known, while it is known.
		return b.now >= a.sentAt+r.class.Window || r.class.Group == GroupCell && a.server.Cell != s.Cell ||
			r.class.Group == GroupZone && a.server.Zone != s.Zone
	})
}

// weight is capacity × m, lowered while the server warms up.
func (b *Balancer) weight(s *server) float64 {
	learned := s.capacityLog + b.capacities.kinds[s.Kind] + b.capacities.zones[s.Zone]
	w := 100 * s.Capacity * math.Exp(learned) * b.health(s)
	if s.Zone == b.cfg.Zone { // answers from others have a penalty, which a longer latency soon outweighs
		ease := 1 - zonePreferenceDecay*math.Max(0, b.latencies.mean-b.latencies.min)
		w *= 1 + zonePreference*b.cfg.Penalties.CrossZone*math.Max(0, ease)
	}
	if b.warmingUp(s) {
		w *= b.warmupFraction(s)
	}
	return math.Max(w, 1e-6)
}

// pending is how many requests a server has: by a fresh report and what was sent since, or of this sidecar's.
func (b *Balancer) pending(s *server) float64 {
	if b.reportFresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

func (b *Balancer) reportFresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= probeWait*b.maxLatencyTarget
}
