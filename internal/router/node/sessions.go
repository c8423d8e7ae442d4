package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
)

const (
	// heartbeatInterval is the time between two heartbeats of a subscription.
	heartbeatInterval = 400 * time.Millisecond
	// startupInterval is the same of a router that has just started: others may start at the same moment, and not have
	// received the last one.
	startupInterval = 100 * time.Millisecond
	// seedInterval is the time between two messages in which a core member tells the seeds who the core is.
	seedInterval = time.Second
)

// starting reports whether this router has just started and serves nobody yet.
func (n *Node) starting(now time.Duration) bool { return now < startupPeriod && !n.ready.Load() }

// tickSessions keeps this router's sessions with core members alive, and looks for the core where it is not known.
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

// subscribeToCore sends the heartbeat of a subscription to all core members, since this router can be one of them.
func (n *Node) subscribeToCore() {
	for _, m := range n.control.view.Members {
		if m.Address != n.self.Address {
			n.sendSubscriptionHeartbeat(m.Address)
		}
	}
}

// tickOwnSession renews the session that this core member has with itself, and tells the seeds who the core is. In its
// startup period it does so with each heartbeat: the seeds may have started anew too, and routers ask them.
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

// tickHomeSession renews the session with the home. Where that has no contact with the core, or is silent, the seeds
// may know another core.
func (n *Node) tickHomeSession(now time.Duration) {
	n.reviewHome(now)
	home := n.subscription.home
	if home.Current() != "" {
		n.sendSubscriptionHeartbeat(home.Current())
	}
	outOfTouch := n.starting(now) && !home.LastInTouch() && n.timers.seeds.elapsed(seedInterval, now)
	if outOfTouch || home.TimedOut(now) {
		n.contactSeeds()
	}
}

// reviewHome selects another home where the current one does not work.
func (n *Node) reviewHome(now time.Duration) {
	n.subscription.home.Review(n.control.view.Members, n.starting(now), now)
}

// contactSeeds asks the seeds who the core is. A seed with an older view asks back and so learns it.
func (n *Node) contactSeeds() {
	m := dissemination.SubscriptionHeartbeat{Router: n.self, View: n.control.view.Epoch}
	for _, seed := range n.seeds {
		if seed != n.self.Address {
			n.transport.Send(seed, m)
		}
	}
}

// sendSubscriptionHeartbeat sends a core member the heartbeat of the subscription to it, with what this router has.
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
