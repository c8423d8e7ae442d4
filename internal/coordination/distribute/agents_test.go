package distribute

import "time"

// sub is an agent's shell.
type sub struct {
	*Subscriber
	w       *world
	service string
	name    string
	why     string // for which it asks next
	calls   *call
	outbox  Outbox
	told    int // versions, also those that did not come
	asleep  bool
	wakes   int
}

type call struct {
	sub    *sub
	call   Call
	mark   uint64
	cancel func()
	told   bool // the coordinator has answered
	gone   bool // the coordinator knows that nobody waits
	over   bool // the agent has an answer, or gave up
}

// wake begins the next call when it is due.
func (s *sub) wake() {
	at, ok := s.NextCallAt()
	if !ok {
		return
	}
	s.wakes++
	wakes := s.wakes
	s.w.after(max(0, at-s.w.now), func() {
		if s.asleep || wakes != s.wakes {
			return
		}
		s.w.asks[asked{int(s.w.now / simCount), s.why}]++
		c := &call{sub: s, call: s.Begin(s.w.now)}
		c.mark, c.call.Watch.Reports = s.outbox.Sequence(), s.outbox.Unacknowledged(c.call.Server)
		s.calls = c
		s.w.after(s.w.delay(), func() { s.w.nodes[c.call.Server].ask(c) })
		s.w.after(c.call.Deadline-s.w.now, c.failed)
	})
}

// failed is an error, or that no answer came.
func (c *call) failed() {
	if c.over {
		return
	}
	c.end()
	c.sub.why = "return"
	c.sub.Failed(c.sub.w.now)
	c.sub.wake()
}

// end closes the connection: the coordinator hears of it later.
func (c *call) end() {
	c.over = true
	n := c.sub.w.nodes[c.call.Server]
	n.later(c.sub.w.delay(), func() {
		if c.gone = true; c.cancel != nil {
			c.cancel()
		}
	})
}

func (c *call) answered(told WatchResponse) {
	s := c.sub
	if s.asleep {
		return
	}
	if c.over { // late
		before := s.Revision()
		v, err := s.Accept(told)
		s.took(before, v, err)
		return
	}
	c.end()
	before := s.Revision()
	s.outbox.Acknowledge(c.call.Server, c.mark, told.ReportsReceived)
	v, err := s.Answered(s.w.now, told)
	s.took(before, v, err)
	switch {
	case err != nil:
		s.why = "return"
	case v != nil:
		s.why = "version"
	default:
		s.why = "hold"
	}
	s.wake()
}

// took judges what an agent takes, and puts it in force a little later.
func (s *sub) took(before Revision, v *Version, err error) {
	w := s.w
	w.refused[err]++
	if s.Revision() < before || v == nil && s.Revision() != before {
		w.t.Errorf("%v: %s had %d and has %d", w.now, s.name, before, s.Revision())
	}
	if v == nil {
		return
	}
	w.taken++
	whole := false
	for _, c := range w.history[s.service] {
		whole = whole || c.Revision == v.Revision && c.Service == v.Service && string(c.Content) == string(v.Content)
	}
	if !whole || v.Revision <= before || v.Revision != s.Revision() {
		w.t.Errorf("%v: %s had %d of %s and took %+v", w.now, s.name, before, s.service, v)
	}
	w.after(w.between(10*time.Millisecond, 500*time.Millisecond), func() {
		s.outbox.Set(Report{Sidecar: "sidecar-" + s.name, InForce: s.Revision()})
	})
}
