package distribute

import "time"

// simSubscriber simulates an agent with its Subscriber and Outbox.
type simSubscriber struct {
	*Subscriber
	sim          *simulation
	service      string
	name         string
	callKind     string // the callWindow.kind of the next call
	lastCall     *simCall
	outbox       Outbox
	versionsSent int  // including those that did not arrive
	absent       bool // the machine neither calls nor receives responses
	scheduled    int  // counts calls of scheduleNextCall; only the last one has an effect
}

// simCall is a watch call of an agent, seen from both sides.
type simCall struct {
	sub              *simSubscriber
	request          Call
	sequence         uint64
	cancel           func()
	answeredByServer bool // the coordinator has answered
	disconnected     bool // the coordinator has noticed that the connection is closed
	ended            bool // the agent has a response, or the call has failed
}

// scheduleNextCall begins the next call when it is due.
func (s *simSubscriber) scheduleNextCall() {
	at, ok := s.NextCallAt()
	if !ok {
		return
	}
	s.scheduled++
	scheduled := s.scheduled
	s.sim.after(max(0, at-s.sim.now), func() {
		if s.absent || scheduled != s.scheduled {
			return
		}
		s.sim.calls[callWindow{int(s.sim.now / simWindow), s.callKind}]++
		c := &simCall{sub: s, request: s.Begin(s.sim.now)}
		c.sequence, c.request.Watch.Reports = s.outbox.Sequence(), s.outbox.Unacknowledged(c.request.Server)
		s.lastCall = c
		s.sim.after(s.sim.delay(), func() { s.sim.coordinators[c.request.Server].receive(c) })
		s.sim.after(c.request.Deadline-s.sim.now, c.failed)
	})
}

// failed handles an error, or a missing response, at the agent.
func (c *simCall) failed() {
	if c.ended {
		return
	}
	c.end()
	c.sub.callKind = "reconnect"
	c.sub.Failed(c.sub.sim.now)
	c.sub.scheduleNextCall()
}

// end closes the connection, which the coordinator notices later.
func (c *simCall) end() {
	c.ended = true
	coord := c.sub.sim.coordinators[c.request.Server]
	coord.later(c.sub.sim.delay(), func() {
		if c.disconnected = true; c.cancel != nil {
			c.cancel()
		}
	})
}

// answered handles a response at the agent.
func (c *simCall) answered(response WatchResponse) {
	s := c.sub
	if s.absent {
		return
	}
	if c.ended { // a late response
		before := s.Revision()
		v, err := s.Accept(response)
		s.accepted(before, v, err)
		return
	}
	c.end()
	before := s.Revision()
	s.outbox.Acknowledge(c.request.Server, c.sequence, response.ReportsReceived)
	v, err := s.Answered(s.sim.now, response)
	s.accepted(before, v, err)
	switch {
	case err != nil:
		s.callKind = "reconnect"
	case v != nil:
		s.callKind = "version"
	default:
		s.callKind = "unchanged"
	}
	s.scheduleNextCall()
}

// accepted checks the result of a response at the agent, and puts an accepted version in force a little later.
func (s *simSubscriber) accepted(before Revision, v *Version, err error) {
	sim := s.sim
	sim.acceptErrors[err]++
	if s.Revision() < before || v == nil && s.Revision() != before {
		sim.t.Errorf("%v: %s held %d and now holds %d, without an accepted version", sim.now, s.name, before, s.Revision())
	}
	if v == nil {
		return
	}
	sim.accepted++
	published := false
	for _, c := range sim.history[s.service] {
		published = published || c.Revision == v.Revision && c.Service == v.Service && string(c.Content) == string(v.Content)
	}
	if !published || v.Revision <= before || v.Revision != s.Revision() {
		sim.t.Errorf("%v: %s held %d of %s and accepted %+v", sim.now, s.name, before, s.service, v)
	}
	sim.after(sim.between(10*time.Millisecond, 500*time.Millisecond), func() {
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name, InForce: s.Revision()})
	})
}
