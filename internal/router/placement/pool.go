package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"petrelhook/internal/router/rotation"
)

// Pool holds the servers of one service, as one router knows them. NewPool creates it. It must not be used by two
// goroutines at the same time.
type Pool struct {
	zone    string // of the router
	policy  Policy
	random  func() float64
	hash    func(key, id string) uint64 // the only way in which a server's name affects decisions
	servers map[string]*Server          // by ID
	ordered []*Server                   // by Server.sortKey, then by ID

	prefixes    prefixTable
	ejections   ejections
	peerLoadsAt time.Duration // when the other routers' loads were last received; 0: never
	prefillTime prefillEstimate
	maxGap      time.Duration // the gap target of the latest long answer that has one; 0: none yet
}

// NewPool returns an empty pool of a router in a zone. A prefix counts as cached for prefixTTL after its last use; 0
// means that this time is unknown, and disables the prefix table. The function random returns numbers in [0, 1); nil
// selects the default source.
func NewPool(zone string, prefixTTL time.Duration, policy Policy, random func() float64) *Pool {
	if random == nil {
		random = rand.Float64
	}
	return &Pool{
		zone:      zone,
		policy:    policy,
		random:    random,
		hash:      rendezvous,
		servers:   map[string]*Server{},
		prefixes:  prefixTable{ttl: prefixTTL, uses: map[PrefixHash][]prefixUse{}},
		ejections: ejections{random: random},
	}
}

// RecordUse records that this router or another one sent a prompt with this prefix to a server. Requests with the same
// prefix prefer that server for the pool's prefixTTL.
func (p *Pool) RecordUse(key PrefixHash, server string, now time.Duration) {
	p.prefixes.record(key, server, now)
}

// Put adds a usable server. If the pool has it already, Put updates its address and zone, and keeps what was learned
// about it, its number of slots included.
func (p *Pool) Put(e Endpoint) {
	if existing := p.servers[e.ID]; existing != nil {
		existing.Address, existing.Zone = e.Address, e.Zone
		return
	}
	s := &Server{Endpoint: e, hash: HashServer(e.ID), sortKey: p.hash("", e.ID)}
	s.currentWeight.Seed(p.random())
	index, _ := p.position(s)
	p.servers[s.ID] = s
	p.ordered = slices.Insert(p.ordered, index, s)
}

// Remove removes a server that is no longer usable. It ignores unknown servers.
func (p *Pool) Remove(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	at, _ := p.position(s)
	delete(p.servers, id)
	p.ordered = slices.Delete(p.ordered, at, at+1)
}

// position returns the index of a server in p.ordered and true, or the index at which to insert it and false.
func (p *Pool) position(s *Server) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, s, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), strings.Compare(a.ID, b.ID))
	})
}

// Servers returns the servers in an unspecified order. The caller must not change the slice, nor use it after the next
// Put or Remove.
func (p *Pool) Servers() []*Server { return p.ordered }

// AddLoads stores in sums the pending work of this router's requests at each server of the pool. It replaces a server's
// entry rather than adding to it: a server belongs to one pool only.
func (p *Pool) AddLoads(sums LoadSums) {
	for _, s := range p.ordered {
		if s.local.Requests > 0 {
			sums[s.hash] = s.local
		}
	}
}

// SetPeerLoads replaces the pending work of the other routers' requests. A server that is not in the map has none.
func (p *Pool) SetPeerLoads(others LoadSums, now time.Duration) {
	if !p.policy.PeerLoads {
		return
	}
	p.peerLoadsAt = now
	for _, s := range p.ordered {
		s.peers = peerWork{others[s.hash], now}
	}
}

// Pick chooses the server for a request's first attempt; this may be a trial at an ejected server. The function usable
// is a further condition, for example that the server has a free connection. Pick returns nil if no server is left. The
// caller adds the request's work to the server with Begin.
func (p *Pool) Pick(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if s := p.trialServer(r, usable, now); s != nil {
		return s
	}
	candidates := p.candidates(r, usable, now)
	if len(candidates) == 0 {
		return nil
	}
	if r.DecodeHeavy() && r.MaxGap > 0 {
		p.maxGap = r.MaxGap
	}
	return p.rotate(p.choices(r, candidates, now), now)
}

// choices returns the candidates among which smooth weighted round robin picks the server for a request.
func (p *Pool) choices(r Request, candidates []*Server, now time.Duration) []*Server {
	switch {
	case p.policy.Affinity && r.HasAffinity():
		return p.affinityServers(r, candidates, now)
	case p.policy.PackStreams && r.DecodeHeavy() && freshness(p.peerLoadsAt, peerLoadTTL, now) > 0:
		// Without the other routers' loads all routers would choose the same few servers, unaware of each other.
		return p.packStreams(p.nearby(candidates, now), now)
	}
	return p.nearby(candidates, now)
}

// rotate picks a server from a set by smooth weighted round robin.
func (p *Pool) rotate(set []*Server, now time.Duration) *Server {
	if len(set) == 1 {
		return set[0]
	}
	candidates := make([]rotation.Candidate, len(set))
	for i, s := range set {
		candidates[i] = rotation.Candidate{Current: &s.currentWeight, Weight: s.Health.Weight(now)}
	}
	return set[rotation.Pick(candidates)]
}

// Reroute chooses the server for a further attempt: the healthiest one that was not tried. Among equally healthy servers
// it prefers one with a free slot, then one of the router's zone, then the least loaded. It returns nil if none is left.
func (p *Pool) Reroute(r Request, usable func(*Server) bool, now time.Duration) *Server {
	var best *Server
	for _, s := range p.candidates(r, usable, now) {
		if best == nil || p.healthier(s, best, now) {
			best = s
		}
	}
	return best
}

// healthier reports whether a re-route prefers s over best.
func (p *Pool) healthier(s, best *Server, now time.Duration) bool {
	if a, b := s.Health.Multiplier(now), best.Health.Multiplier(now); a != b {
		return a > b
	}
	if a, b := s.Full(now), best.Full(now); a != b {
		return b
	}
	if a, b := s.Zone == p.zone, best.Zone == p.zone; a != b {
		return a
	}
	return s.Load(now) < best.Load(now)
}

// candidates returns the usable servers that were not tried. Servers that are in cooldown or ejected are returned only
// if there are no others.
func (p *Pool) candidates(r Request, usable func(*Server) bool, now time.Duration) []*Server {
	out := make([]*Server, 0, len(p.ordered))
	var avoided []*Server
	for _, s := range p.ordered {
		if r.Tried[s.ID] || !usable(s) {
			continue
		}
		if s.Health.CoolingDown(now) || p.ejections.contains(s.ID, now) {
			avoided = append(avoided, s)
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return avoided
	}
	return out
}

// nearby returns the servers of the router's zone that have a free slot; if there are none, all servers that have a free
// slot; if there are none either, all servers.
func (p *Pool) nearby(candidates []*Server, now time.Duration) []*Server {
	var local, free []*Server
	for _, s := range candidates {
		if s.Full(now) {
			continue
		}
		free = append(free, s)
		if s.Zone == p.zone {
			local = append(local, s)
		}
	}
	switch {
	case p.policy.ZoneFirst && len(local) > 0:
		return local
	case len(free) > 0:
		return free
	}
	return candidates
}

// packStreams returns the servers to which long answers go: the shortest list of servers, in descending order of the
// long answers that they have, with room for all of them and one more in StreamSlotFraction of the slots. It returns all
// servers if there is not enough room or the number of slots of a server in this list is unknown.
func (p *Pool) packStreams(servers []*Server, now time.Duration) []*Server {
	needed, room := 1.0, 0.0
	streams := make(map[*Server]float64, len(servers))
	for _, s := range servers {
		streams[s] = s.Work(now).Streams
		needed += streams[s]
	}
	ordered := slices.Clone(servers)
	sort.SliceStable(ordered, func(i, j int) bool { return streams[ordered[i]] > streams[ordered[j]] })
	for i, s := range ordered {
		if s.Slots == 0 {
			return servers
		}
		room += p.policy.StreamSlotFraction * float64(s.Slots)
		if room >= needed {
			return ordered[:i+1]
		}
	}
	return servers
}
