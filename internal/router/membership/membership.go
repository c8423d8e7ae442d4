// Package membership knows which sidecars are in the fleet. Each sidecar holds a session with a control sidecar, by
// heartbeats; control sidecars tell one another of the sessions that they hold, so that each knows the whole fleet. It is
// pure.
package membership

import (
	"time"

	"petrelhook/internal/router/replication"
)

// Router is one process of the fleet.
type Router struct {
	Address     string // internal
	Zone        string
	Incarnation uint64              // drawn at each start
	Member      *replication.Member // where it can be a member of the core
}

type session struct {
	router      Router
	lastContact time.Duration
}

type peerTable struct {
	incarnation uint64
	stamp       uint64
	routers     []Router
	lastContact time.Duration
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

// ReceiveHeartbeat takes in a session's heartbeat.
func (s *Sessions) ReceiveHeartbeat(router Router, now time.Duration) {
	old := s.own[router.Address]
	if old == nil || old.router.Incarnation != router.Incarnation {
		s.stamp++
	}
	s.own[router.Address] = &session{router: router, lastContact: now}
}

// Expire ends sessions that have been silent.
func (s *Sessions) Expire(now time.Duration) {
	for address, one := range s.own {
		if now-one.lastContact > s.timeout {
			delete(s.own, address)
			s.stamp++
		}
	}
	for address, table := range s.peers {
		if now-table.lastContact > 4*s.timeout {
			delete(s.peers, address)
		}
	}
}

// Own lists the sessions held here, with a stamp that changes with them.
func (s *Sessions) Own() ([]Router, uint64) {
	out := make([]Router, 0, len(s.own))
	for _, one := range s.own {
		out = append(out, one.router)
	}
	return out, s.stamp
}

// PeerStamp is the stamp of what is known of another control sidecar's sessions.
func (s *Sessions) PeerStamp(address string, incarnation uint64) uint64 {
	if table := s.peers[address]; table != nil && table.incarnation == incarnation {
		return table.stamp
	}
	return 0
}

// UpdatePeer takes in another control sidecar's sessions; nodes is nil where nothing changed.
func (s *Sessions) UpdatePeer(address string, incarnation, stamp uint64, routers []Router, now time.Duration) {
	table := s.peers[address]
	if table == nil || table.incarnation != incarnation {
		table = &peerTable{incarnation: incarnation}
		s.peers[address] = table
	}
	table.lastContact = now
	if routers != nil {
		table.stamp, table.routers = stamp, routers
	}
}

// Fleet is the addresses of all sidecars known.
func (s *Sessions) Fleet() map[string]Router {
	out := map[string]Router{}
	for _, t := range s.peers {
		for _, n := range t.routers {
			out[n.Address] = n
		}
	}
	for address, one := range s.own {
		out[address] = one.router
	}
	return out
}
