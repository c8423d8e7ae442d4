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
	// resendDelay is the time after which changes are sent again to a subscriber that has not acknowledged them.
	resendDelay = 300 * time.Millisecond
	// maxResendDoublings bounds how often resendDelay doubles.
	maxResendDoublings = 2
	// resendDelayPerServer, times the number of servers sent, is the delay if that is longer.
	resendDelayPerServer = 500 * time.Microsecond
)

// subscriber is the state that a core member keeps of a router that subscribes to it.
type subscriber struct {
	address     string
	incarnation uint64
	coreMember  bool // it is a core member or can become one
	lastContact time.Duration

	// What the subscriber has acknowledged, or what was sent to it and may be in flight.
	view          replication.Epoch
	version       uint64
	registryStamp uint64
	sessionsStamp uint64

	lastSent        time.Duration // when changes were last sent
	lastSentServers int           // number of servers last sent
	resends         int           // consecutive resends of changes that it did not acknowledge
	sendFullState   bool          // it requested the complete list of servers

	unsentHeartbeats map[string]bool                  // servers whose heartbeats came here since the last push; for core members
	unsentPrefixes   map[string]*placement.PrefixUses // by service
}

func newSubscriber(address string) *subscriber {
	return &subscriber{address: address, unsentHeartbeats: map[string]bool{}, unsentPrefixes: map[string]*placement.PrefixUses{}}
}

// receiveHeartbeat records the state in a subscriber's heartbeat. incarnation is that of this core member. It reports
// whether the subscriber has another incarnation than before.
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

// acknowledge records what the subscriber has received from this core member, whose incarnation is given. While changes
// may be in flight, they count as received.
func (s *subscriber) acknowledge(m *dissemination.SubscriptionHeartbeat, incarnation uint64, restarted bool, now time.Duration) {
	sameIncarnation := m.HomeIncarnation == incarnation
	upToDate := sameIncarnation && m.RegistryStamp >= s.registryStamp && m.Version >= s.version
	switch {
	case upToDate || restarted:
		s.resends = 0
	case now-s.lastSent <= s.resendTimeout():
		return
	default:
		s.resends++
	}
	s.version = m.Version
	if sameIncarnation {
		s.registryStamp, s.sessionsStamp = m.RegistryStamp, m.SessionsStamp
	} else {
		s.registryStamp, s.sessionsStamp = 0, 0
	}
}

// resendTimeout returns the time after which unacknowledged changes are sent again. It is longer after earlier resends and
// for a long list of servers. Otherwise subscribers that are slow to apply a list would be sent it over and over, which
// makes them slower.
func (s *subscriber) resendTimeout() time.Duration {
	return max(resendDelay<<min(s.resends, maxResendDoublings), time.Duration(s.lastSentServers)*resendDelayPerServer)
}

// fillServers adds the changes of the registry that the subscriber lacks to a push. p.Stamp is the registry's stamp.
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

// fillVersion adds the configuration to a push if the subscriber lacks it.
func (s *subscriber) fillVersion(p *dissemination.Push, versions *dissemination.Versions, now time.Duration) {
	if s.version >= versions.Version() {
		p.Version = versions.Version()
		return
	}
	versions.FillPush(p, s.version)
	s.version = versions.Version()
	s.lastSent = now
}

// fillSessions adds the servers whose heartbeats came here to a push to a core member, and the sessions held here if they
// have changed.
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
