package placement

import (
	"hash/fnv"
	"math"
	"time"

	"petrelhook/internal/router/rotation"
)

const (
	serverReportTTL = time.Second // how long a load that a server reported counts, with falling weight
	peerLoadTTL     = time.Second // how long the other routers' work counts, with falling weight
)

// ServerHash identifies a server in messages between routers, in four bytes.
type ServerHash uint32

// HashServer returns the hash of a server's ID. Two IDs may have the same.
func HashServer(id string) ServerHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash returns no error
	return ServerHash(h.Sum32())
}

// Endpoint is what the registry says of a server.
type Endpoint struct {
	ID      string
	Address string
	Zone    string
	Slots   int // requests that it runs at a time; 0: unknown. What the server reports replaces it
}

// Server is a server of a Pool: what the registry says of it, and what this router learned. The pool's owner may keep a
// *Server for as long as it has requests there, also beyond Remove; it is guarded as the pool is.
type Server struct {
	Endpoint

	Health        rotation.Health
	currentWeight rotation.CurrentWeight
	hash          ServerHash
	order         uint64 // position in the pool's order

	local    Work // of this router's requests
	peers    peerWork
	reported reportedLoad
}

// peerWork is the work of the other routers' requests, as last received.
type peerWork struct {
	work       Work
	receivedAt time.Duration
}

// reportedLoad is what the server said of itself in its last answer.
type reportedLoad struct {
	requests   float64 // running and queued
	sentSince  int     // requests that this router sent after that
	receivedAt time.Duration
}

// Begin adds the work of a request that is sent there. The caller subtracts all of it by End, at once or in parts.
func (s *Server) Begin(w Work) {
	s.local = s.local.plus(w)
	s.reported.sentSince++
}

// End subtracts work of a request that is done.
func (s *Server) End(w Work) { s.local = s.local.minus(w) }

// ReportLoad records the load that the server reported with an answer: the requests that run and wait there, of all
// routers, and its slots, 0 where it did not say.
func (s *Server) ReportLoad(running, waiting float64, slots int, now time.Duration) {
	s.reported = reportedLoad{requests: running + waiting, receivedAt: now}
	if slots > 0 {
		s.Slots = slots
	}
}

// Work returns an estimate of what all routers' requests have pending there.
func (s *Server) Work(now time.Duration) Work {
	return s.local.plus(s.peers.work.times(freshness(s.peers.receivedAt, peerLoadTTL, now)))
}

// Load returns an estimate of the requests at a server: those that all routers have there, or what the server reported
// if that is more.
func (s *Server) Load(now time.Duration) float64 {
	load := s.Work(now).Requests
	if fresh := freshness(s.reported.receivedAt, serverReportTTL, now); fresh > 0 {
		load = math.Max(load, s.reported.requests*fresh+float64(s.reported.sentSince))
	}
	return load
}

// Full reports whether a server is believed to have no free slot.
func (s *Server) Full(now time.Duration) bool {
	return s.Slots > 0 && s.Load(now) >= float64(s.Slots)
}
