// Package membership knows which sidecars are in the fleet. Each sidecar holds a session with a control sidecar, by
// heartbeats; control sidecars tell one another of the sessions that they hold, so that each knows the whole fleet. It is
// pure.
package membership

import (
	"time"

	"petrelhook/internal/router/replication"
)

// Process is one process of the fleet.
type Process struct {
	Address     string // internal
	Zone        string
	Incarnation uint64              // drawn at each start
	Member      *replication.Member // where it can be a member of the core
}

type session struct {
	node  Process
	heard time.Duration
}

type peerTable struct {
	life  uint64
	stamp uint64
	nodes []Process
	heard time.Duration
}

// Sessions are the sessions that a control sidecar holds, and what other control sidecars say of theirs.
type Sessions struct {
	timeout time.Duration
	own     map[string]*session
	stamp   uint64
	peers   map[string]*peerTable
}

// New makes an empty table; a session ends after a time without a heartbeat.
func New(timeout time.Duration) *Sessions {
	return &Sessions{timeout: timeout, own: map[string]*session{}, peers: map[string]*peerTable{}}
}

// Heartbeat takes in a session's heartbeat.
func (s *Sessions) Heartbeat(n Process, now time.Duration) {
	old := s.own[n.Address]
	if old == nil || old.node.Incarnation != n.Incarnation {
		s.stamp++
	}
	s.own[n.Address] = &session{node: n, heard: now}
}

// Expire ends sessions that have been silent.
func (s *Sessions) Expire(now time.Duration) {
	for address, one := range s.own {
		if now-one.heard > s.timeout {
			delete(s.own, address)
			s.stamp++
		}
	}
	for address, table := range s.peers {
		if now-table.heard > 4*s.timeout {
			delete(s.peers, address)
		}
	}
}

// Own lists the sessions held here, with a stamp that changes with them.
func (s *Sessions) Own() ([]Process, uint64) {
	out := make([]Process, 0, len(s.own))
	for _, one := range s.own {
		out = append(out, one.node)
	}
	return out, s.stamp
}

// PeerStamp is the stamp of what is known of another control sidecar's sessions.
func (s *Sessions) PeerStamp(address string, life uint64) uint64 {
	if t := s.peers[address]; t != nil && t.life == life {
		return t.stamp
	}
	return 0
}

// Peer takes in another control sidecar's sessions; nodes is nil where nothing changed.
func (s *Sessions) Peer(address string, life, stamp uint64, nodes []Process, now time.Duration) {
	t := s.peers[address]
	if t == nil || t.life != life {
		t = &peerTable{life: life}
		s.peers[address] = t
	}
	t.heard = now
	if nodes != nil {
		t.stamp, t.nodes = stamp, nodes
	}
}

// Fleet is the addresses of all sidecars known.
func (s *Sessions) Fleet() map[string]Process {
	out := map[string]Process{}
	for _, t := range s.peers {
		for _, n := range t.nodes {
			out[n.Address] = n
		}
	}
	for address, one := range s.own {
		out[address] = one.node
	}
	return out
}
