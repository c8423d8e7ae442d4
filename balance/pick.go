package balance

import (
	"math"
	"slices"
)

// The choice of a server: smooth weighted round robin over capacity × m, among the eligible servers of this
// sidecar's subset.

// pick returns the server for a send, or nil if none may have the request now. A first send goes to the
// server whose turn it is in smooth weighted round robin, a retry to the healthiest untried server. In both
// cases the server's current weight falls by the sum of the weights.
func (b *Balancer) pick(r *request, retry bool) *server {
	pool := b.subset()
	total := b.computeWeights(pool, r, retry, false)
	if total == 0 && len(pool) < len(b.servers.all) { // none in the subset, as a key may stay in its cell
		pool = b.servers.all
		total = b.computeWeights(pool, r, retry, false)
	}
	if total == 0 { // if all are in a cooldown, the servers are hardly the cause
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
	bestOverShare, preferred := false, b.preferredServer(pool, r, retry)
	for _, s := range pool {
		if s.weight == 0 || b.warmingUp(s) && !b.slowStartBudget(s) {
			continue
		}
		// Bounded load: a server with more requests in flight than its share is slow, hung or loaded by
		// other sidecars, whatever its error count. It is skipped and keeps its current weight. If all are
		// over their share, precedes prefers the least loaded.
		maxPending := math.Ceil(loadHeadroom * load * s.weight / weights)
		if s == preferred {
			maxPending += affinityHeadroom
		}
		overShare := !s.loadKnown || b.pending(s)+1 > maxPending
		if best == nil || bestOverShare && !overShare ||
			overShare == bestOverShare && b.precedes(s, best, retry, overShare) {
			best, bestOverShare = s, overShare
		}
	}
	if best != nil {
		best.currentWeight = math.Max(best.currentWeight-total, -total*b.maxDebt())
	}
	return best
}

// subset returns the servers that this sidecar rotates over. If all sidecars used all servers, each server
// would have too many connections. A subset is a section of one of ringCount orders of the servers. The
// sidecar's number determines the order and the start of the section, so that all sidecars together use the
// servers evenly. The section is wider with more traffic, and extended by one for each member that is not
// ready or in a cooldown.
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

// computeWeights sets the weight of each server of a pool for this pick, 0 for those that may not have the
// request, and returns the sum of the weights. For a first send each current weight grows by the weight, the
// first half of smooth weighted round robin; a skipped server saves up at most one rotation. Servers in a
// cooldown, and for unsafe requests those of low health, are candidates only if withSuspects is set.
func (b *Balancer) computeWeights(pool []*server, r *request, retry, withSuspects bool) float64 {
	total, anyReport := 0.0, false
	for _, s := range pool {
		s.weight = 0
		if !b.eligible(r, s) ||
			!withSuspects && (b.coolingDown(s) || r.class.Effect == Unsafe && b.health(s) < minUnsafeHealth) {
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

// precedes reports whether a server is preferred to the best one so far; both are over their share, or
// neither is. A retry goes by health, then by turn. A first send goes by turn, or to the least loaded if all
// are over their share.
func (b *Balancer) precedes(s, best *server, retry, overShare bool) bool {
	if overShare && !retry {
		return (b.pending(s)+1)*best.weight < (b.pending(best)+1)*s.weight
	}
	health, bestHealth := b.health(s), b.health(best)
	turn := s.currentWeight + s.affinity*b.servers.totalWeight
	bestTurn := best.currentWeight + best.affinity*b.servers.totalWeight
	return retry && health > bestHealth || (!retry || health == bestHealth) && turn > bestTurn
}

// eligible reports whether the rules allow sending a request to a server now: the server is ready and has not
// had this request, and, if the request is keyed and may have been executed, the server belongs to the group
// that knows the key and still remembers it.
func (b *Balancer) eligible(r *request, s *server) bool {
	return s.State == Ready && !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		keyUnknown := b.now >= a.sentAt+r.class.Window ||
			r.class.Group == GroupCell && a.server.Cell != s.Cell ||
			r.class.Group == GroupZone && a.server.Zone != s.Zone
		return a.server == s || !a.neverRan && r.class.Effect == Keyed && keyUnknown
	})
}

// weight returns a server's weight in the rotation: its listed capacity, corrected by the learned capacity,
// times m; higher in the sidecar's own zone, and lower while the server warms up. It is never 0.
func (b *Balancer) weight(s *server) float64 {
	learned := s.capacityLog + b.capacities.kinds[s.Kind] + b.capacities.zones[s.Zone]
	w := 100 * s.Capacity * math.Exp(learned) * b.health(s)
	if s.Zone == b.cfg.Zone { // other zones cost a penalty, which longer latencies soon outweigh
		preference := 1 - zonePreferenceDecay*math.Max(0, b.latencies.mean-b.latencies.min)
		w *= 1 + zonePreference*b.cfg.Penalties.CrossZone*math.Max(0, preference)
	}
	if b.warmingUp(s) {
		w *= b.warmupFraction(s)
	}
	return math.Max(w, 1e-6)
}

// pending returns how many requests a server has: those of its load report plus later sends of this sidecar,
// if the report is fresh; otherwise this sidecar's requests in flight.
func (b *Balancer) pending(s *server) float64 {
	if b.reportFresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

// reportFresh reports whether a server's last load report is recent enough to be used.
func (b *Balancer) reportFresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= probeWait*b.maxLatencyTarget
}
