package distribute

import "time"

// simSubscriber is an agent around its Subscriber and Outbox.
type simSubscriber struct {
	*Subscriber
	world        *world
	service      string
	name         string
	callKind     string // of the next call: "return", "hold" or "version"
	lastCall     *call
	outbox       Outbox
	versionsSent int // also those that did not arrive
	asleep       bool
	wakes        int
}

type call struct {
	sub              *simSubscriber
	call             Call
	sequence         uint64
	cancel           func()
	answeredByServer bool // the coordinator has answered
	disconnected     bool // the coordinator knows that the agent does not wait any more
	over             bool // the agent has a response, or the call has failed
}

// wake begins the next call at its time.
func (s *simSubscriber) wake() {
	at, ok := s.NextCallAt()
	if !ok {
		return
	}
	s.wakes++
	wakes := s.wakes
	s.world.after(max(0, at-s.world.now), func() {
		if s.asleep || wakes != s.wakes {
			return
		}
		s.world.calls[callWindow{int(s.world.now / simWindow), s.callKind}]++
		c := &call{sub: s, call: s.Begin(s.world.now)}
		c.sequence, c.call.Watch.Reports = s.outbox.Sequence(), s.outbox.Unacknowledged(c.call.Server)
		s.lastCall = c
		s.world.after(s.world.delay(), func() { s.world.coordinators[c.call.Server].receive(c) })
		s.world.after(c.call.Deadline-s.world.now, c.failed)
	})
}

// failed takes in an error, or that no response came.
func (c *call) failed() {
	if c.over {
		return
	}
	c.end()
	c.sub.callKind = "return"
	c.sub.Failed(c.sub.world.now)
	c.sub.wake()
}

// end closes the connection: the coordinator learns of it later.
func (c *call) end() {
	c.over = true
	n := c.sub.world.coordinators[c.call.Server]
	n.later(c.sub.world.delay(), func() {
		if c.disconnected = true; c.cancel != nil {
			c.cancel()
		}
	})
}

func (c *call) answered(response WatchResponse) {
	s := c.sub
	if s.asleep {
		return
	}
	if c.over { // late
		before := s.Revision()
		v, err := s.Accept(response)
		s.accepted(before, v, err)
		return
	}
	c.end()
	before := s.Revision()
	s.outbox.Acknowledge(c.call.Server, c.sequence, response.ReportsReceived)
	v, err := s.Answered(s.world.now, response)
	s.accepted(before, v, err)
	switch {
	case err != nil:
		s.callKind = "return"
	case v != nil:
		s.callKind = "version"
	default:
		s.callKind = "hold"
	}
	s.wake()
}

// accepted checks what an agent accepts, and puts it in force a little later.
func (s *simSubscriber) accepted(before Revision, v *Version, err error) {
	w := s.world
	w.refused[err]++
	if s.Revision() < before || v == nil && s.Revision() != before {
		w.t.Errorf("%v: %s had %d and has %d", w.now, s.name, before, s.Revision())
	}
	if v == nil {
		return
	}
	w.accepted++
	published := false
	for _, c := range w.history[s.service] {
		published = published || c.Revision == v.Revision && c.Service == v.Service && string(c.Content) == string(v.Content)
	}
	if !published || v.Revision <= before || v.Revision != s.Revision() {
		w.t.Errorf("%v: %s had %d of %s and took %+v", w.now, s.name, before, s.service, v)
	}
	w.after(w.between(10*time.Millisecond, 500*time.Millisecond), func() {
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name, InForce: s.Revision()})
	})
}
