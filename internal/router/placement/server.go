package placement

import (
	"hash/fnv"
	"math"
	"time"

	"petrelhook/internal/router/rotation"
)

const (
	reportGood = time.Second // for which a load that a server told counts, less and less
	toldGood   = time.Second // for which what other sidecars told counts, less and less
)

// ServerHash names a server between sidecars, in a few bytes.
type ServerHash uint32

// HashServer is the name of a server.
func HashServer(id string) ServerHash {
	h := fnv.New32a()
	h.Write([]byte(id))
	return ServerHash(h.Sum32())
}

// Work is what requests have left to do at a server.
type Work struct {
	Requests      float64 // that have no whole answer yet
	PrefillTokens float64 // tokens of prompts without a first part of their answer
	Streams       float64 // requests that generate more than they read
}

func (w Work) plus(o Work) Work {
	return Work{w.Requests + o.Requests, w.PrefillTokens + o.PrefillTokens, w.Streams + o.Streams}
}

func (w Work) minus(o Work) Work {
	return Work{w.Requests - o.Requests, w.PrefillTokens - o.PrefillTokens, w.Streams - o.Streams}
}

func (w Work) times(x float64) Work { return Work{w.Requests * x, w.PrefillTokens * x, w.Streams * x} }

// Server is what a sidecar knows of one server.
type Server struct {
	ID      string
	Address string
	Zone    string
	Slots   int

	Health rotation.Health
	turn   rotation.CurrentWeight
	hash   ServerHash
	place  uint64 // in the pool's order

	own    Work // of this sidecar's requests
	told   Work // of the other sidecars', as heard last
	toldAt time.Duration

	reported   float64 // requests running and waiting there, by its last answer
	since      int     // sent by this sidecar after that
	reportedAt time.Duration
}

// Begin notes a request that goes there.
func (s *Server) Begin(w Work) {
	s.own = s.own.plus(w)
	s.since++
}

// End takes back what was noted of a request, as far as it is done.
func (s *Server) End(w Work) { s.own = s.own.minus(w) }

// InFlight is how many requests this sidecar has there.
func (s *Server) InFlight() int { return int(s.own.Requests) }

// ReportLoad takes in a load that the server told.
func (s *Server) ReportLoad(running, waiting float64, slots int, now time.Duration) {
	s.reported, s.reportedAt, s.since = running+waiting, now, 0
	if slots > 0 {
		s.Slots = slots
	}
}

// faded is how much something heard at a time still counts.
func faded(at, good, now time.Duration) float64 {
	if at == 0 || now-at >= good {
		return 0
	}
	return 1 - float64(now-at)/float64(good)
}

// Work is an estimate of what all sidecars' requests have left to do there.
func (s *Server) Work(now time.Duration) Work {
	return s.own.plus(s.told.times(faded(s.toldAt, toldGood, now)))
}

// Load is an estimate of the requests that a server holds: what all sidecars have there, or what the server told if that is more.
func (s *Server) Load(now time.Duration) float64 {
	load := s.Work(now).Requests
	if fresh := faded(s.reportedAt, reportGood, now); fresh > 0 {
		load = math.Max(load, s.reported*fresh+float64(s.since))
	}
	return load
}

// Full reports whether a server is thought to have no place left.
func (s *Server) Full(now time.Duration) bool {
	return s.Slots > 0 && s.Load(now) >= float64(s.Slots)
}
