package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
)

const (
	// resendDelay is how long after something was sent to a subscriber it is sent again where the subscriber does not
	// have it.
	resendDelay = 300 * time.Millisecond
	// maxResendDoublings bounds how often that time doubles.
	maxResendDoublings = 2
	// resendDelayPerServer is the same for each server that was sent, where that is longer.
	resendDelayPerServer = 500 * time.Microsecond
)

// subscriber is what a core member knows of a router that subscribes to it.
type subscriber struct {
	address     string
	incarnation uint64
	coreMember  bool // it is one, or can become one
	lastContact time.Duration

	// What the subscriber has, or what was sent to it and may be in flight.
	view          replication.Epoch
	version       uint64
	registryStamp uint64
	sessionsStamp uint64

	lastSent        time.Duration // when something was last sent that it lacked
	lastSentServers int           // servers in that
	resends         int           // how often in a row it was sent something again that it did not have
	sendFullState   bool          // it requested the complete list of servers

	unsentHeartbeats map[string]bool                  // servers that called here since the last push; for core members
	unsentPrefixes   map[string]*placement.PrefixUses // by service
}

func newSubscriber(address string) *subscriber {
	return &subscriber{address: address, unsentHeartbeats: map[string]bool{}, unsentPrefixes: map[string]*placement.PrefixUses{}}
}

// receiveHeartbeat records what a subscriber says of itself. It reports whether the subscriber is another incarnation
// than before.
func (s *subscriber) receiveHeartbeat(m *dissemination.SubscriptionHeartbeat, incarnation uint64, now time.Duration) (restarted bool) {
	s.coreMember, s.lastContact, s.view = m.CoreMember, now, m.View
	restarted = s.incarnation != m.Router.Incarnation
	s.incarnation = m.Router.Incarnation
	s.acknowledge(m, incarnation, restarted, now)
	s.sendFullState = m.FullState && !m.CoreMember
	if s.sendFullState {
		s.registryStamp = 0
	}
	return restarted
}

// acknowledge records what a subscriber has of the core member with an incarnation. While what was sent may be in
// flight it counts as received.
func (s *subscriber) acknowledge(m *dissemination.SubscriptionHeartbeat, incarnation uint64, restarted bool, now time.Duration) {
	followsThis := m.HomeIncarnation == incarnation
	hasAll := followsThis && m.RegistryStamp >= s.registryStamp && m.Version >= s.version
	switch {
	case hasAll || restarted:
		s.resends = 0
	case now-s.lastSent <= s.resendTimeout():
		return
	default:
		s.resends++
	}
	s.version = m.Version
	if followsThis {
		s.registryStamp, s.sessionsStamp = m.RegistryStamp, m.SessionsStamp
	} else {
		s.registryStamp, s.sessionsStamp = 0, 0
	}
}

// resendTimeout is how long after something was sent it is sent again. It is longer for a subscriber that was sent
// things again already, and for a long list: otherwise subscribers that are slow to apply it would be sent it over and
// over, which makes them slower.
func (s *subscriber) resendTimeout() time.Duration {
	return max(resendDelay<<min(s.resends, maxResendDoublings), time.Duration(s.lastSentServers)*resendDelayPerServer)
}

// fillServers puts into a push the changes of the registry that the subscriber lacks; p has the registry's stamp.
func (s *subscriber) fillServers(p *dissemination.Push, servers *registry.Registry, now time.Duration) {
	p.FromStamp = s.registryStamp
	p.FullState, s.sendFullState = s.sendFullState, false
	if s.registryStamp >= p.Stamp {
		return
	}
	p.Instances = servers.UpdatesSince(s.registryStamp, now)
	s.registryStamp, s.lastSentServers = p.Stamp, len(p.Instances)
	s.lastSent = now
}

// fillVersion puts into a push the configuration that the subscriber lacks.
func (s *subscriber) fillVersion(p *dissemination.Push, versions *dissemination.Versions, now time.Duration) {
	if s.version >= versions.Version() {
		p.Version = versions.Version()
		return
	}
	versions.FillPush(p, s.version)
	s.version = versions.Version()
	s.lastSent = now
}

// fillSessions puts into a push to a core member whose heartbeats came here, and the sessions held here where they have
// changed.
func (s *subscriber) fillSessions(p *dissemination.Push, sessions *membership.Sessions) {
	for id := range s.unsentHeartbeats {
		p.HeartbeatsReceived = append(p.HeartbeatsReceived, id)
	}
	clear(s.unsentHeartbeats)
	routers, stamp := sessions.Own()
	p.SessionsStamp = stamp
	if s.sessionsStamp != stamp {
		p.Routers = routers
		s.sessionsStamp = stamp
	}
}
