package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"
)

// affinityServers returns the set of servers for a request with affinity: in affinity order, the first server whose cost
// is within SlackTokens of the lowest, and the second such server too if the first has recent errors. Full servers are
// left out unless all are full.
func (p *Pool) affinityServers(r Request, candidates []*Server, now time.Duration) []*Server {
	ordered, cached := p.affinityOrder(r.PrefixKey, candidates, now)
	costs := make([]float64, len(ordered))
	lowest := math.Inf(1)
	for i, s := range ordered {
		costs[i] = p.cost(r, s, i < cached, now)
		if !s.Full(now) {
			lowest = min(lowest, costs[i])
		}
	}
	var set []*Server
	for i, s := range ordered {
		if costs[i] > lowest+p.policy.SlackTokens || s.Full(now) {
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

// cost returns the cost of processing a prompt at a server, in tokens: the pending prefill and the prompt's own, a
// penalty for delaying the long answers that run there, and a penalty for recomputing a shared prefix that is not
// cached there.
func (p *Pool) cost(r Request, s *Server, cached bool, now time.Duration) float64 {
	work := s.Work(now)
	prefill := work.PrefillTokens + r.PrefillTokens(cached)
	cost := prefill
	if p.policy.PackStreams {
		cost += prefill * prefill * work.Streams / (p.policy.StreamDelayFraction * p.tokensPerGap())
	}
	if !cached {
		cost += p.policy.RecomputeFactor * float64(r.PrefixTokens)
	}
	return cost
}

// affinityOrder orders the servers for a shared prefix: first those that processed it recently, then those of the
// router's zone, then the others; the last two groups by rendezvous hashing. It returns the size of the first group as
// cached. Without a prefix table the order is that of rendezvous hashing alone, and the first server counts as cached.
func (p *Pool) affinityOrder(key string, candidates []*Server, now time.Duration) (ordered []*Server, cached int) {
	ordered = p.rank(key, candidates)
	if !p.policy.PrefixTable || p.prefixes.ttl == 0 {
		return ordered, min(1, len(ordered))
	}
	uses := p.prefixes.servers(HashPrefix(key), now)
	class := func(s *Server) int {
		for i, use := range uses {
			if use.server == s.ID {
				return i
			}
		}
		if s.Zone == p.zone || !p.policy.ZoneFirst {
			return serversPerPrefix
		}
		return serversPerPrefix + 1
	}
	sort.SliceStable(ordered, func(i, j int) bool { return class(ordered[i]) < class(ordered[j]) })
	for cached < len(ordered) && class(ordered[cached]) < serversPerPrefix {
		cached++
	}
	return ordered, cached
}

// rank returns the servers in descending order of their rendezvous weights for a key.
func (p *Pool) rank(key string, servers []*Server) []*Server {
	type ranked struct {
		server *Server
		weight uint64
	}
	entries := make([]ranked, len(servers))
	for i, s := range servers {
		entries[i] = ranked{s, p.hash(key, s.ID)}
	}
	slices.SortFunc(entries, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*Server, len(entries))
	for i, entry := range entries {
		out[i] = entry.server
	}
	return out
}

// rendezvous returns the rendezvous hashing weight of a server for a key.
func rendezvous(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // Write of a hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix makes all bits of a hash depend on the last bytes of its input, which FNV does not spread far enough.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// PrefixCached reports whether a server probably has the shared prefix of a request in its cache. A request without
// affinity has at most a short shared prefix, which counts as cached everywhere: all servers process it before long.
func (p *Pool) PrefixCached(r Request, s *Server, now time.Duration) bool {
	if !r.HasAffinity() {
		return true
	}
	for _, use := range p.prefixes.servers(HashPrefix(r.PrefixKey), now) {
		if use.server == s.ID {
			return true
		}
	}
	return false
}
