package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the number of bytes in flight at which a writer waits.
const maxBuffered = 256 << 10

// connState is shared by both sides of a connection. Its mu guards the fields of both Conns.
type connState struct {
	mu       sync.Mutex
	changed  sync.Cond
	isolated bool // a machine was isolated: nothing arrives any more
}

func (s *connState) isIsolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolated
}

// Conn is one side of a connection. It is a net.Conn, and safe for concurrent use as one.
type Conn struct {
	network       *Network
	state         *connState
	peer          *Conn
	local, remote *net.TCPAddr

	// Guarded by state.mu: what is in flight to this side, and what this side has done.
	segments     []segment
	buffered     int       // bytes in segments
	lastArrival  time.Time // of the last segment or end in flight
	eofAt        time.Time // when the peer's end of file arrives; zero: it has sent none
	resetArrival time.Time // zero: none has been sent
	closed       bool
	writeClosed  bool // it has sent its end of file
	resetOnClose bool // Close sends a reset

	readDeadline, writeDeadline time.Time
}

// segment is the bytes of one Write.
type segment struct {
	arrivesAt time.Time
	data      []byte
}

// hasArrived reports whether a time is set and not after now.
func hasArrived(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

// awaitChange waits for a change, or for the earliest of the times in the future. The caller holds state.mu.
func (c *Conn) awaitChange(now time.Time, times ...time.Time) {
	var first time.Time
	for _, t := range times {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !first.IsZero() {
		t := time.AfterFunc(first.Sub(now), func() {
			c.state.mu.Lock() // otherwise the wait may not have begun
			defer c.state.mu.Unlock()
			c.state.changed.Broadcast()
		})
		defer t.Stop()
	}
	c.state.changed.Wait()
}

// Read reads what has arrived, or waits for it.
func (c *Conn) Read(p []byte) (int, error) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for {
		now := time.Now()
		var next time.Time
		if len(c.segments) > 0 {
			next = c.segments[0].arrivesAt
		}
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case hasArrived(c.readDeadline, now):
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case hasArrived(next, now):
			s := &c.segments[0]
			n := copy(p, s.data)
			c.buffered -= n
			if s.data = s.data[n:]; len(s.data) == 0 {
				c.segments = c.segments[1:]
			}
			c.state.changed.Broadcast() // the writer may wait for the buffer
			return n, nil
		case hasArrived(c.resetArrival, now):
			return 0, c.opError("read", syscall.ECONNRESET)
		case next.IsZero() && hasArrived(c.eofAt, now):
			return 0, io.EOF
		}
		c.awaitChange(now, next, c.resetArrival, c.eofAt, c.readDeadline)
	}
}

// Write sends p as one segment. It waits while maxBuffered bytes are in flight.
func (c *Conn) Write(p []byte) (int, error) {
	delay := c.network.nextDelay()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	to := c.peer
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, c.opError("write", net.ErrClosed)
		case hasArrived(c.writeDeadline, now):
			return 0, c.opError("write", os.ErrDeadlineExceeded)
		case c.writeClosed, hasArrived(c.resetArrival, now):
			return 0, c.opError("write", syscall.EPIPE)
		case c.state.isolated:
			return len(p), nil
		case to.closed: // the peer's machine answers with a reset
			c.resetAt(now.Add(2 * delay))
			return len(p), nil
		case to.buffered < maxBuffered:
			arrivesAt := notBefore(now.Add(delay), to.lastArrival)
			to.segments = append(to.segments, segment{arrivesAt: arrivesAt, data: append([]byte(nil), p...)})
			to.buffered += len(p)
			to.lastArrival = arrivesAt
			c.state.changed.Broadcast()
			return len(p), nil
		}
		c.awaitChange(now, c.writeDeadline, c.resetArrival)
	}
}

// notBefore is a if it is after b, otherwise the instant after b: deliveries keep their order.
func notBefore(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b.Add(1)
}

// resetAt has a reset arrive at this side. The caller holds state.mu.
func (c *Conn) resetAt(t time.Time) {
	if c.resetArrival.IsZero() || t.Before(c.resetArrival) {
		c.resetArrival = t
	}
	c.state.changed.Broadcast()
}

// abort has a reset arrive at this side after a delay.
func (c *Conn) abort() {
	delay := c.network.nextDelay()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.resetAt(time.Now().Add(delay))
}

// CloseWrite ends the sending side: the peer reads an end of file after what was sent.
func (c *Conn) CloseWrite() error {
	delay := c.network.nextDelay()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closeWrite(delay)
	return nil
}

// closeWrite sends the end of file. The caller holds state.mu.
func (c *Conn) closeWrite(delay time.Duration) {
	if to := c.peer; !c.writeClosed && !c.state.isolated {
		to.eofAt = notBefore(time.Now().Add(delay), to.lastArrival)
		to.lastArrival = to.eofAt
	}
	c.writeClosed = true
	c.state.changed.Broadcast()
}

// Close closes both directions. With unread bytes, or after SetLinger(0), the peer gets a reset.
func (c *Conn) Close() error {
	delay := c.network.nextDelay()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if !c.state.isolated { // otherwise Restore has to reset the peer
		delete(c.network.conns, c)
	}
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	switch {
	case c.state.isolated:
	case c.resetOnClose || len(c.segments) > 0:
		c.peer.resetAt(time.Now().Add(delay))
	default:
		c.closeWrite(delay)
	}
	c.segments, c.buffered = nil, 0
	c.state.changed.Broadcast()
	return nil
}

// isClosed reports whether this side has been closed.
func (c *Conn) isClosed() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.closed
}

// SetLinger with 0 makes Close send a reset, as that of net.TCPConn does. It has no error.
func (c *Conn) SetLinger(sec int) error {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.resetOnClose = sec == 0
	return nil
}

// Quiet reports whether the connection is open and has no unread bytes, as sock.Quiet does.
func (c *Conn) Quiet() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	now := time.Now()
	return !c.closed && !hasArrived(c.resetArrival, now) && !hasArrived(c.eofAt, now) &&
		(len(c.segments) == 0 || !hasArrived(c.segments[0].arrivesAt, now))
}

// Ended reports whether the peer's end of file or a reset has arrived and everything before it has been read, as sock.Ended does.
func (c *Conn) Ended() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	now := time.Now()
	return c.closed || hasArrived(c.resetArrival, now) || hasArrived(c.eofAt, now) && len(c.segments) == 0
}

// LocalAddr is this side's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadlines(&t, &t) }

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadlines(&t, nil) }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(nil, &t) }

// setDeadlines sets the deadlines that are not nil.
func (c *Conn) setDeadlines(read, write *time.Time) error {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	if read != nil {
		c.readDeadline = *read
	}
	if write != nil {
		c.writeDeadline = *write
	}
	c.state.changed.Broadcast()
	return nil
}

// opError is an error of this connection as package net makes them.
func (c *Conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
