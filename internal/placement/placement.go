// Package placement chooses the server for a request. It is pure, for one goroutine at a time.
//
// A prompt that shares much with others goes to a server that read its longest shared part lately, as far as sidecars have
// told one another; else to one of the sidecar's zone, by rendezvous hashing of that part. The set of servers for a part
// grows while the first is loaded beyond the others or has errors against it. Where nothing is said of how long a part
// is kept, rendezvous hashing goes over all zones, so that sidecars agree without a word. All else goes over the servers
// of the sidecar's zone. Within the set the pick is the design's: smooth weighted round robin over 100 × multiplier. A re-route goes to the healthiest server not yet tried.
package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/rotation"
)

const (
	sharedWorth = 600 // shared tokens from which a prompt is sent where they are kept
	loadSlack   = 2.0 // requests that a server may hold beyond its part
	loadFactor  = 1.5
	reportGood  = time.Second
	maxTokens   = 1 << 30 // of one part
)

// Server is what a sidecar knows of one server.
type Server struct {
	ID      string
	Address string
	Zone    string
	Slots   int

	Health   rotation.Health
	turn     rotation.Turn
	inFlight int
	reported float64 // requests running and waiting there, by its last answer
	since    int     // sent by this sidecar after that
	at       time.Duration
}

// Sent notes a request that goes there.
func (s *Server) Sent() { s.inFlight++; s.since++ }

// Ended notes that a request has ended.
func (s *Server) Ended() { s.inFlight-- }

// InFlight is how many requests this sidecar has there.
func (s *Server) InFlight() int { return s.inFlight }

// Report takes in a load that the server told.
func (s *Server) Report(running, waiting float64, slots int, now time.Duration) {
	s.reported, s.at, s.since = running+waiting, now, 0
	if slots > 0 {
		s.Slots = slots
	}
}

// Load is an estimate of the requests that a server holds.
func (s *Server) Load(now time.Duration) float64 {
	own := float64(s.inFlight)
	if s.at == 0 || now-s.at > reportGood {
		return own
	}
	fade := 1 - float64(now-s.at)/float64(reportGood)
	return math.Max(own, s.reported*fade+float64(s.since))
}

// Full reports whether a server is thought to have no place left.
func (s *Server) Full(now time.Duration) bool {
	return s.Slots > 0 && s.Load(now) >= float64(s.Slots)
}

// Request is what is asked of a placement.
type Request struct {
	Key    string // the longest shared part of the prompt; "": none
	Shared int    // tokens up to its end
	Tried  map[string]bool
}

// Pool is the servers of one service.
type Pool struct {
	zone    string
	servers map[string]*Server
	ordered []*Server
	recent  recent
	ejected ejected
}

// NewPool makes an empty pool of a sidecar in a zone; again is for how long a part counts as kept after its last use, 0 where
// that is not said.
func NewPool(zone string, again time.Duration) *Pool {
	return &Pool{zone: zone, ejected: ejected{random: rand.Float64}, servers: map[string]*Server{}, recent: recent{again: again, uses: map[KeyHash][]use{}}}
}

// Used notes that a server was sent a part, by this sidecar or another.
func (p *Pool) Used(key KeyHash, server string, now time.Duration) { p.recent.note(key, server, now) }

// Affine reports whether a request goes where its shared part is kept.
func (r *Request) Affine() bool { return r.Key != "" && r.Shared >= sharedWorth }

// Put adds a server that may be used, or takes in what is new of one; what was learned of it is kept.
func (p *Pool) Put(s Server) {
	if old := p.servers[s.ID]; old != nil {
		old.Address, old.Zone = s.Address, s.Zone
		return
	}
	at, _ := p.position(s.ID)
	p.servers[s.ID] = &s
	p.ordered = slices.Insert(p.ordered, at, &s)
}

// Remove takes away a server that may not be used any more.
func (p *Pool) Remove(id string) {
	at, ok := p.position(id)
	if !ok {
		return
	}
	delete(p.servers, id)
	p.ordered = slices.Delete(p.ordered, at, at+1)
}

// position is where a server stands in the order, or would.
func (p *Pool) position(id string) (int, bool) {
	return slices.BinarySearchFunc(p.ordered, id, func(s *Server, id string) int { return strings.Compare(s.ID, id) })
}

// Servers lists the servers, by ID.
func (p *Pool) Servers() []*Server { return p.ordered }

// Pick chooses a server for a first send; usable says whether one may be used besides. It returns nil where none is left.
func (p *Pool) Pick(r Request, usable func(*Server) bool, now time.Duration) *Server {
	if s := p.trial(r, usable, now); s != nil {
		return s
	}
	candidates := p.candidates(r, usable, now)
	if len(candidates) == 0 {
		return nil
	}
	if r.Affine() {
		return p.rotate(p.affine(r.Key, candidates, now), now)
	}
	return p.rotate(p.near(candidates, now), now)
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
		if s.Health.Resting(now) || p.ejected.holds(s.ID, now) {
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
	case len(here) > 0:
		return here
	case len(free) > 0:
		return free
	}
	return candidates
}

// affine is the set of servers for a shared part.
func (p *Pool) affine(key string, candidates []*Server, now time.Duration) []*Server {
	ordered := rank(key, candidates)
	if p.recent.again > 0 {
		ordered = p.prefer(key, ordered, now)
	}
	total := 0.0
	for _, s := range ordered {
		total += s.Load(now)
	}
	most := loadFactor*total/float64(len(ordered)) + loadSlack
	var set []*Server
	for _, s := range ordered {
		if s.Load(now) > most || s.Full(now) {
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

// prefer puts those first that read the part lately, and then those of the own zone.
func (p *Pool) prefer(key string, ordered []*Server, now time.Duration) []*Server {
	kept := p.recent.kept(HashKey(key), now)
	class := func(s *Server) int {
		for i, one := range kept {
			if one.server == s.ID {
				return i
			}
		}
		if s.Zone == p.zone {
			return recentServers
		}
		return recentServers + 1
	}
	sort.SliceStable(ordered, func(i, j int) bool { return class(ordered[i]) < class(ordered[j]) })
	return ordered
}

// rank orders servers for a key by rendezvous hashing.
func rank(key string, servers []*Server) []*Server {
	type ranked struct {
		server *Server
		weight uint64
	}
	list := make([]ranked, len(servers))
	for i, s := range servers {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(s.ID))
		list[i] = ranked{s, mix(h.Sum64())}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
	out := make([]*Server, len(list))
	for i, one := range list {
		out[i] = one.server
	}
	return out
}

// mix spreads the last bytes of a hash over all its bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (p *Pool) rotate(set []*Server, now time.Duration) *Server {
	if len(set) == 1 {
		return set[0]
	}
	candidates := make([]rotation.Candidate, len(set))
	for i, s := range set {
		candidates[i] = rotation.Candidate{Turn: &s.turn, Weight: s.Health.Weight(now)}
	}
	return set[rotation.Pick(candidates)]
}

// ParsePrefix reads X-Prompt-Prefix, parts as ID:TOKENS by commas: the key of the longest part that others may share, and the
// tokens up to its end. The last part is the request's own or its session's.
func ParsePrefix(header string) (key string, shared int) {
	parts := strings.Split(header, ",")
	if header == "" || len(parts) < 2 {
		return "", 0
	}
	for _, part := range parts[:len(parts)-1] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || id == "" || n < 0 || n > maxTokens {
			return "", 0
		}
		key = id
		shared += n
	}
	return key, shared
}
