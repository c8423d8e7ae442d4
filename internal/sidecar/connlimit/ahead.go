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

// mostAhead is how much may come of a client ahead of an answer: a short request with its head. What comes beyond is dropped,
// and the connection ends with the answer: else the end of a client that sends much and goes would be hidden behind it.
const mostAhead = message.Short + message.MaxHead

// ahead is what a client sends while its request is in work, up to the answer. net/http looks for a client's end by reading one
// byte, and looks no further once that byte is of a next request: from there on it is read here.
type ahead struct {
	mu      sync.Mutex
	follows bool          // a request is in work, and something of the next may hide its client's end
	seen    bool          // a byte of the next has come
	text    []byte        // read, and not handed out
	err     error         // why nothing more comes
	flooded bool          // some of it was dropped
	done    chan struct{} // closed when nobody reads ahead any more; nil: nobody does
}

// Follow notices the end of the client of a handler's request, whatever the client sends before it, until the request has its
// answer and stop is called.
func (b *Limiter) Follow(ctx context.Context) (stop func()) {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return func() {}
	}
	c.ahead.mu.Lock()
	c.ahead.follows = true
	c.readAhead()
	c.ahead.mu.Unlock()
	return c.stopAhead
}

// sawAhead is the first byte of a next request.
func (c *client) sawAhead() {
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	c.ahead.seen = true
	c.readAhead()
}

// readAhead reads on where that is due. The caller holds ahead.mu.
func (c *client) readAhead() {
	a := &c.ahead
	if !a.follows || !a.seen || a.done != nil || a.err != nil {
		return
	}
	done := make(chan struct{})
	a.done = done
	go func() {
		defer close(done)
		const piece = 4 << 10
		for buffer := make([]byte, piece); c.b.hold(piece); { // no room: its end will be seen with the answer
			n, err := c.Conn.Read(buffer)
			over := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
			a.mu.Lock()
			if a.flooded = a.flooded || len(a.text)+n > mostAhead; a.flooded {
				n = 0
			}
			a.text = append(a.text, buffer[:n]...)
			if over {
				a.err = err
			}
			a.mu.Unlock()
			c.b.free(int64(piece - n))
			if over {
				c.gone()
			}
			if err != nil {
				return
			}
		}
	}()
}

// stopAhead leaves what comes from here on to who reads the next request.
func (c *client) stopAhead() {
	a := &c.ahead
	a.mu.Lock()
	done := a.done
	a.follows = false
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

// next is for the next request, whose first byte it may have been that was seen.
func (a *ahead) next() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen = false
}

// take hands out what was read ahead, and then why nothing follows it.
func (a *ahead) take(p []byte, free func(int64)) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.text) > 0 {
		n := copy(p, a.text)
		free(int64(n))
		if a.text = a.text[n:]; len(a.text) == 0 {
			a.text = nil
		}
		return n, nil
	}
	if a.flooded {
		return 0, net.ErrClosed
	}
	return 0, a.err
}

// drop forgets what was read ahead.
func (a *ahead) drop(free func(int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	free(int64(len(a.text)))
	a.text = nil
}

// empty reports whether nothing that was read ahead waits to be handed out.
func (a *ahead) empty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.text) == 0
}

func (a *ahead) dropped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.flooded
}
