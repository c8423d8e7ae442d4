// Package door is the listener of a front that speaks HTTP: it carries out what package admit decides. It knows of a
// connection whether a request is open on it, not what is in it.
//
// Invariants: no more than the given number of connections are open, besides some that are being turned away; Accept
// never waits for any of them; a connection with a request open or with bytes unread is never closed to make room.
package door

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/admit"
	"petrelhook/internal/message"
	"petrelhook/internal/sock"
)

const (
	// TurnedAway is how many connections are being turned away at once.
	TurnedAway   = 8
	turnAwayTime = 500 * time.Millisecond
)

// Door limits a listener's open connections: the descriptors are needed elsewhere. One too many takes the place of another,
// or gets a prompt 503. Accept never waits for any of them: clients that say nothing must not stop the others.
type Door struct {
	net.Listener
	in   time.Duration // within which a request must be in
	away chan struct{}

	mu    sync.Mutex
	admit *admit.Door
}

// client is a connection of the application.
type client struct {
	net.Conn
	b *Door

	// Guarded by Door.mu:
	place  admit.Conn
	due    time.Time // when its present request must be in: the first counts from the connection's start
	asked  bool
	closed bool

	begun atomic.Bool // something has come since its last answer; a whole head is told by State
}

// New bounds a listener; a request must be in within a time of its connection's start, or of its own first byte.
func New(ln net.Listener, c admit.Config, in time.Duration) *Door {
	return &Door{Listener: ln, in: in, away: make(chan struct{}, TurnedAway), admit: admit.New(c, time.Now())}
}

// Accept gives the next connection that has a place.
func (b *Door) Accept() (net.Conn, error) {
	for {
		nc, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := b.place(nc); c != nil {
			return c, nil
		}
		select {
		case b.away <- struct{}{}:
			go func() {
				turnAway(nc)
				<-b.away
			}()
		default:
			nc.Close()
		}
	}
}

// place finds a place for a connection; nil: there is none.
func (b *Door) place(nc net.Conn) *client {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	c := &client{Conn: nc, b: b, due: now.Add(b.in)}
	c.place.Owner = c
	victim, taken := b.admit.Come(&c.place, now, func(p *admit.Conn) bool { return sock.Quiet(p.Owner.(*client).Conn) })
	if victim != nil {
		v := victim.Owner.(*client)
		v.closed = true
		v.Conn.Close()
	}
	if !taken {
		return nil
	}
	return c
}

// Answers is the answer, now, to the request of a handler's context. It reports whether that should end the connection.
func (b *Door) Answers(ctx context.Context) bool {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Answers(&c.place, time.Now())
}

// Open is how many connections hold a place.
func (b *Door) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Held()
}

// CloseIdlers closes connections that have been silent for a time and on which nothing has come in. Those that never asked
// are given admit.FirstCall at least.
func (b *Door) CloseIdlers(silent time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, p := range b.admit.Idlers(now, silent) {
		if c := p.Owner.(*client); !c.begun.Load() && sock.Quiet(c.Conn) {
			c.closed = true
			b.admit.Gone(p, now)
			c.Conn.Close()
		}
	}
}

// Figures are what the door did and holds.
func (b *Door) Figures() admit.Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Figures()
}

// State follows the connections, as http.Server.ConnState tells.
func (b *Door) State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch now := time.Now(); s {
	case http.StateActive:
		if b.admit.Asks(&c.place, now); c.asked {
			c.due = now.Add(b.in)
		}
		c.asked = true
	case http.StateIdle:
		b.admit.Answered(&c.place, now)
		c.begun.Store(false)
	}
}

// Read notes a request's first byte at once: net/http tells of one when it has read the whole head, and until then a
// connection would pass for one that asks for nothing and can be closed at no loss.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begun.Load() {
		c.begun.Store(true)
	}
	return n, err
}

type clientKey struct{}

// Context lets a handler know the request's connection; it is for http.Server.ConnContext.
func (b *Door) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// Due is when the request of a handler's context must be in.
func (b *Door) Due(ctx context.Context) time.Time {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return time.Now().Add(b.in)
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.due
}

// Close gives the connection's place free.
func (c *client) Close() error {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.b.admit.Gone(&c.place, time.Now())
	return c.Conn.Close()
}

// CloseWrite ends the sending side, which net/http does some time before it closes: a close with bytes unread would
// reset the last answer away.
func (c *client) CloseWrite() error {
	c.b.mu.Lock()
	c.b.admit.Leaves(&c.place, time.Now())
	c.b.mu.Unlock()
	if t, ok := c.Conn.(closeWriter); ok {
		return t.CloseWrite()
	}
	return nil
}

type closeWriter interface{ CloseWrite() error }

// turnAway answers 503 and reads on for a moment: a close with bytes unread would reset the answer away.
func turnAway(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(turnAwayTime))
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if t, ok := c.(closeWriter); ok {
		t.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(c, message.MaxBody))
}
