package clientlimit

import (
	"time"

	"petrelhook/internal/common/sock"
)

// usefulness ranks connections: one of a higher rank is closed first.
type usefulness int

const (
	useful      usefulness = iota
	slowSending            // its message arrives slowly
	notWaiting             // it has sent far more than a short request before it had its response
	notReading
	notSending
	hasRested
	neverUsed
	closing
)

// usefulness returns the rank of the connection, and the time for which it has had it.
func (c *Conn) usefulness(now time.Time) (usefulness, time.Duration) {
	elapsed := now.Sub(epoch) - time.Duration(c.entered.Load())
	if began := c.writeBegan.Load(); began != 0 {
		writing := now.Sub(epoch) - time.Duration(began)
		if writing > progressGrace {
			return notReading, writing
		}
		return useful, writing
	}
	switch state(c.state.Load()) {
	case stateClosing:
		return closing, elapsed
	case stateNew:
		if elapsed > progressGrace {
			return neverUsed, elapsed
		}
	case stateIdle:
		if elapsed > idleGrace {
			return hasRested, elapsed
		}
	case stateServing:
		if elapsed > progressGrace && c.readAhead.hasOverflowed() {
			return notWaiting, elapsed
		}
	case stateHead, stateBody:
		switch pace, _ := c.transfer.paceAt(now); pace {
		case paceStalled:
			return notSending, elapsed
		case paceSlow:
			return slowSending, elapsed
		}
	}
	return useful, elapsed
}

// isArriving reports whether no complete request is in progress on the connection, and no response.
func (c *Conn) isArriving() bool {
	return c.in(stateNew, stateHead, stateBody) && c.writeBegan.Load() == 0
}

// mayBeDisplaced reports whether the connection, which has had a rank for some time, is as the rank says: no request has just arrived, and its
// client has had some time to receive the last response.
func (c *Conn) mayBeDisplaced(rank usefulness, elapsed time.Duration) bool {
	switch rank {
	case hasRested, neverUsed:
		return sock.Quiet(c.Conn)
	case closing:
		return elapsed > progressGrace || !sock.Unsent(c.Conn)
	}
	return true
}

// displace ends the connection for another one. What a client does not read is dropped, because the kernel would keep it.
func (c *Conn) displace() {
	if sock.Unsent(c.Conn) {
		_ = sock.Abort(c.Conn)
		return
	}
	_ = c.Conn.Close()
}
