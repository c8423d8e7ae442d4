// Package connlimit is the listener of a front that speaks HTTP: it carries out what package admit decides. It knows of a
// connection whether a request is open on it, not what is in it.
//
// Invariants: no more than the given number of connections are open, besides some that are being turned away; Accept
// never waits for any of them; a connection with a request open, with bytes unread, or with a part of an answer that the client's
// machine does not have yet is never closed to make room. Of a request that is read after that nothing is passed on, and a close
// over unread bytes takes no answer with it. A client that has gone is noticed whatever it sent before.
package connlimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admit"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

const (
	// TurnedAway is how many connections are being turned away at once.
	TurnedAway   = 8
	turnAwayTime = 500 * time.Millisecond
)

// Limiter bounds a listener's open connections: the descriptors are needed elsewhere. One too many takes the place of another,
// or gets a prompt 503. Accept never waits for any of them: clients that say nothing must not stop the others.
type Limiter struct {
	net.Listener
	Memory *membudget.Budget // the account of what is held that clients send ahead; nil: no bound on all of them together
	in     time.Duration     // within which a request must be in
	away   chan struct{}

	mu    sync.Mutex
	admit *admit.Door
}

// client is a connection of the application.
type client struct {
	net.Conn
	b      *Limiter
	cancel context.CancelFunc // ends what is done for its requests
	ahead  ahead
	ended  atomic.Bool // the client's end has been seen

	unfinished atomic.Bool // an end of it now would pass for that of an answer

	// Guarded by Limiter.mu:
	place  admit.Conn
	due    time.Time // when its present request must be in: the first counts from the connection's start
	asked  bool
	closed bool
	begun  bool // something has come since its last answer; a whole head is told by State
	head   head
}

// New bounds a listener; a request must be in within a time of its connection's start, or of its own first byte.
func New(ln net.Listener, c admit.Config, in time.Duration) *Limiter {
	return &Limiter{Listener: ln, in: in, away: make(chan struct{}, TurnedAway), admit: admit.New(c, time.Now())}
}

// Accept gives the next connection that has a place.
func (b *Limiter) Accept() (net.Conn, error) {
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
func (b *Limiter) place(nc net.Conn) *client {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	c := &client{Conn: nc, b: b, due: now.Add(b.in), cancel: func() {}}
	c.place.Owner = c
	victim, taken := b.admit.Come(&c.place, now, func(p *admit.Conn) bool { return p.Owner.(*client).spare() })
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
func (b *Limiter) Answers(ctx context.Context) bool {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Answers(&c.place, time.Now()) || c.ahead.dropped()
}

// Open is how many connections hold a place.
func (b *Limiter) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Held()
}

// SetPlaces bounds the connections anew. Those above it stay until they end.
func (b *Limiter) SetPlaces(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admit.Places = n
}

// CloseIdlers closes connections that have been silent for a time and on which nothing has come in. Those that never asked
// are given admit.FirstCall at least.
func (b *Limiter) CloseIdlers(silent time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, p := range b.admit.Idlers(now, silent) {
		if c := p.Owner.(*client); c.idle() {
			c.closed = true
			c.end(now)
		}
	}
}

// Figures are what the limiter did and holds.
func (b *Limiter) Figures() admit.Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admit.Figures()
}

// State follows the connections, as http.Server.ConnState tells.
func (b *Limiter) State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if !ok {
		return
	}
	if s == http.StateIdle {
		c.ahead.next()
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
		c.begun = c.head.next()
	}
}

// Read notes a request's first byte at once: net/http tells of one when it has read the whole head, and until then a
// connection would pass for one that asks for nothing and can be closed at no loss. What was read at the moment at which the
// limiter closed the connection is dropped: nothing may come of a request that cannot be answered any more.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.ahead.take(p, c.b.free)
	if n == 0 && err == nil {
		if n, err = c.Conn.Read(p); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.ended.Store(true)
		}
	}
	if n == 0 {
		return n, err
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.begun = true
	if c.head.add(p[:n], len(p) == 1) { // net/http has seen that more follows, and looks no further
		c.sawAhead()
	}
	return n, err
}

// gone: the client's end has been seen. What is done for it ends.
func (c *client) gone() {
	c.ended.Store(true)
	c.cancel()
}

// Gone looks whether the client of a handler's request has gone, also where nobody was told yet.
func (b *Limiter) Gone(ctx context.Context) bool {
	c, ok := ctx.Value(clientKey{}).(*client)
	return ok && (c.ended.Load() || sock.Ended(c.Conn))
}

// Unfinished says whether an answer is under way on the connection of a handler's request whose end is that of the connection:
// one that breaks off then ends by a reset, for nobody may take it for whole.
func (b *Limiter) Unfinished(ctx context.Context, is bool) {
	if c, ok := ctx.Value(clientKey{}).(*client); ok {
		c.unfinished.Store(is)
	}
}

// hold asks for room for what comes ahead.
func (b *Limiter) hold(n int64) bool { return b.Memory == nil || b.Memory.TryAcquire(n) }

// free gives back what was held ahead.
func (b *Limiter) free(n int64) {
	if b.Memory != nil && n > 0 {
		b.Memory.Release(n)
	}
}

// idle reports whether nothing of a request has come. The caller holds Limiter.mu.
func (c *client) idle() bool { return !c.begun && c.quiet() }

// spare reports whether no whole head has come: what there is may be given up for another, at once. A request that comes in this
// moment resets the connection, and what the client's machine does not have by then of an answer is lost. The caller holds
// Limiter.mu.
func (c *client) spare() bool { return !c.head.whole && c.quiet() && !sock.Unsent(c.Conn) }

// quiet reports whether nothing of a request waits to be read.
func (c *client) quiet() bool { return c.ahead.empty() && sock.Quiet(c.Conn) }

// head is the head of the present request as it came, unless the request came in one piece with the one before it. It is
// guarded by Limiter.mu.
type head struct {
	text  []byte
	whole bool
	ahead []byte // what net/http read of the next request while this one was in work: it does so byte by byte
}

// next begins with another request.
func (h *head) next() (begun bool) {
	h.text, h.whole = append(h.text[:0], h.ahead...), false
	h.ahead = h.ahead[:0]
	return len(h.text) > 0
}

// add takes in what came, and reports whether it is a byte ahead.
func (h *head) add(p []byte, single bool) (ahead bool) {
	if h.whole && single {
		h.ahead = append(h.ahead, p...)
		return true
	}
	if h.whole || len(h.text) > message.MaxHead {
		return false
	}
	before := max(0, len(h.text)-3) // the end may lie across two reads
	h.text = append(h.text, p...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(h.text[before:], []byte(end)); i >= 0 {
			h.text, h.whole = h.text[:before+i+len(end)], true
		}
	}
	return false
}

// Head is the head of a handler's request as it came; nil where it did not come on its own.
func (b *Limiter) Head(ctx context.Context) []byte {
	if c, ok := ctx.Value(clientKey{}).(*client); ok {
		b.mu.Lock()
		defer b.mu.Unlock()
		if c.head.whole {
			return c.head.text
		}
	}
	return nil
}

type clientKey struct{}

// Context lets a handler know the request's connection; it is for http.Server.ConnContext.
func (b *Limiter) Context(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*client); ok {
		ctx, c.cancel = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, clientKey{}, nc)
}

// Due is when the request of a handler's context must be in.
func (b *Limiter) Due(ctx context.Context) time.Time {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return time.Now().Add(b.in)
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.due
}

// lingerTime is how long a connection that has ended waits for its client to take the rest of its last answer.
const lingerTime = 500 * time.Millisecond

// Close gives the connection's place free, at once or when its client has its last answer: bytes that are unread, or still come,
// would reset that away.
func (c *client) Close() error {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.cancel()
	c.ahead.drop(c.b.free)
	now := time.Now()
	if c.unfinished.Load() {
		c.b.admit.Gone(&c.place, now)
		return sock.Abort(c.Conn)
	}
	return c.end(now)
}

// end closes the connection, at once or when its client has its last answer. The caller holds Limiter.mu.
func (c *client) end(now time.Time) error {
	t, half := c.Conn.(closeWriter)
	if c.ended.Load() || !half || !sock.Unsent(c.Conn) {
		c.b.admit.Gone(&c.place, now)
		return c.Conn.Close()
	}
	c.b.admit.Leaves(&c.place, now)
	t.CloseWrite()
	c.Conn.SetReadDeadline(now.Add(lingerTime))
	go func() {
		io.Copy(io.Discard, c.Conn)
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.admit.Gone(&c.place, time.Now())
		c.Conn.Close()
	}()
	return nil
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
	io.Copy(io.Discard, io.LimitReader(c, message.Short))
}
