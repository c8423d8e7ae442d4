package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/membership"
)

const (
	// sessionTimeout is how long after its last heartbeat a router still counts as part of the fleet and receives pushes.
	sessionTimeout = 3 * time.Second
	// minPushInterval is the least time between two pushes to all subscribers. It combines changes in quick succession.
	minPushInterval = 15 * time.Millisecond
	// pushIntervalPerSubscriber, times the number of subscribers, is the interval if that is longer.
	pushIntervalPerSubscriber = 500 * time.Microsecond
)

// distributor is the state by which a core member serves as the home of other routers: its subscribers, their sessions,
// and the time of the next push. On a router that is not a core member it has no subscribers.
type distributor struct {
	subscribers map[string]*subscriber // by internal address
	sessions    *membership.Sessions
	lastPush    time.Duration
	pushTimer   *time.Timer // fires when deferred changes may be pushed; Run receives from it
	pushPending bool        // changes wait for the timer
}

func newDistributor() distributor {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return distributor{subscribers: map[string]*subscriber{}, sessions: membership.New(sessionTimeout), pushTimer: timer}
}

// pushDelay returns how long a push to all subscribers has to wait. It is zero or negative if one may be sent now.
func (d *distributor) pushDelay(now time.Duration) time.Duration {
	interval := max(minPushInterval, time.Duration(len(d.subscribers))*pushIntervalPerSubscriber)
	return interval - (now - d.lastPush)
}

// receiveSubscriptionHeartbeat renews the session of a subscriber and pushes what the subscriber lacks. If the sender
// does not subscribe, or this router is not a core member, the answer only names the core.
func (n *Node) receiveSubscriptionHeartbeat(from string, m *dissemination.SubscriptionHeartbeat, now time.Duration) {
	if m.Router.Member != nil {
		n.addEligible(*m.Router.Member)
	}
	if n.control.view.Epoch.Less(m.View) && !m.Subscribe {
		// The sender knows a newer view. It answers this message with that view.
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

// introduceCore sends a router that does not subscribe here the current view if it is newer than the view in m. While no
// view is known here it sends the routers that can become core members.
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

// push sends a subscriber what it lacks. An empty push is sent as well: pushes are the heartbeats of the session from the
// home to the subscriber.
func (n *Node) push(s *subscriber, now time.Duration) {
	p := dissemination.Push{
		Incarnation: n.self.Incarnation,
		InTouch:     n.control.replica.HasContact(),
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
		s.fillSessions(&p, n.distributor.sessions, now)
	}
	n.transport.Send(s.address, p)
}

// pushAll pushes changes to all subscribers, at once or as soon as the least interval since the last push has passed. It
// removes the subscribers whose session has expired.
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

// pushDeferred pushes the changes that pushAll deferred. Run calls it when the timer fires. It acquires the lock.
func (n *Node) pushDeferred() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.distributor.lastPush = -time.Hour // the interval is over, even if more subscribers have made it longer meanwhile
	n.pushAll()
}
