package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how much may be on its way before a writer waits.
const window = 256 << 10

// wire is what both sides of a connection share. Each side's fields in Conn are guarded by mu.
type wire struct {
	mu      sync.Mutex
	changed sync.Cond
	lost    bool // a machine was cut off: nothing arrives any more
}

func (w *wire) isLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// Conn is one side of a connection.
type Conn struct {
	net           *Network
	wire          *wire
	peer          *Conn
	local, remote *net.TCPAddr

	// Guarded by wire.mu: what is on its way to this side, and what this side has done.
	segments []segment
	held     int       // bytes in segments
	due      time.Time // of the last thing on its way
	end      time.Time // when the peer's end of sending arrives; zero: it has not ended
	reset    time.Time // when a reset arrives
	closed   bool
	finished bool // it has ended its sending
	abrupt   bool // its close is a reset

	readBy, writeBy time.Time
}

// segment is what one write sent.
type segment struct {
	due  time.Time
	data []byte
}

func arrived(due, now time.Time) bool { return !due.IsZero() && !due.After(now) }

// wait waits for a change, or for the earliest of the times that lies ahead. The caller holds wire.mu.
func (c *Conn) wait(now time.Time, times ...time.Time) {
	var first time.Time
	for _, t := range times {
		if t.After(now) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !first.IsZero() {
		t := time.AfterFunc(first.Sub(now), func() {
			c.wire.mu.Lock() // else the wait may not have begun
			defer c.wire.mu.Unlock()
			c.wire.changed.Broadcast()
		})
		defer t.Stop()
	}
	c.wire.changed.Wait()
}

// Read reads what has arrived.
func (c *Conn) Read(p []byte) (int, error) {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	for {
		now := time.Now()
		var next time.Time
		if len(c.segments) > 0 {
			next = c.segments[0].due
		}
		switch {
		case c.closed:
			return 0, c.failed("read", net.ErrClosed)
		case arrived(c.readBy, now):
			return 0, c.failed("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case arrived(next, now):
			s := &c.segments[0]
			n := copy(p, s.data)
			c.held -= n
			if s.data = s.data[n:]; len(s.data) == 0 {
				c.segments = c.segments[1:]
			}
			c.wire.changed.Broadcast() // the writer may have waited for room
			return n, nil
		case arrived(c.reset, now):
			return 0, c.failed("read", syscall.ECONNRESET)
		case next.IsZero() && arrived(c.end, now):
			return 0, io.EOF
		}
		c.wait(now, next, c.reset, c.end, c.readBy)
	}
}

// Write sends p as one segment.
func (c *Conn) Write(p []byte) (int, error) {
	delay := c.net.instant()
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	to := c.peer
	for {
		now := time.Now()
		switch {
		case c.closed:
			return 0, c.failed("write", net.ErrClosed)
		case arrived(c.writeBy, now):
			return 0, c.failed("write", os.ErrDeadlineExceeded)
		case c.finished, arrived(c.reset, now):
			return 0, c.failed("write", syscall.EPIPE)
		case c.wire.lost:
			return len(p), nil
		case to.closed: // it arrives at nobody, who resets the connection
			c.resetAt(now.Add(2 * delay))
			return len(p), nil
		case to.held < window:
			due := later(now.Add(delay), to.due)
			to.segments = append(to.segments, segment{due: due, data: append([]byte(nil), p...)})
			to.held += len(p)
			to.due = due
			c.wire.changed.Broadcast()
			return len(p), nil
		}
		c.wait(now, c.writeBy, c.reset)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b.Add(1)
}

// resetAt has a reset arrive at this side. The caller holds wire.mu.
func (c *Conn) resetAt(t time.Time) {
	if c.reset.IsZero() || t.Before(c.reset) {
		c.reset = t
	}
	c.wire.changed.Broadcast()
}

// abort resets this side, as the network does.
func (c *Conn) abort() {
	delay := c.net.instant()
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.resetAt(time.Now().Add(delay))
}

// CloseWrite ends the sending side: the peer reads an end of file behind what was sent.
func (c *Conn) CloseWrite() error {
	delay := c.net.instant()
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	if c.closed {
		return c.failed("close", net.ErrClosed)
	}
	c.finish(delay)
	return nil
}

// finish sends the end of file. The caller holds wire.mu.
func (c *Conn) finish(delay time.Duration) {
	if to := c.peer; !c.finished && !c.wire.lost {
		to.end = later(time.Now().Add(delay), to.due)
		to.due = to.end
	}
	c.finished = true
	c.wire.changed.Broadcast()
}

// Close closes both directions. With bytes unread, or after SetLinger(0), the peer gets a reset.
func (c *Conn) Close() error {
	delay := c.net.instant()
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	if !c.wire.lost { // else the peer has to hear of it when the machine is back
		delete(c.net.conns, c)
	}
	if c.closed {
		return c.failed("close", net.ErrClosed)
	}
	c.closed = true
	switch {
	case c.wire.lost:
	case c.abrupt || len(c.segments) > 0:
		c.peer.resetAt(time.Now().Add(delay))
	default:
		c.finish(delay)
	}
	c.segments, c.held = nil, 0
	c.wire.changed.Broadcast()
	return nil
}

func (c *Conn) isClosed() bool {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	return c.closed
}

// SetLinger with 0 makes the close a reset, as net.TCPConn's does.
func (c *Conn) SetLinger(sec int) error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.abrupt = sec == 0
	return nil
}

// Quiet reports whether the connection is open and nothing has arrived that is still unread.
func (c *Conn) Quiet() bool {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	now := time.Now()
	return !c.closed && !arrived(c.reset, now) && !arrived(c.end, now) &&
		(len(c.segments) == 0 || !arrived(c.segments[0].due, now))
}

// Ended reports whether the peer's end, or a reset, has arrived behind everything else.
func (c *Conn) Ended() bool {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	now := time.Now()
	return c.closed || arrived(c.reset, now) || arrived(c.end, now) && len(c.segments) == 0
}

// LocalAddr is this side's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error { return c.bound(&t, &t) }

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.bound(&t, nil) }

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.bound(nil, &t) }

func (c *Conn) bound(read, write *time.Time) error {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	if c.closed {
		return c.failed("set", net.ErrClosed)
	}
	if read != nil {
		c.readBy = *read
	}
	if write != nil {
		c.writeBy = *write
	}
	c.wire.changed.Broadcast()
	return nil
}

func (c *Conn) failed(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
