package admission

import (
	"container/list"
	"math"
	"time"
)

// Config is the part of the settings that admission needs.
type Config struct {
	MaxConnections int // open at the same time
	// Horizon is how far ahead a connection's next request counts: as long as clients wait for an answer.
	Horizon time.Duration
}

// minReuseProbability is the probability of another request within the horizon below which a response closes the connection
// while MaxConnections are open: as likely as not. With fewer open connections the bound is lower in proportion.
const minReuseProbability = 0.5

// Conn is the controller's record of one connection. The zero value is a connection that was not admitted.
type Conn struct {
	Owner any // the caller's own value; the controller does not read it

	state     state
	element   *list.Element
	requested bool          // ever, also where the request got no response that counts
	responses int           // to requests of this connection
	idleSince time.Time     // its last response, or its admission
	observed  time.Duration // how much of the time since then the rates contain already
}

// state is the list that a connection is in.
type state uint8

const (
	notOpen state = iota // not admitted, evicted or closed
	idle                 // no request in progress
	busy                 // a request in progress
	closing              // the last response was given; its last bytes are being delivered
)

// Stats are the current connections, and totals since the start.
type Stats struct {
	Busy, Closing int
	Idle          [histories]int // by history: no request yet, one, a few, many

	Arrived, Rejected uint64
	Evicted           [histories]uint64 // idle connections that were evicted for new ones, by history
	ClosedEarly       uint64            // closing connections that were closed at once for new ones
}

// Controller decides which connections stay open. It is not safe for concurrent use. The times given to its methods must not
// decrease.
type Controller struct {
	Config
	requestRates rates
	open         int
	idle         [histories]list.List // of *Conn, the longest idle first
	busy         list.List
	closing      list.List
	stats        Stats
}

// New returns a controller without connections.
func New(c Config, now time.Time) *Controller {
	ctl := &Controller{Config: c}
	ctl.requestRates.decayed = now
	return ctl
}

// Admit decides on a new connection. It is rejected where MaxConnections are open and none of them may be evicted. A
// connection that is evicted for it is returned; the caller closes it, and the controller does not count it any more. quiet
// reports whether no unread bytes of a connection have arrived; only a quiet connection is evicted.
func (ctl *Controller) Admit(c *Conn, now time.Time, quiet func(*Conn) bool) (evicted *Conn, admitted bool) {
	ctl.observeOpen(now)
	ctl.stats.Arrived++
	if ctl.open >= ctl.MaxConnections {
		if evicted = ctl.evictionCandidate(now, quiet); evicted == nil {
			ctl.stats.Rejected++
			return nil, false
		}
		ctl.remove(evicted, now)
	}
	ctl.open++
	ctl.link(c, idle, now)
	return evicted, true
}

// FirstRequestGrace is how long a connection without a request is never evicted. Its client's first request may be on the
// way, and not every client retries on a new connection what crossed with a close.
const FirstRequestGrace = 200 * time.Millisecond

// evictionCandidate returns the connection with the least expected value, or nil. One that had more than one response is
// evicted only if less is expected of it within the horizon than of a new connection.
func (ctl *Controller) evictionCandidate(now time.Time, quiet func(*Conn) bool) *Conn {
	if e := ctl.closing.Front(); e != nil {
		ctl.stats.ClosedEarly++
		return e.Value.(*Conn)
	}
	responseValues := ctl.responseValues()
	newcomerValue := ctl.requestRates.probability(never, 0, ctl.Horizon)
	var next [histories]*list.Element
	for h := range ctl.idle {
		next[h] = ctl.idle[h].Front()
	}
	for {
		minValue, candidate := math.Inf(1), histories
		for h := range histories {
			if next[h] == nil {
				continue
			}
			c := next[h].Value.(*Conn)
			idleTime := now.Sub(c.idleSince)
			if !c.requested && idleTime < FirstRequestGrace {
				continue
			}
			value := ctl.requestRates.probability(h, idleTime, ctl.Horizon) * responseValues[h]
			if value < minValue && (h <= once || value < newcomerValue) {
				minValue, candidate = value, h
			}
		}
		if candidate == histories {
			return nil
		}
		c := next[candidate].Value.(*Conn)
		if quiet(c) {
			ctl.stats.Evicted[candidate]++
			return c
		}
		next[candidate] = next[candidate].Next() // a request of this one is arriving
	}
}

// responseValues is the value of a response by the history of its connection: the response itself, and those that are expected
// to follow it on the same connection within the horizon.
func (ctl *Controller) responseValues() (values [histories]float64) {
	values[regular] = 1 + ctl.requestRates.mean(regular)*ctl.Horizon.Seconds()
	for h := regular; h > never; h-- {
		values[h-1] = 1 + ctl.requestRates.probability(h, 0, ctl.Horizon)*values[h]
	}
	return values
}

// RequestStarted tells the controller of the first byte of a request on a connection.
func (ctl *Controller) RequestStarted(c *Conn, now time.Time) {
	if c.state == idle {
		c.requested = true
		ctl.unlink(c)
		ctl.link(c, busy, now)
	}
}

// ResponseStarted tells the controller that a complete request is being answered, whatever the response. It reports whether the
// response should close the connection, because it is unlikely to be used again while connections are scarce. Closing also frees
// a descriptor of the client, whose limit is not known here.
func (ctl *Controller) ResponseStarted(c *Conn, now time.Time) (closeAfter bool) {
	ctl.observeOpen(now)
	if c.state != busy {
		return false
	}
	ctl.observe(c, now)
	ctl.requestRates.ended(historyOf(c.responses), now.Sub(c.idleSince))
	c.responses++
	c.idleSince, c.observed = now, 0
	return ctl.requestRates.probability(historyOf(c.responses), 0, ctl.Horizon) < minReuseProbability*float64(ctl.open)/float64(ctl.MaxConnections)
}

// observeOpen adds, once in decayInterval, how long the open connections have had no response.
func (ctl *Controller) observeOpen(now time.Time) {
	if !ctl.requestRates.decay(now) || ctl.open < ctl.MaxConnections/observeFraction {
		return
	}
	for h := range ctl.idle {
		for e := ctl.idle[h].Front(); e != nil; e = e.Next() {
			ctl.observe(e.Value.(*Conn), now)
		}
	}
	for e := ctl.busy.Front(); e != nil; e = e.Next() {
		ctl.observe(e.Value.(*Conn), now)
	}
}

// observeFraction: idle times are observed while they last only when 1/observeFraction of MaxConnections are open; before that no
// decision needs them.
const observeFraction = 4

// observe adds what is new of the time since the connection's last response.
func (ctl *Controller) observe(c *Conn, now time.Time) {
	idleTime := now.Sub(c.idleSince)
	ctl.requestRates.observe(historyOf(c.responses), c.observed, idleTime)
	c.observed = idleTime
}

// ResponseDone tells the controller that the response has ended and the connection stays open.
func (ctl *Controller) ResponseDone(c *Conn, now time.Time) {
	if c.state == busy {
		ctl.unlink(c)
		ctl.link(c, idle, now)
	}
}

// Closing tells the controller that a connection had its last response and will be closed soon.
func (ctl *Controller) Closing(c *Conn, now time.Time) {
	if c.state == idle || c.state == busy {
		ctl.unlink(c)
		ctl.link(c, closing, now)
	}
}

// Open returns how many connections are open.
func (ctl *Controller) Open() int { return ctl.open }

// IdleSince returns the connections that have been idle for at least a time, so that a sidecar that shuts down need not wait for
// them; one without a request has to be idle for FirstRequestGrace in any case. They count as open until Closed.
func (ctl *Controller) IdleSince(now time.Time, minIdle time.Duration) (conns []*Conn) {
	for h := range ctl.idle {
		for e := ctl.idle[h].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			required := minIdle
			if !c.requested {
				required = max(minIdle, FirstRequestGrace)
			}
			if now.Sub(c.idleSince) < required {
				break
			}
			conns = append(conns, c)
		}
	}
	return conns
}

// Closed tells the controller that a connection was closed, by either side.
func (ctl *Controller) Closed(c *Conn, now time.Time) {
	if c.state != notOpen {
		ctl.remove(c, now)
	}
}

// Stats returns the current connections and the totals.
func (ctl *Controller) Stats() Stats {
	stats := ctl.stats
	stats.Closing = ctl.closing.Len()
	stats.Busy = ctl.open - stats.Closing
	for h := range ctl.idle {
		stats.Idle[h] = ctl.idle[h].Len()
		stats.Busy -= stats.Idle[h]
	}
	return stats
}

// remove ends the record of an open connection.
func (ctl *Controller) remove(c *Conn, now time.Time) {
	if c.state != closing { // a response might have come later: all that is known is that none came until now
		ctl.observe(c, now)
	}
	ctl.unlink(c)
	ctl.open--
}

// unlink removes a connection from its list.
func (ctl *Controller) unlink(c *Conn) {
	switch c.state {
	case idle:
		ctl.idle[historyOf(c.responses)].Remove(c.element)
	case busy:
		ctl.busy.Remove(c.element)
	case closing:
		ctl.closing.Remove(c.element)
	}
	c.state, c.element = notOpen, nil
}

// link adds a connection to the list of a state.
func (ctl *Controller) link(c *Conn, to state, now time.Time) {
	c.state = to
	switch to {
	case idle:
		c.idleSince, c.observed = now, 0
		c.element = ctl.idle[historyOf(c.responses)].PushBack(c)
	case busy:
		c.element = ctl.busy.PushBack(c)
	case closing:
		c.element = ctl.closing.PushBack(c)
	}
}
