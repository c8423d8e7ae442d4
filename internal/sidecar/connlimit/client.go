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

// lingerTime is how long a closed connection is kept for its client to receive the rest of its last response.
const lingerTime = 500 * time.Millisecond

// client is an admitted connection of the application. net/http calls its net.Conn methods.
type client struct {
	net.Conn
	limiter      *Limiter
	cancel       context.CancelFunc // ends the contexts of its requests
	readAhead    readAhead
	peerClosed   atomic.Bool // the client has closed its side
	responseOpen atomic.Bool // see Limiter.SetResponseOpen

	// Guarded by Limiter.mu:
	record          admission.Conn
	requestDeadline time.Time // for the present request to arrive completely
	requested       bool      // a request was received
	closed          bool
	partialRequest  bool // bytes were received since the last response; net/http reports a request only with its whole head
	head            requestHead
}

// closeWriter is a connection whose sending side can be closed by itself.
type closeWriter interface{ CloseWrite() error }

// Read notes the first byte of a request at once: net/http reports a request when it has read the whole head, and until then the
// connection would be taken for an idle one. What is read after the limiter has closed the connection is dropped, because a request
// that cannot be answered any more must have no effect.
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
	if c.head.add(p[:n], len(p) == 1) { // net/http has seen that more follows, and reads no further
		c.sawNextRequest()
	}
	return n, err
}

// peerGone is called when the client has closed its side: its requests are cancelled.
func (c *client) peerGone() {
	c.peerClosed.Store(true)
	c.cancel()
}

// idle reports whether nothing of a next request was received. The caller holds Limiter.mu.
func (c *client) idle() bool { return !c.partialRequest && c.quiet() }

// evictable reports whether the connection may be closed for another: no whole head was received, and the client's machine has
// acknowledged every byte of the last response. A request that arrives in this very moment is reset. The caller holds Limiter.mu.
func (c *client) evictable() bool { return !c.head.complete && c.quiet() && !sock.Unsent(c.Conn) }

// quiet reports whether no bytes of a request wait to be read.
func (c *client) quiet() bool { return c.readAhead.empty() && sock.Quiet(c.Conn) }

// Close closes the connection when its client has received the last response: bytes that are unread, or still arrive, would reset
// the rest of it away.
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
		return sock.Abort(c.Conn)
	}
	return c.closeWhenDelivered(now)
}

// closeWhenDelivered closes the connection at once where the client's machine has acknowledged everything, and otherwise its sending
// side now and the rest within lingerTime. The caller holds Limiter.mu.
func (c *client) closeWhenDelivered(now time.Time) error {
	half, canHalfClose := c.Conn.(closeWriter)
	if c.peerClosed.Load() || !canHalfClose || !sock.Unsent(c.Conn) {
		c.limiter.admission.Closed(&c.record, now)
		return c.Conn.Close()
	}
	c.limiter.admission.Closing(&c.record, now)
	_ = half.CloseWrite() // a connection that fails here is closed below
	c.Conn.SetReadDeadline(now.Add(lingerTime))
	go func() { // it ends with the deadline
		_, _ = io.Copy(io.Discard, c.Conn)
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.admission.Closed(&c.record, time.Now())
		c.Conn.Close()
	}()
	return nil
}

// CloseWrite closes the sending side, which net/http does some time before it closes the connection, because a close over unread
// bytes would reset the last response away.
func (c *client) CloseWrite() error {
	c.limiter.mu.Lock()
	c.limiter.admission.Closing(&c.record, time.Now())
	c.limiter.mu.Unlock()
	if half, ok := c.Conn.(closeWriter); ok {
		return half.CloseWrite()
	}
	return nil
}
