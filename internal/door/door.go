// Package door bounds the connections of a listener: places for clients, and who makes room when there are none. It
// knows of a connection whether a request is open on it, not what is in it.
//
// Invariants: no more than the given number of connections are open, besides some that are being turned away; Accept
// never waits for any of them; a connection with a request open, one with bytes unread, and one that was used a moment
// ago are never closed to make room.
package door

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/message"
	"petrelhook/internal/sock"
)

const (
	// TurnedAway is how many connections are being turned away at once.
	TurnedAway   = 8
	turnAwayTime = 500 * time.Millisecond
	// mayClose is how long a connection without an open request is left alone: the client's next request may be on its way.
	mayClose = 2 * time.Second
)

// Door limits a listener's open connections: the descriptors are needed elsewhere. One too many takes the place of
// one that is over but for its last bytes, else of the one that has been idle the longest. Where there is neither it
// gets a prompt 503. Accept never waits for any of them: clients that say nothing must not stop the others.
type Door struct {
	net.Listener
	most int
	in   time.Duration // within which a request must be in
	rest time.Duration // mayClose
	away chan struct{}

	mu      sync.Mutex
	open    int
	idle    *list.List // of *client without an open request, the longest idle first
	leaving *list.List // of *client that have had their last answer
}

// client is a connection of the application.
type client struct {
	net.Conn
	b *Door

	// Guarded by Door.mu:
	in     *list.List // idle, leaving or neither
	at     *list.Element
	since  time.Time
	due    time.Time // when its present request must be in: the first counts from the connection's start
	asked  bool
	closed bool
}

// New bounds a listener to a number of connections; a request must be in within a time of its connection's start, or of
// its own first byte.
func New(ln net.Listener, most int, in time.Duration) *Door {
	return &Door{
		Listener: ln, most: most, in: in, rest: mayClose, away: make(chan struct{}, TurnedAway),
		idle: list.New(), leaving: list.New(),
	}
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
	if b.open >= b.most && !b.makeRoom() {
		return nil
	}
	b.open++
	c := &client{Conn: nc, b: b, due: time.Now().Add(b.in)}
	b.enter(c, b.idle)
	return c
}

// makeRoom closes a connection that is of no further use, or that can be done without. The caller holds mu.
func (b *Door) makeRoom() bool {
	if e := b.leaving.Front(); e != nil {
		b.close(e.Value.(*client))
		return true
	}
	for e := b.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*client)
		if time.Since(c.since) < b.rest {
			return false
		}
		if sock.Quiet(c.Conn) { // else a request is on its way in
			b.close(c)
			return true
		}
	}
	return false
}

// enter files a connection under a list, or none. The caller holds mu.
func (b *Door) enter(c *client, in *list.List) {
	if c.in != nil {
		c.in.Remove(c.at)
	}
	if c.in = nil; in != nil && !c.closed {
		c.in, c.at, c.since = in, in.PushBack(c), time.Now()
	}
}

// close closes a connection and frees its place. The caller holds mu.
func (b *Door) close(c *client) error {
	if c.closed {
		return nil
	}
	c.closed = true
	b.enter(c, nil)
	b.open--
	return c.Conn.Close()
}

// State follows the connections, as http.Server.ConnState tells.
func (b *Door) State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateActive:
		if b.enter(c, nil); c.asked {
			c.due = time.Now().Add(b.in)
		}
		c.asked = true
	case http.StateIdle:
		b.enter(c, b.idle)
	}
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
	return c.b.close(c)
}

// CloseWrite ends the sending side, which net/http does some time before it closes: a close with bytes unread would
// reset the last answer away.
func (c *client) CloseWrite() error {
	c.b.mu.Lock()
	c.b.enter(c, c.b.leaving)
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
