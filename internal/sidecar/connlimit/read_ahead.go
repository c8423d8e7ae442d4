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

// maxReadAhead is how much is read from a client before the response to its current request has ended: a short request with its
// head. Further bytes are read and dropped, and the connection is closed with the response. If they were left unread, a close of
// the client behind them would not be noticed.
const maxReadAhead = message.MaxBuffered + message.MaxHead

// readAhead holds the bytes that a client sends while its request is in progress. net/http notices a client's close by reading
// one byte, and does not read further if that byte belongs to the next request. From there on a goroutine of readAhead reads.
type readAhead struct {
	mu         sync.Mutex
	active     bool          // a request is in progress whose client may close the connection behind bytes of the next request
	nextSeen   bool          // a byte of the next request was received
	text       []byte        // read ahead, and not yet returned by read
	err        error         // the read error after text; nil: none
	overflowed bool          // bytes beyond maxReadAhead were dropped
	done       chan struct{} // closed when the goroutine that reads ahead has ended; nil: there is none
}

// WatchClient watches for a close of the connection by the client of a handler's request, whatever the client sends before it;
// the context of the request is cancelled then. The handler calls stop when it has responded.
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

// sawNextRequest records that the first byte of the next request was received.
func (c *client) sawNextRequest() {
	c.readAhead.mu.Lock()
	defer c.readAhead.mu.Unlock()
	c.readAhead.nextSeen = true
	c.startReadAhead()
}

// startReadAhead starts the goroutine that reads ahead, if a request is in progress and a byte of the next one was received. The
// caller holds readAhead.mu.
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
		for buffer := make([]byte, chunk); c.limiter.reserve(chunk); { // without memory, a close is noticed only with the response
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

// stopReadAhead stops the goroutine that reads ahead and waits for its end. Later bytes are read by net/http.
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

// startNext moves on to the next request: the byte that was seen belongs to it.
func (a *readAhead) startNext() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nextSeen = false
}

// read returns the bytes that were read ahead and, once there are none left, the error that followed them, if any.
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

// discard drops the bytes that were read ahead.
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

// lost reports whether some bytes that the client sent were dropped.
func (a *readAhead) lost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overflowed
}
