package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admission"
)

// lingerTime is how long a closed connection is kept so that its client can receive the rest of the last response.
const lingerTime = 500 * time.Millisecond

// client is an admitted connection of the application. net/http calls its net.Conn methods.
type client struct {
	net.Conn
	limiter      *Limiter
	cancel       context.CancelFunc // ends the contexts of its requests
	readAhead    readAhead
	peerClosed   atomic.Bool // the client has closed its side
	responseOpen atomic.Bool // see Limiter.SetResponseOpen
	sendBuffer   sock.SendBuffer

	// Guarded by Limiter.mu:
	record          admission.Conn
	requestDeadline time.Time // by which the current request must have arrived completely
	requested       bool      // a request was received
	closed          bool
	partialRequest  bool // bytes were received since the last response; net/http reports a request only with its whole head
	head            requestHead
}

// closeWriter is a connection whose sending side can be closed separately.
type closeWriter interface{ CloseWrite() error }

// Read records the first byte of a request at once, because net/http reports a request only when it has read the whole head, and
// the connection would count as idle until then. Bytes that are read after the limiter has closed the connection are dropped,
// because a request that cannot be answered must have no effect.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.readAhead.read(p, c.limiter.release)
	if n == 0 && err == nil {
		if n, err = c.Conn.Read(p); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed.Store(true)
		}
	}
	if n == 0 {
		return n, err
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.partialRequest = true
	if c.head.add(p[:n], len(p) == 1) { // net/http has seen that the next request follows, and reads no further
		c.sawNextRequest()
	}
	return n, err
}

// Write implements net.Conn. A long response gets a larger send buffer, if there is one.
func (c *client) Write(p []byte) (int, error) {
	c.sendBuffer.Writes(c.Conn, len(p))
	return c.Conn.Write(p)
}

// peerGone handles that the client has closed its side: it cancels the client's requests.
func (c *client) peerGone() {
	c.peerClosed.Store(true)
	c.cancel()
}

// idle reports whether nothing of the next request was received. The caller holds Limiter.mu.
func (c *client) idle() bool { return !c.partialRequest && c.quiet() }

// evictable reports whether the connection may be closed for another: no complete head was received, no bytes are unread, and the
// client's machine has acknowledged every byte of the last response. A request that arrives after this check is reset. The caller
// holds Limiter.mu.
func (c *client) evictable() bool { return !c.head.complete && c.quiet() && !sock.Unsent(c.Conn) }

// quiet reports whether no bytes of a request are waiting to be read.
func (c *client) quiet() bool { return c.readAhead.empty() && sock.Quiet(c.Conn) }

// Close closes the connection once its client has received the last response: if bytes were unread or still arrived, an earlier
// close would send a reset, which could discard the rest of the response. If a response is open (see Limiter.SetResponseOpen), it
// resets the connection at once.
func (c *client) Close() error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.cancel()
	c.readAhead.discard(c.limiter.release)
	now := time.Now()
	if c.responseOpen.Load() {
		c.limiter.admission.Closed(&c.record, now)
		c.sendBuffer.Ends()
		return sock.Abort(c.Conn)
	}
	return c.closeWhenDelivered(now)
}

// closeWhenDelivered closes the connection at once if the client's machine has acknowledged everything. Otherwise it closes the
// sending side now, and the connection when the client closes it or after lingerTime. The caller holds Limiter.mu.
func (c *client) closeWhenDelivered(now time.Time) error {
	half, canHalfClose := c.Conn.(closeWriter)
	if c.peerClosed.Load() || !canHalfClose || !sock.Unsent(c.Conn) {
		c.limiter.admission.Closed(&c.record, now)
		c.sendBuffer.Ends()
		return c.Conn.Close()
	}
	c.limiter.admission.Closing(&c.record, now)
	_ = half.CloseWrite() // if it fails, the connection is closed below all the same
	c.Conn.SetReadDeadline(now.Add(lingerTime))
	go func() { // ends at the read deadline at the latest
		_, _ = io.Copy(io.Discard, c.Conn)
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.admission.Closed(&c.record, time.Now())
		c.sendBuffer.Ends()
		c.Conn.Close()
	}()
	return nil
}

// CloseWrite closes the sending side. net/http calls it some time before it closes the connection, because closing a connection
// with unread bytes sends a reset, which can discard the last response.
func (c *client) CloseWrite() error {
	c.limiter.mu.Lock()
	c.limiter.admission.Closing(&c.record, time.Now())
	c.limiter.mu.Unlock()
	if half, ok := c.Conn.(closeWriter); ok {
		return half.CloseWrite()
	}
	return nil
}
