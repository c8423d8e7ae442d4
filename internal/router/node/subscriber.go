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
	// resendDelayPerServer, times the number of servers in flight, is the delay if that is longer.
	resendDelayPerServer = 500 * time.Microsecond
)

// subscriber is the state that a core member keeps of a router that subscribes to it.
type subscriber struct {
	address     string
	incarnation uint64
	coreMember  bool // it is a core member or can become one
	lastContact time.Duration

	view          replication.Epoch // that the subscriber has, or that was sent to it
	version       sentChanges       // of the configuration
	servers       sentChanges       // by the stamp of the registry
	sessions      sentChanges       // by the stamp of the sessions; only to core members
	knownServers  int               // number of servers in the registry when changes were last sent
	sendFullState bool              // it requested the complete list of servers

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
	s.acknowledge(m, m.HomeIncarnation == incarnation, restarted, now)
	s.sendFullState = m.FullState && !m.CoreMember
	if s.sendFullState {
		s.servers.restart(0)
	}
	return restarted
}

// acknowledge records what the subscriber has received. Its stamps count only if it has received them from this incarnation of the
// core member.
func (s *subscriber) acknowledge(m *dissemination.SubscriptionHeartbeat, stampsAreValid, restarted bool, now time.Duration) {
	var serversStamp, sessionsStamp uint64
	if stampsAreValid {
		serversStamp, sessionsStamp = m.RegistryStamp, m.SessionsStamp
	}
	if restarted {
		s.version.restart(m.Version)
		s.servers.restart(serversStamp)
		s.sessions.restart(sessionsStamp)
		return
	}
	serversInFlight := s.serversInFlight()
	s.version.acknowledge(m.Version, resendTimeout(s.version.resends, serversInFlight), now)
	s.servers.acknowledge(serversStamp, resendTimeout(s.servers.resends, serversInFlight), now)
	s.sessions.acknowledge(sessionsStamp, resendTimeout(s.sessions.resends, serversInFlight), now)
}

// serversInFlight returns the maximum number of servers in the pushes that the subscriber has not acknowledged.
func (s *subscriber) serversInFlight() int {
	return int(min(s.servers.inFlight(), uint64(s.knownServers)))
}

// resendTimeout returns the time after which unacknowledged changes are sent again. It is longer after earlier resends and
// for a long list of servers. Otherwise subscribers that are slow to apply a list would be sent it over and over, which
// makes them slower.
func resendTimeout(resends, serversInFlight int) time.Duration {
	return max(resendDelay<<min(resends, maxResendDoublings), time.Duration(serversInFlight)*resendDelayPerServer)
}

// fillServers adds the changes of the registry that the subscriber lacks to a push. p.Stamp is the registry's stamp.
func (s *subscriber) fillServers(p *dissemination.Push, servers *registry.Registry, now time.Duration) {
	p.FromStamp = s.servers.sent
	p.FullState, s.sendFullState = s.sendFullState, false
	if s.servers.sent >= p.Stamp {
		return
	}
	p.Instances = servers.UpdatesSince(s.servers.sent, now)
	s.servers.send(p.Stamp, now)
	s.knownServers = servers.Len()
}

// fillVersion adds the configuration to a push if the subscriber lacks it.
func (s *subscriber) fillVersion(p *dissemination.Push, versions *dissemination.Versions, now time.Duration) {
	if s.version.sent >= versions.Version() {
		p.Version = versions.Version()
		return
	}
	versions.FillPush(p, s.version.sent)
	s.version.send(versions.Version(), now)
}

// fillSessions adds the servers whose heartbeats came here to a push to a core member, and the sessions held here if they
// have changed.
func (s *subscriber) fillSessions(p *dissemination.Push, sessions *membership.Sessions, now time.Duration) {
	for id := range s.unsentHeartbeats {
		p.HeartbeatsReceived = append(p.HeartbeatsReceived, id)
	}
	clear(s.unsentHeartbeats)
	routers, stamp := sessions.Own()
	p.SessionsStamp = stamp
	if s.sessions.sent != stamp {
		p.Routers = routers
		s.sessions.send(stamp, now)
	}
}
