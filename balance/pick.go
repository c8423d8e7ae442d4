package balance

import "math"

// The ordinary path: smooth weighted rotation over size × m, within this sidecar's subset and the rules.

// pick is the ordinary path: smooth weighted round robin over the servers that may have the
// request. A repeat goes to the healthiest untried one, which is charged in the rotation too.
func (b *Balancer) pick(r *request, repeat bool) *server {
	pool := b.subset()
	total := b.enter(pool, r, repeat, false)
	if total == 0 && len(pool) < len(b.servers) { // the subset may not have it: a key stays in its cell
		pool = b.servers
		total = b.enter(pool, r, repeat, false)
	}
	if total == 0 { // all rest: the cause is hardly theirs
		total = b.enter(pool, r, repeat, true)
	}
	held, shares := 1.0, 0.0
	for _, s := range pool {
		if s.weight > 0 && s.known {
			held += b.holds(s)
			shares += s.weight
		}
	}
	var best *server
	bestOver, home := false, b.home(pool, r, repeat)
	for _, s := range pool {
		if s.weight == 0 || b.cold(s) && !b.coldBudget(s) {
			continue
		}
		// Bounded load: a server that holds more than its share is slow, hung or filled by others,
		// whatever its errors say. It is passed over and keeps its running value for later.
		most := math.Ceil(headroom * held * s.weight / shares)
		if s == home {
			most += keyRoom
		}
		over := !s.known || b.holds(s)+1 > most
		if best == nil || bestOver && !over || over == bestOver && b.before(s, best, repeat, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		best.running = math.Max(best.running-total, -total*b.owes())
	}
	return best
}

// subset is what this sidecar rotates over: over the whole fleet, connections passed the servers' caps. It
// starts at its place in a ring, is as wide as its traffic asks for, and goes on past members that rest.
func (b *Balancer) subset() []*server {
	n := float64(len(b.servers))
	width := math.Max(leastWidth, perServer*n/float64(b.cfg.SidecarCount))
	width = math.Max(width, spread*b.asked.rate(b, 0, 0)*b.longestAim)
	if width >= n {
		return b.servers
	}
	inRound := math.Ceil(float64(b.cfg.SidecarCount) / rounds)
	start := int(n * math.Mod(float64(b.cfg.SidecarNumber/rounds)/inRound, 1))
	b.near = b.near[:0]
	for i := 0; i < len(b.ring) && width > 0; i++ {
		s := b.ring[(start+i)%len(b.ring)]
		b.near = append(b.near, s)
		if s.State == Ready && !b.resting(s) {
			width--
		}
	}
	return b.near
}

// enter sets the weights of this pick, grows the running values and returns the sum of weights.
func (b *Balancer) enter(pool []*server, r *request, repeat, all bool) float64 {
	total, fresh := 0.0, false
	for _, s := range pool {
		s.weight = 0
		if !b.allowed(r, s) || !all && (b.resting(s) || r.class.Effect == Unsafe && b.health(s) < trusted) {
			continue
		}
		s.weight, s.favour = b.weight(s), b.favour(r, s)
		total += s.weight
		s.known = b.fresh(s)
		fresh = fresh || s.known
	}
	for _, s := range pool {
		s.known = s.known || !fresh // without any report, the own requests in flight are all there is
		if !repeat {
			s.running = math.Min(s.running+s.weight, total)
		}
	}
	if !repeat {
		b.pool = total
	}
	return total
}

// before tells which of two goes first: where all are over their share, for a first send the least filled.
func (b *Balancer) before(s, best *server, repeat, over bool) bool {
	if over && !repeat {
		return (b.holds(s)+1)*best.weight < (b.holds(best)+1)*s.weight
	}
	ms, mb := b.health(s), b.health(best)
	turn, first := s.running+s.favour*b.pool, best.running+best.favour*b.pool
	return repeat && ms > mb || (!repeat || ms == mb) && turn > first
}

// allowed: the rules let this request go to this server now.
func (b *Balancer) allowed(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	for i := range r.tries {
		a := &r.tries[i]
		if a.s == s {
			return false
		}
		if a.clean || r.class.Effect != Keyed {
			continue
		}
		// A keyed request that may have run stays where the key is known, while it is known.
		if b.now >= a.sent+r.class.Window || r.class.Group == GroupCell && a.s.Cell != s.Cell ||
			r.class.Group == GroupZone && a.s.Zone != s.Zone {
			return false
		}
	}
	return true
}

// weight is size × m, lowered while the server warms up.
func (b *Balancer) weight(s *server) float64 {
	w := 100 * s.Capacity * math.Exp(s.size+b.kinds[s.Kind]+b.zones[s.Zone]) * b.health(s)
	if s.Zone == b.cfg.Zone { // exception: answers from elsewhere cost a price, which delay soon outweighs
		ease := 1 - congested*math.Max(0, b.slowness-b.quickest)
		w *= 1 + zoneFavour*b.cfg.Penalties.CrossZone*math.Max(0, ease)
	}
	if b.cold(s) {
		w *= b.warmth(s)
	}
	return math.Max(w, 1e-6)
}

// holds is how many requests a server holds: by a fresh report and what was sent since, or this sidecar's.
func (b *Balancer) holds(s *server) float64 {
	if b.fresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

func (b *Balancer) fresh(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt <= probeAims*b.longestAim
}
