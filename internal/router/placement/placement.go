// Package placement chooses the server for a request. It is pure, for one goroutine at a time.
//
// A prompt that shares much with others goes to a server that read its longest shared part lately, as far as sidecars have
// told one another, unless that has so much left to do that another one would read the whole prompt sooner. All else goes over the
// servers of the sidecar's zone. What a server has left to do is estimated from what all sidecars have under way there; a
// server's own word of its load is one more witness. Requests that generate for long are kept together on as few servers as hold them
// well, and prompts count more where many of them are, so that the tokens of long answers do not wait behind prompts.
//
// Within the set the pick is the design's: smooth weighted round robin over 100 × multiplier. A re-route goes to the healthiest server not yet tried.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Policy says which mechanisms are in use. Ablations and experiments switch single ones off.
type Policy struct {
	Affinity    bool // prompts go where their shared part is kept
	PrefixTable bool // by what sidecars have told of it; else by rendezvous hashing alone
	ZoneFirst   bool
	PeerLoads   bool // what other sidecars have under way counts
	PackStreams bool // long answers are kept together
	// StreamFill is the part of a server's places that long answers take before another server takes some: the others are for the prompts
	// that are kept there, and for what comes before others are told of it.
	StreamSlotFraction float64
	// StreamHarm is the part of a pause objective that a prompt's reading may take before it counts as much again for each long answer
	// behind it: twice the objective, for a prompt alone makes no pause, and two that meet do.
	StreamDelayFraction float64
	// ReadAgain is how many times the reading of a shared part costs that some server keeps: it takes that server's time and the part's place at another one.
	RecomputeFactor float64
	// SlackTokens is by how much servers may differ and still count as alike: a chunk of a prompt, below which a server does not stop.
	SlackTokens float64
}

// DefaultPolicy is what sidecars use.
func DefaultPolicy() Policy {
	return Policy{Affinity: true, PrefixTable: true, ZoneFirst: true, PeerLoads: true, PackStreams: true,
		StreamDelayFraction: 2, StreamSlotFraction: 0.6, RecomputeFactor: 12, SlackTokens: 1024}
}

// Pool is the servers of one service.
type Pool struct {
	zone    string
	policy  Policy
	servers map[string]*Server
	byHash  map[ServerHash]*Server
	ordered []*Server
	recent  recent
	ejected ejected
	random  func() float64
	hash    func(key, id string) uint64 // the one way in which a server's name decides anything
	heardAt time.Duration               // when others' work was heard of last; 0: never
	reading reading
	pause   time.Duration // the longest that long answers may have, as their routes say; 0: none has said
}

// NewPool makes an empty pool of a sidecar in a zone; again is for how long a part counts as kept after its last use, 0 where
// that is not said.
func NewPool(zone string, again time.Duration, policy Policy, random func() float64) *Pool {
	if random == nil {
		random = rand.Float64
	}
	return &Pool{zone: zone, policy: policy, random: random, hash: rendezvous, ejected: ejected{random: random}, servers: map[string]*Server{},
		byHash: map[ServerHash]*Server{}, recent: recent{again: again, uses: map[PrefixHash][]use{}}}
}

// RecordUse notes that a server was sent a part, by this sidecar or another.
func (p *Pool) RecordUse(key PrefixHash, server string, now time.Duration) {
	p.recent.note(key, server, now)
}

// Put adds a server that may be used, or takes in what is new of one; what was learned of it is kept.
func (p *Pool) Put(s Server) {
	if old := p.servers[s.ID]; old != nil {
		old.Address, old.Zone = s.Address, s.Zone
		return
	}
	s.hash = HashServer(s.ID)
	s.turn.Seed(p.random())
	s.place = p.hash("", s.ID)
	at, _ := p.position(&s)
	p.servers[s.ID] = &s
	p.byHash[s.hash] = &s
	p.ordered = slices.Insert(p.ordered, at, &s)
}

// Remove takes away a server that may not be used any more.
func (p *Pool) Remove(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	at, _ := p.position(s)
	delete(p.byHash, s.hash)
	delete(p.servers, id)
	p.ordered = slices.Delete(p.ordered, at, at+1)
}

// position is where a server stands in the order, or would.
func (p *Pool) position(s *Server) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, s, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(a.place, b.place), strings.Compare(a.ID, b.ID))
	})
}

// Servers lists the servers, in an order that says nothing.
func (p *Pool) Servers() []*Server { return p.ordered }

// AddLoads adds what this sidecar's requests have left to do.
func (p *Pool) AddLoads(sums LoadSums) {
	for _, s := range p.ordered {
		if s.own.Requests > 0 {
			sums[s.hash] = s.own
		}
	}
}

// SetPeerLoads takes in what the other sidecars' requests have left to do: nothing at servers that are not named.
func (p *Pool) SetPeerLoads(others LoadSums, now time.Duration) {
	if !p.policy.PeerLoads {
		return
	}
	p.heardAt = now
	for _, s := range p.ordered {
		s.told, s.toldAt = others[s.hash], now
	}
}

// Pick chooses a server for a first send; usable says whether one may be used besides. It returns nil where none is left.
func (p *Pool) Pick(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if s := p.trial(r, usable, now); s != nil {
		return s
	}
	candidates := p.candidates(r, usable, now)
	if len(candidates) == 0 {
		return nil
	}
	if r.DecodeHeavy() && r.MaxGap > 0 {
		p.pause = r.MaxGap
	}
	return p.rotate(p.choices(r, candidates, now), now)
}

// choices is the set of servers that a request goes over.
func (p *Pool) choices(r Request, candidates []*Server, now time.Duration) []*Server {
	switch {
	case p.policy.Affinity && r.HasAffinity():
		return p.affine(r, candidates, now)
	case p.policy.PackStreams && r.DecodeHeavy() && faded(p.heardAt, toldGood, now) > 0: // else all would take the same few, and not know it
		return p.streamPart(p.near(candidates, now), now)
	}
	return p.near(candidates, now)
}

// Reroute chooses the healthiest server that was not tried; of equals the least loaded in its own zone.
func (p *Pool) Reroute(r Request, usable func(*Server) bool, now time.Duration) *Server {
	var best *Server
	for _, s := range p.candidates(r, usable, now) {
		if best == nil || p.better(s, best, now) {
			best = s
		}
	}
	return best
}

func (p *Pool) better(s, best *Server, now time.Duration) bool {
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

// candidates are the servers that may have the request; those that rest or are ejected only where no other may.
func (p *Pool) candidates(r Request, usable func(*Server) bool, now time.Duration) []*Server {
	out := make([]*Server, 0, len(p.ordered))
	var resting []*Server
	for _, s := range p.ordered {
		if r.Tried[s.ID] || !usable(s) {
			continue
		}
		if s.Health.CoolingDown(now) || p.ejected.holds(s.ID, now) {
			resting = append(resting, s)
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return resting
	}
	return out
}

// near are the servers of the own zone with a place, else all with a place, else all.
func (p *Pool) near(candidates []*Server, now time.Duration) []*Server {
	var here, free []*Server
	for _, s := range candidates {
		if s.Full(now) {
			continue
		}
		free = append(free, s)
		if s.Zone == p.zone {
			here = append(here, s)
		}
	}
	switch {
	case p.policy.ZoneFirst && len(here) > 0:
		return here
	case len(free) > 0:
		return free
	}
	return candidates
}
