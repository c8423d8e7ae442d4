package admission

import (
	"container/list"
	"math"
	"time"
)

// Config is the part of the settings that admission needs.
type Config struct {
	MaxConnections int // open at the same time
	// Horizon is the time within which an expected request counts towards the value of a connection: as long as clients wait
	// for an answer.
	Horizon time.Duration
}

// minReuseProbability is the probability of another request within the horizon below which a response closes its connection
// while MaxConnections are open. At 0.5, another request is as likely as not. With fewer open connections the bound is lower in
// proportion.
const minReuseProbability = 0.5

// Conn is the controller's record of one connection. The zero value is a connection that was not admitted.
type Conn struct {
	Owner any // the caller's own value; the controller does not read it

	state     state
	element   *list.Element
	requested bool          // a request was received, even if its response was not counted
	responses int           // counted by ResponseStarted
	idleSince time.Time     // time of the last response or, before the first one, of the admission
	observed  time.Duration // the part of the time since then that was added to the rates already
}

// state is the list that a connection is in.
type state uint8

const (
	notOpen state = iota // not admitted, evicted or closed
	idle                 // no request in progress
	busy                 // a request in progress
	closing              // the last response was written; its last bytes are being delivered
)

// Stats holds the number of current connections by state, and totals since the start.
type Stats struct {
	Busy, Closing int
	Idle          [historyCount]int // by history: no request yet, one, a few or many

	Arrived, Rejected uint64
	Evicted           [historyCount]uint64 // idle connections that were evicted for new ones, by history
	ClosedEarly       uint64               // closing connections that were closed at once for new ones
}

// Controller decides which connections stay open. It is not safe for concurrent use. The times given to its methods must not
// decrease.
type Controller struct {
	Config
	requestRates rates
	open         int
	idle         [historyCount]list.List // of *Conn, longest idle first
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

// Admit decides whether a new connection is admitted. It is rejected if MaxConnections are open and none of them may be evicted.
// If one is evicted for it, Admit returns that one, which the caller must close; the controller no longer counts it. evictable
// reports whether the caller allows an idle connection to be evicted; it must return false if unread bytes have arrived.
func (ctl *Controller) Admit(c *Conn, now time.Time, evictable func(*Conn) bool) (evicted *Conn, admitted bool) {
	ctl.observeOpen(now)
	ctl.stats.Arrived++
	if ctl.open >= ctl.MaxConnections {
		if evicted = ctl.evictionCandidate(now, evictable); evicted == nil {
			ctl.stats.Rejected++
			return nil, false
		}
		ctl.remove(evicted, now)
	}
	ctl.open++
	ctl.link(c, idle, now)
	return evicted, true
}

// FirstRequestGrace is how long a new connection without a request is protected from eviction. Its first request may be on its
// way, and not every client retries a request that arrives after the connection was closed.
const FirstRequestGrace = 200 * time.Millisecond

// evictionCandidate returns the connection to evict, or nil if there is none: a closing one if there is one, otherwise the idle
// one with the least expected value. A connection that had more than one response is evicted only if its expected value within
// the horizon is less than that of a new connection.
func (ctl *Controller) evictionCandidate(now time.Time, evictable func(*Conn) bool) *Conn {
	if e := ctl.closing.Front(); e != nil {
		ctl.stats.ClosedEarly++
		return e.Value.(*Conn)
	}
	responseValues := ctl.responseValues()
	newcomerValue := ctl.requestRates.probability(unused, 0, ctl.Horizon)
	var next [historyCount]*list.Element
	for h := range ctl.idle {
		next[h] = ctl.idle[h].Front()
	}
	for {
		minValue, candidate := math.Inf(1), historyCount
		for h := range historyCount {
			if next[h] == nil {
				continue
			}
			c := next[h].Value.(*Conn)
			idleTime := now.Sub(c.idleSince)
			if !c.requested && idleTime < FirstRequestGrace {
				continue
			}
			value := ctl.requestRates.probability(h, idleTime, ctl.Horizon) * responseValues[h]
			if value < minValue && (h <= usedOnce || value < newcomerValue) {
				minValue, candidate = value, h
			}
		}
		if candidate == historyCount {
			return nil
		}
		c := next[candidate].Value.(*Conn)
		if evictable(c) {
			ctl.stats.Evicted[candidate]++
			return c
		}
		next[candidate] = next[candidate].Next()
	}
}

// responseValues returns the value of a response by the history of its connection: 1 for the response itself, plus the number of
// responses that are expected to follow it on the same connection within the horizon.
func (ctl *Controller) responseValues() (values [historyCount]float64) {
	values[regular] = 1 + ctl.requestRates.meanRate(regular)*ctl.Horizon.Seconds()
	for h := regular; h > unused; h-- {
		values[h-1] = 1 + ctl.requestRates.probability(h, 0, ctl.Horizon)*values[h]
	}
	return values
}

// RequestStarted records that a request has begun on a connection, which is busy until ResponseDone, Closing or Closed.
func (ctl *Controller) RequestStarted(c *Conn, now time.Time) {
	if c.state == idle {
		c.requested = true
		ctl.unlink(c)
		ctl.link(c, busy, now)
	}
}

// ResponseStarted records that a complete request is being answered, whatever the response. It reports whether the response
// should close the connection, because the connection is unlikely to be used again while connections are scarce. Closing also
// frees a descriptor of the client, whose limit is not known here.
func (ctl *Controller) ResponseStarted(c *Conn, now time.Time) (closeAfter bool) {
	ctl.observeOpen(now)
	if c.state != busy {
		return false
	}
	ctl.observe(c, now)
	ctl.requestRates.recordResponse(historyOf(c.responses), now.Sub(c.idleSince))
	c.responses++
	c.idleSince, c.observed = now, 0
	return ctl.requestRates.probability(historyOf(c.responses), 0, ctl.Horizon) < minReuseProbability*float64(ctl.open)/float64(ctl.MaxConnections)
}

// observeOpen adds to the rates, once per decayInterval, how long the open connections have had no response.
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

// observeFraction limits the work of observeOpen: idle times that still last are observed only while at least 1/observeFraction
// of MaxConnections are open. Below that no decision needs them.
const observeFraction = 4

// observe adds to the rates the part of the time since the connection's last response that was not added before.
func (ctl *Controller) observe(c *Conn, now time.Time) {
	idleTime := now.Sub(c.idleSince)
	ctl.requestRates.addIdleTime(historyOf(c.responses), c.observed, idleTime)
	c.observed = idleTime
}

// ResponseDone records that the response has ended and the connection stays open.
func (ctl *Controller) ResponseDone(c *Conn, now time.Time) {
	if c.state == busy {
		ctl.unlink(c)
		ctl.link(c, idle, now)
	}
}

// Closing records that the last response of a connection was written and that the connection will be closed soon.
func (ctl *Controller) Closing(c *Conn, now time.Time) {
	if c.state == idle || c.state == busy {
		ctl.unlink(c)
		ctl.link(c, closing, now)
	}
}

// Open returns how many connections are open.
func (ctl *Controller) Open() int { return ctl.open }

// IdleFor returns the connections that have been idle for at least minIdle, so that a sidecar that shuts down can close them. A
// connection without a request must also have been idle for FirstRequestGrace. The connections count as open until Closed.
func (ctl *Controller) IdleFor(now time.Time, minIdle time.Duration) (conns []*Conn) {
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

// Closed records that a connection was closed, by either side.
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

// remove removes an open connection from its list and from the count of open connections.
func (ctl *Controller) remove(c *Conn, now time.Time) {
	if c.state != closing { // it is not known when a response would have come, only that none came until now
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

// link puts a connection into a state and adds it to the list of that state.
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
