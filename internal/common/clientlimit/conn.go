package clientlimit

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/sock"
)

const (
	// maxWriteBytes is the largest single write, which a client has to take within writeTimeout.
	maxWriteBytes = 32 << 10
	writeTimeout  = 10 * time.Second
)

// state is what a connection is used for.
type state int32

const (
	stateNew     state = iota // no byte has arrived
	stateIdle                 // between two requests
	stateHead                 // a part of a head has arrived
	stateBody                 // a part of a body has arrived
	stateServing              // a request has arrived completely
	stateClosing              // the last response was written
)

// Conn is a connection of an HTTP server, which calls its methods. Heads of requests that are too long, or for which no memory is left,
// end it. A client has to read what is written within writeTimeout.
type Conn struct {
	net.Conn
	listener  *Listener
	host      string             // IP address of the client
	cancel    context.CancelFunc // ends the contexts of its requests
	readAhead readAhead

	transfer   transfer     // of the message that arrives in stateHead and stateBody
	state      atomic.Int32 // a state
	entered    atomic.Int64 // time at which the state was entered, in nanoseconds since epoch
	refused    atomic.Bool  // the last response was sent by refuseHead
	writeBegan atomic.Int64 // time at which the write in progress began, in nanoseconds since epoch; 0: there is none
	writeError atomic.Bool  // a write has failed
	unframed   atomic.Bool  // a response is being written whose end is that of the connection
	halfClosed atomic.Bool  // the direction to the client is closed, and it may still send

	sendBuffer sock.SendBuffer
	closing    sync.Once
	mutex      sync.Mutex   // guards the fields below
	head       *Reservation // of the request in progress; nil: its head is short
	headBytes  int64
	headMemory int64 // bytes, those that are not reserved included
}

// epoch is the time from which the times of connections are counted, so that they follow the monotonic clock.
var epoch = time.Now()

// enter sets the state. A connection that is being closed already keeps the time since when it is.
func (c *Conn) enter(s state) {
	if s == stateClosing && c.in(stateClosing) {
		return
	}
	now := time.Now()
	c.entered.Store(int64(now.Sub(epoch)))
	c.transfer.start(now)
	c.state.Store(int32(s))
}

// in reports whether the connection is in one of the states.
func (c *Conn) in(states ...state) bool {
	current := state(c.state.Load())
	for _, s := range states {
		if s == current {
			return true
		}
	}
	return false
}

// Read implements net.Conn. It ends with errHeadRefused if the head that is being read is refused.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.in(stateHead) {
		c.limitHeadTime()
	}
	n, ok, err := c.readAhead.read(buffer)
	if !ok {
		n, err = c.Conn.Read(buffer)
	}
	if n <= 0 {
		if c.in(stateHead) && errors.Is(err, os.ErrDeadlineExceeded) {
			c.refuseHead(headTooLate)
		}
		return n, err
	}
	if len(buffer) == 1 && c.in(stateBody, stateServing) { // net/http has seen that the next request follows, and reads no further
		c.startReadAhead()
	}
	if c.in(stateNew, stateIdle) {
		c.enter(stateHead)
	}
	if c.in(stateHead) && !c.countHead(buffer[:n]) {
		return 0, errHeadRefused
	}
	return n, err
}

// limitHeadTime sets the deadline of a head of which a part has arrived. net/http replaces it when the head is complete.
func (c *Conn) limitHeadTime() {
	if timeout := c.listener.timeouts().HeadTimeout; timeout > 0 {
		c.Conn.SetReadDeadline(epoch.Add(time.Duration(c.entered.Load()) + timeout))
	}
}

// Write implements net.Conn. A client that does not read ends it.
func (c *Conn) Write(text []byte) (written int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.sendBuffer.Writes(c.Conn, len(text))
	for first := true; first || len(text) > 0; first = false {
		now := time.Now()
		c.writeBegan.Store(int64(now.Sub(epoch)))
		c.Conn.SetWriteDeadline(now.Add(writeTimeout))
		n, err := c.Conn.Write(text[:min(len(text), maxWriteBytes)])
		written += n
		if err != nil {
			c.writeBegan.Store(0)
			c.writeError.Store(true)
			return written, err
		}
		text = text[n:]
	}
	c.writeBegan.Store(0)
	return written, nil
}

// SetReadDeadline implements net.Conn. A connection between two requests has no later deadline than the limits allow.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if idle := c.listener.timeouts().IdleTimeout; idle > 0 && c.in(stateIdle) && !deadline.IsZero() {
		if latest := time.Now().Add(idle); deadline.After(latest) {
			deadline = latest
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}
