package connlimit

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"petrelhook/internal/sidecar/message"
)

// maxReadAhead is how much is read of a client ahead of a response: a short request with its head. What exceeds it is dropped, and
// the connection is closed with the response. Otherwise a client could hide its close behind the bytes that it sent.
const maxReadAhead = message.MaxBuffered + message.MaxHead

// readAhead is what a client sends while its request is in progress. net/http notices a client's close by reading one byte, and
// does not look further once that byte belongs to a next request: from there on the bytes are read here.
type readAhead struct {
	mu         sync.Mutex
	active     bool          // a request is in progress, and bytes of the next may hide its client's close
	nextSeen   bool          // a byte of the next request was received
	text       []byte        // was read, and not yet returned by read
	err        error         // why nothing follows text
	overflowed bool          // some of it was dropped
	done       chan struct{} // closed when the goroutine that reads ahead has ended; nil: there is none
}

// WatchClient notices that the client of a handler's request closes its connection, whatever it sends before that. The handler calls
// stop when it has responded.
func (l *Limiter) WatchClient(ctx context.Context) (stop func()) {
	c, ok := clientOf(ctx)
	if !ok {
		return func() {}
	}
	c.readAhead.mu.Lock()
	c.readAhead.active = true
	c.startReadAhead()
	c.readAhead.mu.Unlock()
	return c.stopReadAhead
}

// sawNextRequest is called with the first byte of a next request.
func (c *client) sawNextRequest() {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	c.readAhead.nextSeen = true
	c.startReadAhead()
}

// startReadAhead starts to read where a request is in progress and the next one has begun. The caller holds readAhead.mu.
func (c *client) startReadAhead() {
	a := &c.readAhead
	if !a.active || !a.nextSeen || a.done != nil || a.err != nil {
		return
	}
	done := make(chan struct{})
	a.done = done
	go func() {
		defer close(done)
		const chunk = 4 << 10
		for buffer := make([]byte, chunk); c.limiter.reserve(chunk); { // without memory the close is noticed with the response
			n, err := c.Conn.Read(buffer)
			ended := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
			a.mu.Lock()
			if a.overflowed = a.overflowed || len(a.text)+n > maxReadAhead; a.overflowed {
				n = 0
			}
			a.text = append(a.text, buffer[:n]...)
			if ended {
				a.err = err
			}
			a.mu.Unlock()
			c.limiter.release(int64(chunk - n))
			if ended {
				c.peerGone()
			}
			if err != nil {
				return
			}
		}
	}()
}

// stopReadAhead waits for the goroutine that reads ahead. What is received from then on is read by net/http.
func (c *client) stopReadAhead() {
	a := &c.readAhead
	a.mu.Lock()
	done := a.done
	a.active = false
	a.mu.Unlock()
	if done == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	c.Conn.SetReadDeadline(time.Time{})
	a.mu.Lock()
	a.done = nil
	a.mu.Unlock()
}

// startNext begins with the next request, whose first byte may have been the one that was seen.
func (a *readAhead) startNext() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextSeen = false
}

// read returns what was read ahead, and then why nothing follows it.
func (a *readAhead) read(p []byte, release func(int64)) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.text) > 0 {
		n := copy(p, a.text)
		release(int64(n))
		if a.text = a.text[n:]; len(a.text) == 0 {
			a.text = nil
		}
		return n, nil
	}
	if a.overflowed {
		return 0, net.ErrClosed
	}
	return 0, a.err
}

// discard drops what was read ahead.
func (a *readAhead) discard(release func(int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	release(int64(len(a.text)))
	a.text = nil
}

// empty reports whether read has nothing to return.
func (a *readAhead) empty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.text) == 0
}

// lost reports whether some of what the client sent was dropped.
func (a *readAhead) lost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overflowed
}
