package engines

import (
	"hash/fnv"
	"math"
	"slices"

	"petrelhook/internal/router/placement"
)

// policy is a way of choosing servers, by name.
type policy struct {
	name  string
	place placement.Policy
	// choose chooses instead of the placement, where it is not nil.
	choose func(f *fleet, r *router, q *request) *server
	// stall is the part of the longest pause that a route allows after which a long answer is taken up elsewhere; 0: never.
	stall float64
}

// PolicyNames lists the policies that an experiment can play.
func PolicyNames() []string {
	var names []string
	for _, p := range policies() {
		names = append(names, p.name)
	}
	return names
}

func policies() []policy {
	now := placement.DefaultPolicy()
	without := func(change func(*placement.Policy)) placement.Policy {
		p := now
		change(&p)
		return p
	}
	before := without(func(p *placement.Policy) { p.PeerLoads, p.PackStreams = false, false })
	return []policy{
		{name: "now", place: now},
		{name: "before", place: before},
		{name: "stall", place: now, stall: defaultStall},
		{name: "no affinity", place: without(func(p *placement.Policy) { p.Affinity = false })},
		{name: "no table of uses", place: without(func(p *placement.Policy) { p.PrefixTable = false })},
		{name: "all zones", place: without(func(p *placement.Policy) { p.ZoneFirst = false })},
		{name: "own load alone", place: without(func(p *placement.Policy) { p.PeerLoads = false })},
		{name: "no stream part", place: without(func(p *placement.Policy) { p.PackStreams = false })},
		{name: "round robin", place: now, choose: roundRobin},
		{name: "two choices", place: now, choose: twoChoices},
		{name: "least requests", place: now, choose: leastRequests},
		{name: "bounded hash", place: now, choose: boundedHash},
		{name: "true state", place: now, choose: trueState},
	}
}

const defaultStall = 0.7

func (s *Spec) findPolicy(name string) policy {
	all := append(policies(), s.more...)
	return all[slices.IndexFunc(all, func(p policy) bool { return p.name == name })]
}

// roundRobin goes over all servers by turns.
func roundRobin(f *fleet, r *router, _ *request) *server {
	r.turn++
	return f.servers[(r.turn+r.index*7)%len(f.servers)]
}

// twoChoices takes the one with fewer requests, as far as is known, of two drawn at random.
func twoChoices(f *fleet, r *router, _ *request) *server {
	a, b := f.random.IntN(len(f.servers)), f.random.IntN(len(f.servers))
	if r.load(b) < r.load(a) {
		a = b
	}
	return f.servers[a]
}

// leastRequests takes the server with the fewest requests, as far as is known.
func leastRequests(f *fleet, r *router, _ *request) *server {
	best, least := 0, math.Inf(1)
	from := f.random.IntN(len(f.servers))
	for i := range f.servers {
		at := (from + i) % len(f.servers)
		if l := r.load(at); l < least {
			best, least = at, l
		}
	}
	return f.servers[best]
}

const hashBound = 1.25

// boundedHash is consistent hashing with bounded loads: the first server of a key's order that has no more than its bound.
func boundedHash(f *fleet, r *router, q *request) *server {
	key := f.random.Uint64()
	if len(q.a.parts) > 0 {
		key = q.a.parts[len(q.a.parts)-1].key
	}
	total := 1.0
	for i := range f.servers {
		total += r.load(i)
	}
	bound := math.Ceil(hashBound * total / float64(len(f.servers)))
	best, weight := -1, uint64(0)
	for i := range f.servers {
		if r.load(i)+1 > bound {
			continue
		}
		if w := hashPair(key, uint64(i)); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return f.servers[max(best, 0)]
}

func hashPair(a, b uint64) uint64 {
	h := fnv.New64a()
	for _, x := range []uint64{a, b} {
		for i := range 8 {
			h.Write([]byte{byte(x >> (8 * i))})
		}
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// How the policy that sees everything weighs long answers behind a prompt, and shared parts that are read again.
const (
	trueHarm  = 1.0
	trueAgain = 4.0
)

// trueState sees what all servers have left to do, and what they keep, at once.
func trueState(f *fleet, r *router, q *request) *server {
	best, least := f.servers[0], math.Inf(1)
	from := f.random.IntN(len(f.servers))
	for i := range f.servers {
		s := f.servers[(from+i)%len(f.servers)]
		if s.down {
			continue
		}
		if c := trueCost(f, r, q, s); c < least {
			best, least = s, c
		}
	}
	return best
}

func trueCost(f *fleet, r *router, q *request, s *server) float64 {
	left := s.unread()
	if len(s.running) >= s.engine.Slots {
		left += 1e6
	}
	if q.long() {
		packed := math.Min(s.streams(), float64(s.engine.Slots)/2) * 100
		return left*5 - packed
	}
	kept := s.keeps(q.a)
	cost := (left + float64(q.a.prompt()-kept)*s.slow) * (1 + trueHarm*s.streams())
	if shared := q.a.shared(); kept < shared {
		cost += trueAgain * float64(shared-kept)
	}
	return cost
}

// load is what a router believes of a server.
func (r *router) load(i int) float64 { return r.known[i].Load(r.f.schedule.now) }
