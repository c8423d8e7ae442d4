package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
)

const (
	// heartbeatInterval is the time between two heartbeats to a home or a core member.
	heartbeatInterval = 400 * time.Millisecond
	// startupInterval is the heartbeat interval of a router that has just started. It is shorter because other routers may
	// have started at the same moment and missed the last heartbeat.
	startupInterval = 100 * time.Millisecond
	// seedInterval is the time between two messages in which a core member announces its view to the seeds.
	seedInterval = time.Second
)

// starting reports whether this router has just started and is not ready yet.
func (n *Node) starting(now time.Duration) bool { return now < startupPeriod && !n.ready.Load() }

// tickSessions keeps this router's sessions with core members alive. While no view is known it contacts the seeds.
func (n *Node) tickSessions(now time.Duration) {
	interval := heartbeatInterval
	if n.starting(now) {
		interval = startupInterval
	}
	if !n.timers.sessions.elapsed(interval, now) {
		return
	}
	if n.control.view.Epoch.Round == 0 {
		n.contactSeeds()
		return
	}
	if n.self.Member != nil {
		n.subscribeToCore()
	}
	switch {
	case n.isCoreMember():
		n.tickOwnSession(now)
	case n.self.Member == nil || !n.control.isMember(n.self.Address):
		n.tickHomeSession(now)
	}
}

// subscribeToCore sends subscription heartbeats to all other core members. Routers that can be core members do so.
func (n *Node) subscribeToCore() {
	for _, m := range n.control.view.Members {
		if m.Address != n.self.Address {
			n.sendSubscriptionHeartbeat(m.Address)
		}
	}
}

// tickOwnSession renews the session that this core member has with itself, and announces its view to the seeds. In its
// startup period it does so at each heartbeat, because the seeds may have restarted too and other routers ask them.
func (n *Node) tickOwnSession(now time.Duration) {
	n.distributor.sessions.ReceiveHeartbeat(n.self, now)
	interval := seedInterval
	if now < startupPeriod {
		interval = 0
	}
	if n.timers.seeds.elapsed(interval, now) {
		n.contactSeeds()
	}
}

// tickHomeSession renews the session with the home. It also contacts the seeds, which may know a newer view, if the home
// has timed out, or has no contact with the core while this router is starting.
func (n *Node) tickHomeSession(now time.Duration) {
	n.reviewHome(now)
	home := n.subscription.home
	if home.Current() != "" {
		n.sendSubscriptionHeartbeat(home.Current())
	}
	homeIsolated := n.starting(now) && !home.LastQuorumContact() && n.timers.seeds.elapsed(seedInterval, now)
	if homeIsolated || home.TimedOut(now) {
		n.contactSeeds()
	}
}

// reviewHome selects another home if there is none or the current one has failed.
func (n *Node) reviewHome(now time.Duration) {
	n.subscription.home.Review(n.control.view.Members, n.starting(now), now)
}

// contactSeeds sends the seeds the epoch of this router's view. A seed with a newer view answers with it; a seed with an
// older one asks for this router's view.
func (n *Node) contactSeeds() {
	m := dissemination.SubscriptionHeartbeat{Router: n.self, View: n.control.view.Epoch}
	for _, seed := range n.seeds {
		if seed != n.self.Address {
			n.transport.Send(seed, m)
		}
	}
}

// sendSubscriptionHeartbeat sends a core member a heartbeat, with the versions and stamps up to which this router has its
// pushes.
func (n *Node) sendSubscriptionHeartbeat(to string) {
	s := &n.subscription
	position := s.positions[to]
	m := dissemination.SubscriptionHeartbeat{Router: n.self, Subscribe: true, View: n.control.view.Epoch, Version: s.versions.Version(),
		HomeIncarnation: position.incarnation, RegistryStamp: position.stamp, CoreMember: n.self.Member != nil}
	if m.CoreMember {
		m.SessionsStamp = n.distributor.sessions.PeerStamp(to, position.incarnation)
	}
	if to == s.home.Current() {
		m.FullState, s.requestFullState = s.requestFullState, false
	}
	n.transport.Send(to, m)
}
