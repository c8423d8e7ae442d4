package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/replication"
)

// subscriber is what a control sidecar knows of one that subscribes to it.
type subscriber struct {
	address  string
	life     uint64 // of its process
	core     bool
	view     replication.Epoch
	version  uint64
	stamp    uint64
	sessions uint64
	sent     time.Duration // when something was last sent that it lacked
	listed   int           // servers in that
	resent   int           // how often in a row it was sent anew, for it did not have it
	heard    time.Duration
	whole    bool                             // it asked for the whole list of servers
	fresh    map[string]bool                  // servers heard here that it was not told of
	uses     map[string]*placement.PrefixUses // not yet told, by service
}

// upstreamStamp is how far one has followed another's registry.
type upstreamStamp struct {
	life  uint64
	stamp uint64
}

// onSession takes in a sidecar's heartbeat and answers with what it lacks.
func (n *Node) onSession(from string, m *dissemination.SubscriptionHeartbeat, now time.Duration) {
	if m.Router.Member != nil {
		n.eligible[m.Router.Member.ID] = *m.Router.Member
		n.replica.AddEligible(*m.Router.Member)
	}
	if n.view.Epoch.Less(m.View) && !m.Subscribe {
		n.transport.Send(from, dissemination.SubscriptionHeartbeat{Router: n.self, View: n.view.Epoch})
		return
	}
	if !m.Subscribe || !n.core() {
		n.introduce(from, m)
		return
	}
	n.sessions.ReceiveHeartbeat(m.Router, now)
	s := n.subscribers[from]
	if s == nil {
		s = &subscriber{address: from, fresh: map[string]bool{}, uses: map[string]*placement.PrefixUses{}}
		n.subscribers[from] = s
	}
	s.core, s.heard, s.view = m.CoreMember, now, m.View
	restarted := s.life != m.Router.Incarnation
	s.life = m.Router.Incarnation
	if restarted {
		n.transport.Reconnect(from)
	}
	s.follow(m, n.life, restarted, now)
	s.whole = m.FullState && !m.CoreMember
	if s.whole {
		s.stamp = 0
	}
	n.push(s, now)
}

// follow takes in what a subscriber says that it has. While what was sent may be on its way it counts as there.
func (s *subscriber) follow(m *dissemination.SubscriptionHeartbeat, life uint64, restarted bool, now time.Duration) {
	same := m.HomeIncarnation == life
	if same && m.RegistryStamp >= s.stamp && m.Version >= s.version || restarted {
		s.resent = 0
	} else if now-s.sent <= s.resendWait() {
		return
	} else {
		s.resent++
	}
	if same {
		s.stamp, s.version, s.sessions = m.RegistryStamp, m.Version, m.SessionsStamp
	} else {
		s.stamp, s.version, s.sessions = 0, m.Version, 0
	}
}

// resendWait is how long after something was sent it is sent anew: longer for a subscriber that did not get to it again and again, and
// for a long list, since all subscribers that are slow to take it in would be sent it over and over.
func (s *subscriber) resendWait() time.Duration {
	return max(resendAfter<<min(s.resent, resendDoubled), time.Duration(s.listed)*resendEach)
}

// introduce tells one that does not subscribe here who the core is, or who may become it.
func (n *Node) introduce(to string, m *dissemination.SubscriptionHeartbeat) {
	p := dissemination.Push{Incarnation: n.life}
	if m.View.Less(n.view.Epoch) {
		view := n.view
		p.View = &view
	}
	if n.view.Epoch.Round == 0 {
		for _, one := range n.eligible {
			p.Eligible = append(p.Eligible, one)
		}
	}
	if p.View != nil || len(p.Eligible) > 0 {
		n.transport.Send(to, p)
	}
}

// push tells a subscriber what it lacks; it is also the heartbeat of the session.
func (n *Node) push(s *subscriber, now time.Duration) {
	p := dissemination.Push{Incarnation: n.life, InTouch: n.replica.InTouch(), Complete: n.complete, FleetSize: n.fleet}
	if s.view.Less(n.view.Epoch) {
		view := n.view
		p.View = &view
		s.view = n.view.Epoch
	}
	p.FromStamp, p.Stamp, p.Digest = s.stamp, n.registry.Stamp(), n.registry.Digest()
	p.FullState, s.whole = s.whole, false
	if s.stamp < p.Stamp {
		p.Instances = n.registry.UpdatesSince(s.stamp, now)
		s.stamp, s.listed = p.Stamp, len(p.Instances)
		s.sent = now
	}
	if s.version < n.versions.Version() {
		n.versions.FillPush(&p, s.version)
		s.version = n.versions.Version()
		s.sent = now
	} else {
		p.Version = n.versions.Version()
	}
	if s.core {
		for id := range s.fresh {
			p.HeartbeatsReceived = append(p.HeartbeatsReceived, id)
		}
		clear(s.fresh)
		nodes, stamp := n.sessions.Own()
		p.SessionsStamp = stamp
		if s.sessions != stamp {
			p.Routers = nodes
			s.sessions = stamp
		}
	}
	n.transport.Send(s.address, p)
}

// pushAll tells all subscribers that something changed: at once, or soon where they were told just now.
func (n *Node) pushAll() {
	now := n.now()
	if wait := max(pushGap, time.Duration(len(n.subscribers))*pushGapEach) - (now - n.lastPush); wait > 0 {
		if !n.pushLater {
			n.pushLater = true
			n.pushTimer.Reset(wait)
		}
		return
	}
	n.lastPush, n.pushLater = now, false
	for address, s := range n.subscribers {
		if now-s.heard > sessionTimeout {
			delete(n.subscribers, address)
			continue
		}
		n.push(s, now)
	}
}

// pushWaiting tells what came just after the last push.
func (n *Node) pushWaiting() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastPush = -time.Hour
	n.pushAll()
}

// onPush takes in what a home, or another control sidecar, tells.
func (n *Node) onPush(from string, p *dissemination.Push, now time.Duration) {
	for _, m := range p.Eligible {
		n.eligible[m.ID] = m
		n.replica.AddEligible(m)
	}
	if p.View != nil {
		n.noteView(*p.View)
	}
	if from == n.home.address {
		n.home.heard, n.home.touch = now, p.InTouch
		if p.Complete && !n.core() {
			n.setFleet(p.FleetSize)
		}
	}
	if p.Complete && p.FromStamp <= n.followed(from, p.Incarnation) {
		n.complete = true // it has a whole list, and this is the rest of it
	}
	if p.Stamp == 0 && p.Version == 0 && p.SessionsStamp == 0 {
		return // an introduction
	}
	before := n.registry.Stamp()
	n.takeServers(from, p, now)
	if n.core() {
		n.sessions.UpdatePeer(from, p.Incarnation, p.SessionsStamp, p.Routers, now)
	}
	changed, err := n.versions.ApplyPush(p)
	if err != nil {
		n.logger.Debug().Err(err).Str("from", from).Msg("push")
	}
	if p.InTouch && n.versions.Version() >= p.Version {
		n.current = true
	}
	if changed || n.registry.Stamp() != before {
		n.pushAll()
	}
}

// followed is up to which stamp all changes of a control sidecar's list have come, in its present life.
func (n *Node) followed(from string, life uint64) uint64 {
	if has := n.upstream[from]; has.life == life {
		return has.stamp
	}
	return 0
}

func (n *Node) follow(from string, p *dissemination.Push) {
	stamp := n.followed(from, p.Incarnation)
	if p.FromStamp <= stamp {
		stamp = max(stamp, p.Stamp)
	}
	n.upstream[from] = upstreamStamp{life: p.Incarnation, stamp: stamp}
}
