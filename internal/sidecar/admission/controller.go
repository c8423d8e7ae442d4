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
	d := &Controller{Config: c}
	d.requestRates.decayed = now
	return d
}

// Admit decides on a new connection. It is rejected where MaxConnections are open and none of them may be evicted. A
// connection that is evicted for it is returned; the caller closes it, and the controller does not count it any more. quiet
// reports whether no unread bytes of a connection have arrived; only a quiet connection is evicted.
func (d *Controller) Admit(c *Conn, now time.Time, quiet func(*Conn) bool) (evicted *Conn, admitted bool) {
	d.observeOpen(now)
	d.stats.Arrived++
	if d.open >= d.MaxConnections {
		if evicted = d.evictionCandidate(now, quiet); evicted == nil {
			d.stats.Rejected++
			return nil, false
		}
		d.remove(evicted, now)
	}
	d.open++
	d.link(c, idle, now)
	return evicted, true
}

// FirstRequestGrace is how long a connection without a request is never evicted. Its client's first request may be on the
// way, and not every client retries on a new connection what crossed with a close.
const FirstRequestGrace = 200 * time.Millisecond

// evictionCandidate returns the connection with the least expected value, or nil. One that had more than one response is
// evicted only if less is expected of it within the horizon than of a new connection.
func (d *Controller) evictionCandidate(now time.Time, quiet func(*Conn) bool) *Conn {
	if e := d.closing.Front(); e != nil {
		d.stats.ClosedEarly++
		return e.Value.(*Conn)
	}
	responseValues := d.responseValues()
	newcomerValue := d.requestRates.probability(never, 0, d.Horizon)
	var next [histories]*list.Element
	for h := range d.idle {
		next[h] = d.idle[h].Front()
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
			value := d.requestRates.probability(h, idleTime, d.Horizon) * responseValues[h]
			if value < minValue && (h <= once || value < newcomerValue) {
				minValue, candidate = value, h
			}
		}
		if candidate == histories {
			return nil
		}
		c := next[candidate].Value.(*Conn)
		if quiet(c) {
			d.stats.Evicted[candidate]++
			return c
		}
		next[candidate] = next[candidate].Next() // a request of this one is arriving
	}
}

// responseValues is the value of a response by the history of its connection: the response itself, and those that are expected
// to follow it on the same connection within the horizon.
func (d *Controller) responseValues() (values [histories]float64) {
	values[regular] = 1 + d.requestRates.mean(regular)*d.Horizon.Seconds()
	for h := regular; h > never; h-- {
		values[h-1] = 1 + d.requestRates.probability(h, 0, d.Horizon)*values[h]
	}
	return values
}

// RequestStarted tells the controller of the first byte of a request on a connection.
func (d *Controller) RequestStarted(c *Conn, now time.Time) {
	if c.state == idle {
		c.requested = true
		d.unlink(c)
		d.link(c, busy, now)
	}
}

// ResponseStarted tells the controller that a complete request is being answered, whatever the response. It reports whether the
// response should close the connection, because it is unlikely to be used again while connections are scarce. Closing also frees
// a descriptor of the client, whose limit is not known here.
func (d *Controller) ResponseStarted(c *Conn, now time.Time) (closeAfter bool) {
	d.observeOpen(now)
	if c.state != busy {
		return false
	}
	d.observe(c, now)
	d.requestRates.ended(historyOf(c.responses), now.Sub(c.idleSince))
	c.responses++
	c.idleSince, c.observed = now, 0
	return d.requestRates.probability(historyOf(c.responses), 0, d.Horizon) < minReuseProbability*float64(d.open)/float64(d.MaxConnections)
}

// observeOpen adds, once in decayInterval, how long the open connections have had no response.
func (d *Controller) observeOpen(now time.Time) {
	if !d.requestRates.decay(now) || d.open < d.MaxConnections/observeFraction {
		return
	}
	for h := range d.idle {
		for e := d.idle[h].Front(); e != nil; e = e.Next() {
			d.observe(e.Value.(*Conn), now)
		}
	}
	for e := d.busy.Front(); e != nil; e = e.Next() {
		d.observe(e.Value.(*Conn), now)
	}
}

// observeFraction: idle times are observed while they last only when 1/observeFraction of MaxConnections are open; before that no
// decision needs them.
const observeFraction = 4

// observe adds what is new of the time since the connection's last response.
func (d *Controller) observe(c *Conn, now time.Time) {
	idleTime := now.Sub(c.idleSince)
	d.requestRates.observe(historyOf(c.responses), c.observed, idleTime)
	c.observed = idleTime
}

// ResponseDone tells the controller that the response has ended and the connection stays open.
func (d *Controller) ResponseDone(c *Conn, now time.Time) {
	if c.state == busy {
		d.unlink(c)
		d.link(c, idle, now)
	}
}

// Closing tells the controller that a connection had its last response and will be closed soon.
func (d *Controller) Closing(c *Conn, now time.Time) {
	if c.state == idle || c.state == busy {
		d.unlink(c)
		d.link(c, closing, now)
	}
}

// Open returns how many connections are open.
func (d *Controller) Open() int { return d.open }

// IdleSince returns the connections that have been idle for at least a time, so that a sidecar that shuts down need not wait for
// them; one without a request has to be idle for FirstRequestGrace in any case. They count as open until Closed.
func (d *Controller) IdleSince(now time.Time, minIdle time.Duration) (conns []*Conn) {
	for h := range d.idle {
		for e := d.idle[h].Front(); e != nil; e = e.Next() {
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
func (d *Controller) Closed(c *Conn, now time.Time) {
	if c.state != notOpen {
		d.remove(c, now)
	}
}

// Stats returns the current connections and the totals.
func (d *Controller) Stats() Stats {
	f := d.stats
	f.Closing = d.closing.Len()
	f.Busy = d.open - f.Closing
	for h := range d.idle {
		f.Idle[h] = d.idle[h].Len()
		f.Busy -= f.Idle[h]
	}
	return f
}

// remove ends the record of an open connection.
func (d *Controller) remove(c *Conn, now time.Time) {
	if c.state != closing { // a response might have come later: all that is known is that none came until now
		d.observe(c, now)
	}
	d.unlink(c)
	d.open--
}

// unlink removes a connection from its list.
func (d *Controller) unlink(c *Conn) {
	switch c.state {
	case idle:
		d.idle[historyOf(c.responses)].Remove(c.element)
	case busy:
		d.busy.Remove(c.element)
	case closing:
		d.closing.Remove(c.element)
	}
	c.state, c.element = notOpen, nil
}

// link adds a connection to the list of a state.
func (d *Controller) link(c *Conn, to state, now time.Time) {
	c.state = to
	switch to {
	case idle:
		c.idleSince, c.observed = now, 0
		c.element = d.idle[historyOf(c.responses)].PushBack(c)
	case busy:
		c.element = d.busy.PushBack(c)
	case closing:
		c.element = d.closing.PushBack(c)
	}
}
