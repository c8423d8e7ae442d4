package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/homeselection"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/proximity"
)

// subscription is the state that a router receives from core members: a core member follows all other members, any other
// router its home.
type subscription struct {
	home             *homeselection.Selector
	positions        map[string]registryPosition // by the internal address of a core member
	versions         *dissemination.Versions     // the committed configuration
	serversComplete  bool                        // the registry has every live server
	configCurrent    bool                        // a core member in contact with a majority had no newer configuration
	comparison       listComparison
	requestFullState bool // the next heartbeat to the home requests the complete list of servers
}

// registryPosition is the stamp up to which a router has all changes of a core member's registry.
type registryPosition struct {
	incarnation uint64 // of the core member; a stamp is valid within one incarnation only
	stamp       uint64
}

func newSubscription(self string, locality proximity.Locality) subscription {
	return subscription{home: homeselection.New(self, locality), positions: map[string]registryPosition{},
		versions: dissemination.NewVersions(operatorapi.ApplyOrder)}
}

// stamp returns the stamp up to which all changes of a core member's registry in the given incarnation were received.
func (s *subscription) stamp(from string, incarnation uint64) uint64 {
	if position := s.positions[from]; position.incarnation == incarnation {
		return position.stamp
	}
	return 0
}

// advance records that the changes of a push were applied. A push that begins after the position does not move it,
// because an earlier push was lost.
func (s *subscription) advance(from string, p *dissemination.Push) {
	stamp := s.stamp(from, p.Incarnation)
	if p.FromStamp <= stamp {
		stamp = max(stamp, p.Stamp)
	}
	s.positions[from] = registryPosition{incarnation: p.Incarnation, stamp: stamp}
}

// receivePush applies a push of a core member.
func (n *Node) receivePush(from string, p *dissemination.Push, now time.Duration) {
	s := &n.subscription
	for _, m := range p.Eligible {
		n.addEligible(m)
	}
	if p.View != nil {
		n.applyView(*p.View)
	}
	if from == s.home.Current() {
		s.home.Observe(p.InTouch, now)
		if p.Complete && !n.isCoreMember() {
			n.setFleetSize(p.FleetSize)
		}
	}
	if p.Complete && p.FromStamp <= s.stamp(from, p.Incarnation) {
		s.serversComplete = true // the sender has the complete list, and this push is the rest of it
	}
	if p.Stamp == 0 && p.Version == 0 && p.SessionsStamp == 0 {
		return // the push only introduces the core
	}
	n.applyPush(from, p, now)
}

// applyPush applies the servers, sessions and configuration of a push, and pushes the resulting changes to this router's
// own subscribers.
func (n *Node) applyPush(from string, p *dissemination.Push, now time.Duration) {
	s := &n.subscription
	stampBefore := n.registry.Stamp()
	n.applyServers(from, p, now)
	if n.isCoreMember() {
		n.distributor.sessions.UpdatePeer(from, p.Incarnation, p.SessionsStamp, p.Routers, now)
	}
	changed, err := s.versions.ApplyPush(p)
	if err != nil {
		n.logger.Debug().Err(err).Str("from", from).Msg("pushed configuration not applied")
	}
	if p.InTouch && s.versions.Version() >= p.Version {
		s.configCurrent = true
	}
	if changed || n.registry.Stamp() != stampBefore {
		n.pushAll()
	}
}

// applyServers applies the servers of a push, and compares the list of servers with the home's.
func (n *Node) applyServers(from string, p *dissemination.Push, now time.Duration) {
	s := &n.subscription
	isCoreMember := n.isCoreMember()
	switch {
	case isCoreMember:
		for _, u := range p.Instances {
			n.registry.Merge(u, now)
		}
	case p.FullState && p.Complete && p.InTouch:
		n.registry.Replace(p.Instances, now)
	default:
		for _, u := range p.Instances {
			n.registry.Adopt(u, now)
		}
	}
	n.registry.RefreshContact(p.HeartbeatsReceived, now)
	s.advance(from, p)
	canCompare := !isCoreMember && from == s.home.Current() && p.Complete && p.InTouch && s.stamp(from, p.Incarnation) == p.Stamp
	if canCompare && s.comparison.observe(p.Digest == n.registry.Digest(), now) {
		n.logger.Info().Str("home", from).Msg("list of servers differs from the home's")
		s.requestFullState = true
	}
}
