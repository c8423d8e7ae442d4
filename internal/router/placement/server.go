package placement

import (
	"hash/fnv"
	"math"
	"time"

	"petrelhook/internal/router/rotation"
)

const (
	serverReportTTL = time.Second // time in which the weight of a server's own load report falls to 0
	peerLoadTTL     = time.Second // time in which the weight of the other routers' loads falls to 0
)

// ServerHash identifies a server in messages between routers, in four bytes.
type ServerHash uint32

// HashServer returns the hash of a server's ID. Hashes of two IDs may collide.
func HashServer(id string) ServerHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never returns an error
	return ServerHash(h.Sum32())
}

// Endpoint is the registry's information about a server.
type Endpoint struct {
	ID      string
	Address string
	Zone    string
	Slots   int // requests that it runs concurrently; 0: unknown. The server's own load reports replace this value
}

// Server is a server of a Pool: the registry's information, and what this router learned about the server. The owner of
// the Pool may keep a *Server while it has requests there, also after Remove. The lock that guards the Pool must guard
// its Servers too.
type Server struct {
	Endpoint

	Health        rotation.Health
	currentWeight rotation.CurrentWeight
	hash          ServerHash
	sortKey       uint64 // by which the pool orders its servers: a hash of the ID

	local    Work // pending work of this router's requests
	peers    peerWork
	reported reportedLoad
}

// peerWork is the pending work of the other routers' requests, as last received.
type peerWork struct {
	work       Work
	receivedAt time.Duration
}

// reportedLoad is the load that the server reported with its latest answer.
type reportedLoad struct {
	requests   float64 // running and queued
	sentSince  int     // requests that this router sent since the report
	receivedAt time.Duration
}

// Begin adds the work of a request that is sent to the server. The caller subtracts all of it again with End, in one
// call or in several.
func (s *Server) Begin(w Work) {
	s.local = s.local.plus(w)
	s.reported.sentSince++
}

// End subtracts completed work of a request.
func (s *Server) End(w Work) { s.local = s.local.minus(w) }

// ReportLoad records the load that the server reported with an answer: the numbers of running and waiting requests of
// all routers, and the number of its slots, 0 if the report does not contain it.
func (s *Server) ReportLoad(running, waiting float64, slots int, now time.Duration) {
	s.reported = reportedLoad{requests: running + waiting, receivedAt: now}
	if slots > 0 {
		s.Slots = slots
	}
}

// Work returns an estimate of the work that requests of all routers have pending at the server.
func (s *Server) Work(now time.Duration) Work {
	return s.local.plus(s.peers.work.times(freshness(s.peers.receivedAt, peerLoadTTL, now)))
}

// Load returns an estimate of the number of requests at the server: the requests that all routers have in flight there,
// or the number that the server reported, whichever is larger.
func (s *Server) Load(now time.Duration) float64 {
	load := s.Work(now).Requests
	if fresh := freshness(s.reported.receivedAt, serverReportTTL, now); fresh > 0 {
		load = math.Max(load, s.reported.requests*fresh+float64(s.reported.sentSince))
	}
	return load
}

// Full reports whether the server probably has no free slot.
func (s *Server) Full(now time.Duration) bool {
	return s.Slots > 0 && s.Load(now) >= float64(s.Slots)
}
