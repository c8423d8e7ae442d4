// Package membership knows which routers are in the fleet.
//
// Each router has a session with a core member, kept alive by heartbeats. Core members send one another the sessions
// that they hold, so that each of them knows the complete fleet. The package does not decide who is a member of the
// core; that is a view of package replication. It is pure: the caller passes the time and holds a lock around every
// call.
package membership

import (
	"time"

	"petrelhook/internal/router/replication"
)

// Router is one incarnation of a router.
type Router struct {
	Address     string // internal
	Zone        string
	Incarnation uint64              // drawn at random at each start
	Member      *replication.Member // how it would be a member of the core; nil where it cannot be one
}

// session is a router's session with this core member.
type session struct {
	router      Router
	lastContact time.Duration
}

// peerTable is the sessions that another core member holds, as it sent them.
type peerTable struct {
	incarnation uint64 // of the core member; stamp counts in it alone
	stamp       uint64
	routers     []Router
	lastContact time.Duration
}

// peerTimeouts is how many session time-outs the sessions of a core member that is silent are kept for. Its routers
// need that time to find another core member; until then they must not be missing from the fleet.
const peerTimeouts = 4

// Sessions is the sessions that one core member holds, and those that other core members reported. Make it by New.
type Sessions struct {
	timeout time.Duration
	own     map[string]*session // by the router's address
	stamp   uint64              // grows with each change of own
	peers   map[string]*peerTable
}

// New returns an empty table of sessions that end after a time-out without a heartbeat.
func New(timeout time.Duration) *Sessions {
	return &Sessions{timeout: timeout, own: map[string]*session{}, peers: map[string]*peerTable{}}
}

// ReceiveHeartbeat opens or renews a router's session.
func (s *Sessions) ReceiveHeartbeat(router Router, now time.Duration) {
	old := s.own[router.Address]
	if old == nil || old.router.Incarnation != router.Incarnation {
		s.stamp++
	}
	s.own[router.Address] = &session{router: router, lastContact: now}
}

// Expire ends the sessions without a heartbeat in time, and drops what core members reported that have been silent for
// long.
func (s *Sessions) Expire(now time.Duration) {
	for address, held := range s.own {
		if now-held.lastContact > s.timeout {
			delete(s.own, address)
			s.stamp++
		}
	}
	for address, table := range s.peers {
		if now-table.lastContact > peerTimeouts*s.timeout {
			delete(s.peers, address)
		}
	}
}

// Own returns the routers whose sessions are held here, and a stamp that is greater than before whenever they are
// others.
func (s *Sessions) Own() ([]Router, uint64) {
	routers := make([]Router, 0, len(s.own))
	for _, held := range s.own {
		routers = append(routers, held.router)
	}
	return routers, s.stamp
}

// PeerStamp returns the stamp of what is known of another core member's sessions; 0 where nothing is known of this
// incarnation.
func (s *Sessions) PeerStamp(address string, incarnation uint64) uint64 {
	if table := s.peers[address]; table != nil && table.incarnation == incarnation {
		return table.stamp
	}
	return 0
}

// UpdatePeer applies what another core member sent of its sessions; routers is nil where they did not change.
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

// Fleet returns all routers with a session at any core member, by address. A session that is held here counts before
// one that a peer reported.
func (s *Sessions) Fleet() map[string]Router {
	fleet := map[string]Router{}
	for _, table := range s.peers {
		for _, router := range table.routers {
			fleet[router.Address] = router
		}
	}
	for address, held := range s.own {
		fleet[address] = held.router
	}
	return fleet
}
