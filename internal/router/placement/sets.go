package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"

	"petrelhook/internal/router/rotation"
)

// affine is the set of servers for a prompt whose shared part is worth keeping: of those whose cost is near the least, the first one, or
// two where the first has errors against it.
func (p *Pool) affine(r Request, candidates []*Server, now time.Duration) []*Server {
	ordered, kept := p.preferred(r.PrefixKey, candidates, now)
	costs := make([]float64, len(ordered))
	least := math.Inf(1)
	for i, s := range ordered {
		costs[i] = p.cost(r, s, i < kept, now)
		if !s.Full(now) {
			least = min(least, costs[i])
		}
	}
	var set []*Server
	for i, s := range ordered {
		if costs[i] > least+p.policy.SlackTokens || s.Full(now) {
			continue
		}
		set = append(set, s)
		if s.Health.Multiplier(now) == 1 || len(set) == 2 {
			return set
		}
	}
	if len(set) == 0 {
		return ordered[:1]
	}
	return set
}

// cost is what it costs to have a server read a prompt, in tokens: what is left to be read there and the prompt's own, more where long
// answers wait behind it, and the price of a shared part that is read again.
func (p *Pool) cost(r Request, s *Server, kept bool, now time.Duration) float64 {
	work := s.Work(now)
	left := work.PrefillTokens + r.PrefillTokens(kept)
	cost := left
	if p.policy.PackStreams {
		cost += left * left * work.Streams / (p.policy.StreamDelayFraction * p.pauseTokens())
	}
	if !kept {
		cost += p.policy.RecomputeFactor * float64(r.PrefixTokens)
	}
	return cost
}

// preferred orders the servers for a shared part: those that read it lately, as many as it says; then by rendezvous hashing, those of
// the own zone first.
func (p *Pool) preferred(key string, candidates []*Server, now time.Duration) (ordered []*Server, kept int) {
	ordered = p.rank(key, candidates)
	if !p.policy.PrefixTable || p.recent.again == 0 {
		return ordered, min(1, len(ordered))
	}
	lately := p.recent.kept(HashPrefix(key), now)
	class := func(s *Server) int {
		for i, one := range lately {
			if one.server == s.ID {
				return i
			}
		}
		if s.Zone == p.zone || !p.policy.ZoneFirst {
			return recentServers
		}
		return recentServers + 1
	}
	sort.SliceStable(ordered, func(i, j int) bool { return class(ordered[i]) < class(ordered[j]) })
	for kept < len(ordered) && class(ordered[kept]) < recentServers {
		kept++
	}
	return ordered, kept
}

// streamPart is the part of some servers that long answers go over: as few, of those that have the most of them already, as
// hold them all in StreamFill of their places.
func (p *Pool) streamPart(servers []*Server, now time.Duration) []*Server {
	streams, places := 1.0, 0.0
	held := make(map[*Server]float64, len(servers))
	for _, s := range servers {
		held[s] = s.Work(now).Streams
		streams += held[s]
	}
	ordered := slices.Clone(servers)
	sort.SliceStable(ordered, func(i, j int) bool { return held[ordered[i]] > held[ordered[j]] })
	for i, s := range ordered {
		if s.Slots == 0 {
			return servers
		}
		places += p.policy.StreamSlotFraction * float64(s.Slots)
		if places >= streams {
			return ordered[:i+1]
		}
	}
	return servers
}

// rank orders servers for a key by rendezvous hashing.
func (p *Pool) rank(key string, servers []*Server) []*Server {
	type ranked struct {
		server *Server
		weight uint64
	}
	list := make([]ranked, len(servers))
	for i, s := range servers {
		list[i] = ranked{s, p.hash(key, s.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*Server, len(list))
	for i, one := range list {
		out[i] = one.server
	}
	return out
}

// rendezvous is the weight of a server for a key.
func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the last bytes of a hash over all its bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rotate is the design's choice within a set.
func (p *Pool) rotate(set []*Server, now time.Duration) *Server {
	if len(set) == 1 {
		return set[0]
	}
	candidates := make([]rotation.Candidate, len(set))
	for i, s := range set {
		candidates[i] = rotation.Candidate{Current: &s.turn, Weight: s.Health.Weight(now)}
	}
	return set[rotation.Pick(candidates)]
}

// PrefixCached reports whether a server is thought to keep the longest shared part of a request.
func (p *Pool) PrefixCached(r Request, s *Server, now time.Duration) bool {
	if !r.HasAffinity() {
		return true // it is short, and read by all soon
	}
	for _, one := range p.recent.kept(HashPrefix(r.PrefixKey), now) {
		if one.server == s.ID {
			return true
		}
	}
	return false
}
