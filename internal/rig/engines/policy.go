package engines

import (
	"hash/fnv"
	"math"
	"slices"

	"petrelhook/internal/router/placement"
)

// policy is a way of choosing servers, by name.
type policy struct {
	name      string
	placement placement.Policy
	// choose chooses the server of a first attempt instead of the placement; nil: the placement does.
	choose func(sim *simulation, r *router, q *request) *server
	// stallFraction is the fraction of the objective for gaps after which a long answer continues at another server; 0: never.
	stallFraction float64
}

// defaultStallFraction is that of the policy "stall".
const defaultStallFraction = 0.7

// PolicyNames lists the policies that an experiment can play.
func PolicyNames() []string {
	var names []string
	for _, p := range policies() {
		names = append(names, p.name)
	}
	return names
}

// policies are all policies.
func policies() []policy {
	now := placement.DefaultPolicy()
	changed := func(change func(*placement.Policy)) placement.Policy {
		p := now
		change(&p)
		return p
	}
	return []policy{
		{name: "now", placement: now},
		{name: "before", placement: changed(func(p *placement.Policy) { p.PeerLoads, p.PackStreams = false, false })},
		{name: "stall", placement: now, stallFraction: defaultStallFraction},
		{name: "no affinity", placement: changed(func(p *placement.Policy) { p.Affinity = false })},
		{name: "no table of uses", placement: changed(func(p *placement.Policy) { p.PrefixTable = false })},
		{name: "all zones", placement: changed(func(p *placement.Policy) { p.ZoneFirst = false })},
		{name: "own load alone", placement: changed(func(p *placement.Policy) { p.PeerLoads = false })},
		{name: "no stream part", placement: changed(func(p *placement.Policy) { p.PackStreams = false })},
		{name: "round robin", placement: now, choose: roundRobin},
		{name: "two choices", placement: now, choose: twoChoices},
		{name: "least requests", placement: now, choose: leastRequests},
		{name: "bounded hash", placement: now, choose: boundedHash},
		{name: "true state", placement: now, choose: trueState},
	}
}

// findPolicy finds a policy by a name that is known to exist.
func findPolicy(name string) policy {
	all := policies()
	return all[slices.IndexFunc(all, func(p policy) bool { return p.name == name })]
}

// roundRobin goes over all servers; routers begin at different ones.
func roundRobin(sim *simulation, r *router, _ *request) *server {
	const offset = 7 // between two routers
	r.picks++
	return sim.servers[(r.picks+r.index*offset)%len(sim.servers)]
}

// twoChoices chooses the one with fewer requests, as far as the router knows, of two drawn at random.
func twoChoices(sim *simulation, r *router, _ *request) *server {
	a, b := sim.random.IntN(len(sim.servers)), sim.random.IntN(len(sim.servers))
	if r.load(b) < r.load(a) {
		a = b
	}
	return sim.servers[a]
}

// leastRequests chooses the server with the fewest requests, as far as the router knows; the first of equals from a random start.
func leastRequests(sim *simulation, r *router, _ *request) *server {
	best, lowest := 0, math.Inf(1)
	start := sim.random.IntN(len(sim.servers))
	for i := range sim.servers {
		index := (start + i) % len(sim.servers)
		if load := r.load(index); load < lowest {
			best, lowest = index, load
		}
	}
	return sim.servers[best]
}

// loadBound is the most requests of a server, as a multiple of the mean, in consistent hashing with bounded loads.
const loadBound = 1.25

// boundedHash is consistent hashing with bounded loads: the first server in a prefix' order whose load is below the bound.
func boundedHash(sim *simulation, r *router, q *request) *server {
	key := sim.random.Uint64()
	if n := len(q.arrival.parts); n > 0 {
		key = q.arrival.parts[n-1].key
	}
	total := 1.0
	for i := range sim.servers {
		total += r.load(i)
	}
	bound := math.Ceil(loadBound * total / float64(len(sim.servers)))
	best, highest := -1, uint64(0)
	for i := range sim.servers {
		if r.load(i)+1 > bound {
			continue
		}
		if weight := rendezvousWeight(key, uint64(i)); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	return sim.servers[max(best, 0)]
}

// rendezvousWeight is the weight of a server for a key.
func rendezvousWeight(key, index uint64) uint64 {
	h := fnv.New64a()
	for _, x := range []uint64{key, index} {
		for i := range 8 {
			_, _ = h.Write([]byte{byte(x >> (8 * i))}) // a hash returns no error
		}
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// How the policy that knows the true state weighs long answers behind a prompt, shared parts that are read again, and a server without a free slot.
const (
	trueStreamDelayFactor = 1.0
	trueRecomputeFactor   = 4.0
	trueFullCost          = 1e6 // tokens
)

// trueState knows the pending work and the cache of all servers, without delay. It bounds what better information could bring.
func trueState(sim *simulation, _ *router, q *request) *server {
	best, lowest := sim.servers[0], math.Inf(1)
	start := sim.random.IntN(len(sim.servers))
	for i := range sim.servers {
		s := sim.servers[(start+i)%len(sim.servers)]
		if s.down {
			continue
		}
		if cost := trueCost(q, s); cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// trueCost is the cost of a request at a server, in tokens of prefill.
func trueCost(q *request, s *server) float64 {
	pending := s.pendingPrefill()
	if len(s.running) >= s.engine.Slots {
		pending += trueFullCost
	}
	if q.decodeHeavy() {
		packed := math.Min(s.streams(), float64(s.engine.Slots)/2) * 100
		return pending*5 - packed
	}
	cached := s.cache.prefixTokens(q.arrival)
	cost := (pending + float64(q.arrival.promptTokens()-cached)*s.slowFactor) * (1 + trueStreamDelayFactor*s.streams())
	if shared := q.arrival.sharedTokens(); cached < shared {
		cost += trueRecomputeFactor * float64(shared-cached)
	}
	return cost
}
