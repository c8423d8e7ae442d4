package balance

import (
	"math"
	"slices"
)

// The choice of a server: smooth weighted round robin over capacity × m, among the servers of this sidecar's
// subset that the rules allow.

// pick returns the server for a send, or nil if none may have the request now. A first send takes the
// server whose turn it is in smooth weighted round robin; a retry goes to the healthiest server that was
// not tried. Either is charged in the rotation: its current weight falls by the sum of the weights.
func (b *Balancer) pick(r *request, retry bool) *server {
	pool := b.subset()
	total := b.computeWeights(pool, r, retry, false)
	if total == 0 && len(pool) < len(b.servers.all) { // the subset has none: a key stays in its cell
		pool = b.servers.all
		total = b.computeWeights(pool, r, retry, false)
	}
	if total == 0 { // all are in a cooldown: the cause is hardly with each of them
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
		// Bounded load: a server that has more requests in flight than its share is slow, hung or filled by
		// others, whatever its errors say. It is passed over and keeps its current weight for later. Where
		// all are over their share, precedes picks the least filled.
		maxPending := math.Ceil(loadHeadroom * load * s.weight / weights)
		if s == preferred {
			maxPending += affinityRoom
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

// subset returns the servers that this sidecar rotates over: if all sidecars used all servers, each server
// had too many connections. A subset is a stretch of one of ringCount orders of the servers. Which order,
// and where in it the stretch starts, follows from the number of the sidecar, so that all sidecars together
// use servers evenly. It is wider with more traffic, and extended past members that are not ready or in a
// cooldown.
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
// request, and returns the sum of the weights. For a first send the current weights grow by it, which is
// the first half of smooth weighted round robin; a server that is passed over saves up no more than one
// rotation. Servers in a cooldown, and for unsafe requests those of little health, are candidates only if
// withSuspects is set.
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

// precedes reports whether a server is preferred to the best one so far, both being over their share or
// neither. A retry goes by health, then by turn; a first send by turn, or to the least filled where all are
// over their share.
func (b *Balancer) precedes(s, best *server, retry, overShare bool) bool {
	if overShare && !retry {
		return (b.pending(s)+1)*best.weight < (b.pending(best)+1)*s.weight
	}
	health, bestHealth := b.health(s), b.health(best)
	turn := s.currentWeight + s.affinity*b.servers.totalWeight
	bestTurn := best.currentWeight + best.affinity*b.servers.totalWeight
	return retry && health > bestHealth || (!retry || health == bestHealth) && turn > bestTurn
}

// eligible reports whether the rules allow to send a request to a server now: it accepts requests, did not
// have this one, and, where a keyed request may have been executed, it is of the group that knows the key
// and remembers it still.
func (b *Balancer) eligible(r *request, s *server) bool {
	return s.State == Ready && !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		keyUnknown := b.now >= a.sentAt+r.class.Window ||
			r.class.Group == GroupCell && a.server.Cell != s.Cell ||
			r.class.Group == GroupZone && a.server.Zone != s.Zone
		return a.server == s || !a.neverRan && r.class.Effect == Keyed && keyUnknown
	})
}

// weight is a server's part in the rotation: its capacity, with what was learned of it, times m; more in
// the own zone, and less while the server warms up. It is never 0.
func (b *Balancer) weight(s *server) float64 {
	learned := s.capacityLog + b.capacities.kinds[s.Kind] + b.capacities.zones[s.Zone]
	w := 100 * s.Capacity * math.Exp(learned) * b.health(s)
	if s.Zone == b.cfg.Zone { // others cost a penalty, which longer latencies soon outweigh
		ease := 1 - zonePreferenceDecay*math.Max(0, b.latencies.mean-b.latencies.min)
		w *= 1 + zonePreference*b.cfg.Penalties.CrossZone*math.Max(0, ease)
	}
	if b.warmingUp(s) {
		w *= b.warmupFraction(s)
	}
	return math.Max(w, 1e-6)
}

// pending is how many requests a server has: those of its load report and what was sent since, if the
// report is fresh, otherwise those of this sidecar alone.
func (b *Balancer) pending(s *server) float64 {
	if b.reportFresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

// reportFresh reports whether a server's last load report is recent enough to go by.
func (b *Balancer) reportFresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= probeWait*b.maxLatencyTarget
}
