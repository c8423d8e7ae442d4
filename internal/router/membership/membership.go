// Package membership tracks which routers are in the fleet.
//
// Each router has a session with a core member, kept alive by heartbeats. Core members send one another the sessions
// that they hold, so each of them knows the complete fleet. The package does not decide which routers are members of
// the core; that is a view of package replication. It has no clock, network or goroutine of its own: the caller passes
// the time and holds a lock around every call.
package membership

import (
	"time"

	"petrelhook/internal/router/replication"
)

// Router is one incarnation of a router.
type Router struct {
	Address     string // internal address
	Zone        string
	Incarnation uint64              // a random number, new at each start
	Member      *replication.Member // its identity as a core member; nil if it cannot become one
}

// session is a router's session with this core member.
type session struct {
	router      Router
	lastContact time.Duration
}

// peerTable holds the sessions of another core member, as that member last sent them.
type peerTable struct {
	incarnation uint64 // of the core member; stamp applies to this incarnation only
	stamp       uint64
	routers     []Router
	lastContact time.Duration
}

// peerTimeouts is how many session timeouts the sessions of a silent core member are kept for. Its routers need that
// time to find another core member; until then they must stay in the fleet.
const peerTimeouts = 4

// Sessions holds the sessions of one core member, and those that other core members reported. Create it with New.
type Sessions struct {
	timeout time.Duration
	own     map[string]*session // by the address of the router
	stamp   uint64              // incremented with each change of own
	peers   map[string]*peerTable
}

// New returns an empty table, whose sessions expire after timeout without a heartbeat.
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

// Expire ends the sessions without a heartbeat within the timeout, and discards the reports of core members that have
// been silent for peerTimeouts timeouts.
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

// Own returns the routers whose sessions are held here, and a stamp that increases with every change of that set.
func (s *Sessions) Own() ([]Router, uint64) {
	routers := make([]Router, 0, len(s.own))
	for _, held := range s.own {
		routers = append(routers, held.router)
	}
	return routers, s.stamp
}

// PeerStamp returns the stamp of the last known sessions of another core member, or 0 if none of this incarnation are
// known.
func (s *Sessions) PeerStamp(address string, incarnation uint64) uint64 {
	if table := s.peers[address]; table != nil && table.incarnation == incarnation {
		return table.stamp
	}
	return 0
}

// UpdatePeer applies a report that another core member sent about its sessions; routers is nil if they did not change.
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

// Fleet returns all routers with a session at any core member, by address. A session that is held here takes precedence
// over one that a peer reported.
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
