package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
)

const (
	// sessionTimeout is how long a router without a heartbeat belongs to the fleet and is pushed to.
	sessionTimeout = 3 * time.Second
	// minPushInterval is the time between two pushes to all subscribers, so that changes in quick succession go together.
	minPushInterval = 15 * time.Millisecond
	// pushIntervalPerSubscriber is the same for each subscriber, where that is longer.
	pushIntervalPerSubscriber = 500 * time.Microsecond
)

// distributor is what makes a core member the home of others: it keeps the routers that subscribe here, and when they
// are pushed to. On a router that is no core member it has no subscribers.
type distributor struct {
	subscribers map[string]*subscriber // by internal address
	sessions    *membership.Sessions
	lastPush    time.Duration
	pushTimer   *time.Timer // for changes just after a push; Run waits for it
	pushPending bool        // the timer runs
}

func newDistributor() distributor {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return distributor{subscribers: map[string]*subscriber{}, sessions: membership.New(sessionTimeout), pushTimer: timer}
}

// pushDelay returns how long a push to all subscribers has to wait; it is not positive where one may be sent now.
func (d *distributor) pushDelay(now time.Duration) time.Duration {
	interval := max(minPushInterval, time.Duration(len(d.subscribers))*pushIntervalPerSubscriber)
	return interval - (now - d.lastPush)
}

// receiveSubscriptionHeartbeat renews the session of a router that subscribes, and pushes what it lacks. A router that
// does not subscribe, or not to a core member, is told who the core is.
func (n *Node) receiveSubscriptionHeartbeat(from string, m *dissemination.SubscriptionHeartbeat, now time.Duration) {
	if m.Router.Member != nil {
		n.addEligible(*m.Router.Member)
	}
	if n.control.view.Epoch.Less(m.View) && !m.Subscribe {
		// The sender knows a newer view, which it answers with.
		n.transport.Send(from, dissemination.SubscriptionHeartbeat{Router: n.self, View: n.control.view.Epoch})
		return
	}
	if !m.Subscribe || !n.isCoreMember() {
		n.introduceCore(from, m)
		return
	}
	n.distributor.sessions.ReceiveHeartbeat(m.Router, now)
	s := n.distributor.subscribers[from]
	if s == nil {
		s = newSubscriber(from)
		n.distributor.subscribers[from] = s
	}
	if s.receiveHeartbeat(m, n.self.Incarnation, now) {
		n.transport.Reconnect(from)
	}
	n.push(s, now)
}

// introduceCore tells a router that does not subscribe here who the core is, or who can become it.
func (n *Node) introduceCore(to string, m *dissemination.SubscriptionHeartbeat) {
	p := dissemination.Push{Incarnation: n.self.Incarnation}
	if m.View.Less(n.control.view.Epoch) {
		view := n.control.view
		p.View = &view
	}
	if n.control.view.Epoch.Round == 0 {
		for _, member := range n.control.eligible {
			p.Eligible = append(p.Eligible, member)
		}
	}
	if p.View != nil || len(p.Eligible) > 0 {
		n.transport.Send(to, p)
	}
}

// push sends a subscriber what it lacks. It is sent also where that is nothing: it is the heartbeat of the session in
// the other direction.
func (n *Node) push(s *subscriber, now time.Duration) {
	p := dissemination.Push{
		Incarnation: n.self.Incarnation,
		InTouch:     n.control.replica.InTouch(),
		Complete:    n.subscription.serversComplete,
		FleetSize:   n.fleetSize,
		Stamp:       n.registry.Stamp(),
		Digest:      n.registry.Digest(),
	}
	if s.view.Less(n.control.view.Epoch) {
		view := n.control.view
		p.View = &view
		s.view = n.control.view.Epoch
	}
	s.fillServers(&p, n.registry, now)
	s.fillVersion(&p, n.subscription.versions, now)
	if s.coreMember {
		s.fillSessions(&p, n.distributor.sessions)
	}
	n.transport.Send(s.address, p)
}

// pushAll pushes a change to all subscribers: at once, or as soon as the time since the last push allows.
func (n *Node) pushAll() {
	d := &n.distributor
	now := n.now()
	if wait := d.pushDelay(now); wait > 0 {
		if !d.pushPending {
			d.pushPending = true
			d.pushTimer.Reset(wait)
		}
		return
	}
	d.lastPush, d.pushPending = now, false
	for address, s := range d.subscribers {
		if now-s.lastContact > sessionTimeout {
			delete(d.subscribers, address)
			continue
		}
		n.push(s, now)
	}
}

// pushDeferred pushes the changes that came just after the last push. It acquires the lock.
func (n *Node) pushDeferred() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.distributor.lastPush = -time.Hour // the time has passed, whatever has changed its length since
	n.pushAll()
}
