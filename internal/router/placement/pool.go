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

// Pool is the servers of one service, as one router knows them. Make it by NewPool; it is for one goroutine at a time.
type Pool struct {
	zone    string // the router's
	policy  Policy
	random  func() float64
	hash    func(key, id string) uint64 // the only way in which a server's name affects decisions
	servers map[string]*Server          // by ID
	ordered []*Server                   // by Server.order

	prefixes    prefixTable
	ejections   ejections
	peerLoadsAt time.Duration // when the other routers' work was last received; 0: never
	prefillTime prefillEstimate
	maxGap      time.Duration // the last gap target of long answers; 0: none had one
}

// NewPool returns an empty pool of a router in a zone; prefixTTL is how long a prefix counts as cached after its last
// use, 0 where that is not known. Random draws from 0 up to 1; nil is the default source.
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

// RecordUse records that a server was sent a prefix, by this router or another. Requests with the same prefix prefer it
// for the pool's prefixTTL.
func (p *Pool) RecordUse(key PrefixHash, server string, now time.Duration) {
	p.prefixes.record(key, server, now)
}

// Put adds a server that may be used, or updates the address and zone of one; what was learned of it is kept, its slots
// included.
func (p *Pool) Put(e Endpoint) {
	if known := p.servers[e.ID]; known != nil {
		known.Address, known.Zone = e.Address, e.Zone
		return
	}
	s := &Server{Endpoint: e, hash: HashServer(e.ID), order: p.hash("", e.ID)}
	s.currentWeight.Seed(p.random())
	at, _ := p.position(s)
	p.servers[s.ID] = s
	p.ordered = slices.Insert(p.ordered, at, s)
}

// Remove removes a server that may not be used any more.
func (p *Pool) Remove(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	at, _ := p.position(s)
	delete(p.servers, id)
	p.ordered = slices.Delete(p.ordered, at, at+1)
}

// position is the index of a server in the order, or the one to insert it at.
func (p *Pool) position(s *Server) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, s, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.order, b.order), strings.Compare(a.ID, b.ID))
	})
}

// Servers returns the servers, in an order without a meaning. The caller may not change the list, nor keep it beyond
// the next Put or Remove.
func (p *Pool) Servers() []*Server { return p.ordered }

// AddLoads puts into sums the work that this router's requests have pending at each server of the pool. A server is in
// one pool alone.
func (p *Pool) AddLoads(sums LoadSums) {
	for _, s := range p.ordered {
		if s.local.Requests > 0 {
			sums[s.hash] = s.local
		}
	}
}

// SetPeerLoads sets the work that the other routers' requests have pending: none at servers that are not named.
func (p *Pool) SetPeerLoads(others LoadSums, now time.Duration) {
	if !p.policy.PeerLoads {
		return
	}
	p.peerLoadsAt = now
	for _, s := range p.ordered {
		s.peers = peerWork{others[s.hash], now}
	}
}

// Pick chooses the server of a request's first attempt, or a trial at an ejected one; usable is a further condition for
// a server, as that it has a free connection. It returns nil where none is left. The caller adds the request's work to
// the server by Begin.
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

// choices is the set of servers among which a request is rotated.
func (p *Pool) choices(r Request, candidates []*Server, now time.Duration) []*Server {
	switch {
	case p.policy.Affinity && r.HasAffinity():
		return p.affinityServers(r, candidates, now)
	case p.policy.PackStreams && r.DecodeHeavy() && freshness(p.peerLoadsAt, peerLoadTTL, now) > 0:
		// Without the others' loads all routers would choose the same few servers, unaware of each other.
		return p.packStreams(p.nearby(candidates, now), now)
	}
	return p.nearby(candidates, now)
}

// rotate is the design's choice within a set.
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

// Reroute chooses the server of a further attempt: the healthiest that was not tried; among equals one with a free
// slot, then one of the router's zone, then the least loaded. It returns nil where none is left.
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

// candidates are the servers that may have the request; those in cooldown or ejected only where no other may.
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

// nearby are the servers of the router's zone with a free slot, else all with a free slot, else all.
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

// packStreams is the subset of some servers that long answers go to: the smallest one, of those that have the most of
// them already, that has room for all in StreamSlotFraction of its slots.
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
