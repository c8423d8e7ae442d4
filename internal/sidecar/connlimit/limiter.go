// Package connlimit limits the number of client connections of an HTTP front. It is the front's listener and carries out the
// decisions of package admission. It tracks whether a request is in progress on a connection, and looks no further into a request
// than the end of its head.
//
// Invariants: no more than MaxConnections are open, besides up to MaxRejecting that are being rejected. Accept does not wait for
// the client of any connection. A connection with a request in progress, with unread bytes, or with response bytes that the
// client's machine has not acknowledged is never closed for a new one. Bytes of a request that are read after its connection was
// closed are dropped. If unread bytes remain when a connection is closed, the end of the last response still reaches the client,
// although a plain close would then send a reset and could discard it. A client that closes its connection is noticed, whatever
// it sent before.
//
// Locks: Limiter.mu guards the admission controller and those fields of each client that are marked so; readAhead.mu guards the
// bytes that were read ahead. Neither is held during a blocking read or write. Code that needs both takes Limiter.mu first.
package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
)

const (
	// MaxRejecting is how many connections may be rejected with a response at the same time; further ones are closed at once.
	MaxRejecting = 8
	// rejectTimeout limits the rejection of one connection.
	rejectTimeout = 500 * time.Millisecond
)

// Limiter is a listener with a bounded number of open connections; the remaining file descriptors are needed for servers. A
// connection beyond the bound replaces an idle one or gets a prompt 503. Its methods may be called from any goroutine.
type Limiter struct {
	net.Listener
	// ReadAheadBudget bounds the total memory for bytes that clients send before the response to their previous request has
	// ended; nil means no bound. It is set before the first Accept.
	ReadAheadBudget *membudget.Budget
	// SendBuffers lends buffers for long responses; nil: none are needed. It is set before the first Accept.
	SendBuffers *sock.SendBuffers

	requestTimeout time.Duration // within which a request must arrive completely
	rejecting      chan struct{} // semaphore: holds a value for each connection that is being rejected

	mu        sync.Mutex
	admission *admission.Controller
}

// New returns a limiter that accepts connections from ln. A request has to arrive completely within requestTimeout of its first
// byte; the first request of a connection, within requestTimeout of the connection's start.
func New(ln net.Listener, c admission.Config, requestTimeout time.Duration) *Limiter {
	return &Limiter{
		Listener:       ln,
		requestTimeout: requestTimeout,
		rejecting:      make(chan struct{}, MaxRejecting),
		admission:      admission.New(c, time.Now()),
	}
}

// Accept returns the next connection that is admitted. It rejects or closes the others.
func (l *Limiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		select {
		case l.rejecting <- struct{}{}:
			go func() {
				reject(conn)
				<-l.rejecting
			}()
		default:
			conn.Close()
		}
	}
}

// admit returns the client of an admitted connection, or nil if the connection is rejected. It closes the connection that was
// evicted for it.
func (l *Limiter) admit(conn net.Conn) *client {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c := &client{Conn: conn, limiter: l, requestDeadline: now.Add(l.requestTimeout), cancel: func() {}}
	c.record.Owner = c
	c.sendBuffer.Init(l.SendBuffers)
	evictable := func(record *admission.Conn) bool { return record.Owner.(*client).evictable() }
	evicted, admitted := l.admission.Admit(&c.record, now, evictable)
	if evicted != nil {
		other := evicted.Owner.(*client)
		other.closed = true
		other.sendBuffer.Ends()
		other.Conn.Close()
	}
	if !admitted {
		return nil
	}
	return c
}

// reject answers 503 and closes the connection. Before that it reads what the client sends, for up to rejectTimeout, because
// closing a connection with unread bytes sends a reset, which can discard the response.
func reject(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(rejectTimeout))
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if half, ok := c.(closeWriter); ok {
		_ = half.CloseWrite() // the connection is closed in any case
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, message.MaxBuffered)) // up to the deadline
}

// Open returns how many connections are open.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Open()
}

// SetMaxConnections changes the bound. Connections beyond a lower bound stay open until they end.
func (l *Limiter) SetMaxConnections(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.MaxConnections = n
}

// CloseIdle closes the connections that have been idle for at least minIdle and have no unread bytes. A connection that never
// sent a request is kept for at least admission.FirstRequestGrace.
func (l *Limiter) CloseIdle(minIdle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, record := range l.admission.IdleFor(now, minIdle) {
		if c := record.Owner.(*client); c.idle() {
			c.closed = true
			_ = c.closeWhenDelivered(now) // nothing more is written to it
		}
	}
}

// Stats returns the current connections and the totals.
func (l *Limiter) Stats() admission.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Stats()
}

// ConnState records changes of the state of connections. It is for http.Server.ConnState.
func (l *Limiter) ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*client)
	if !ok {
		return
	}
	if s == http.StateIdle {
		c.readAhead.startNext()
		c.sendBuffer.Rests(c.Conn)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch now := time.Now(); s {
	case http.StateActive:
		if l.admission.RequestStarted(&c.record, now); c.requested {
			c.requestDeadline = now.Add(l.requestTimeout)
		}
		c.requested = true
	case http.StateIdle:
		l.admission.ResponseDone(&c.record, now)
		c.partialRequest = c.head.startNext()
	}
}

// clientKey is the key under which the context of a request holds its client.
type clientKey struct{}

// ConnContext adds the connection to the context of its requests, for the methods that take a handler's context. It is for
// http.Server.ConnContext.
func (l *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*client); ok {
		ctx, c.cancel = context.WithCancel(ctx)
	}
	return context.WithValue(ctx, clientKey{}, conn)
}

// clientOf returns the client of the request whose context ctx is.
func clientOf(ctx context.Context) (*client, bool) {
	c, ok := ctx.Value(clientKey{}).(*client)
	return c, ok
}

// ResponseStarted is called when a handler begins its response. It reports whether the response should close the connection.
func (l *Limiter) ResponseStarted(ctx context.Context) bool {
	c, ok := clientOf(ctx)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.ResponseStarted(&c.record, time.Now()) || c.readAhead.lost()
}

// SetResponseOpen sets whether a client would now take the end of the connection for the end of the response to a handler's
// request. While it is set, closing the connection sends a reset, so that no client takes a response that breaks off for a
// complete one; so does the end of the process.
func (l *Limiter) SetResponseOpen(ctx context.Context, open bool) {
	if c, ok := clientOf(ctx); ok && c.responseOpen.Swap(open) != open {
		_ = sock.ResetOnClose(c.Conn, open) // fails only on a closed connection
	}
}

// ClientGone reports whether the client of a handler's request has closed its connection. It checks the socket, so it may return
// true before the request's context ends.
func (l *Limiter) ClientGone(ctx context.Context) bool {
	c, ok := clientOf(ctx)
	return ok && (c.peerClosed.Load() || sock.Ended(c.Conn))
}

// RequestHead returns the head of a handler's request as it was received, or nil if it was received together with the previous
// request. The slice is valid until the response has ended.
func (l *Limiter) RequestHead(ctx context.Context) []byte {
	if c, ok := clientOf(ctx); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		if c.head.complete {
			return c.head.text
		}
	}
	return nil
}

// RequestDeadline returns the time by which a handler's request must have arrived completely.
func (l *Limiter) RequestDeadline(ctx context.Context) time.Time {
	c, ok := clientOf(ctx)
	if !ok {
		return time.Now().Add(l.requestTimeout)
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.requestDeadline
}

// reserve reserves memory for n bytes that are read ahead, and reports whether there was enough.
func (l *Limiter) reserve(n int64) bool {
	return l.ReadAheadBudget == nil || l.ReadAheadBudget.TryAcquire(n)
}

// release releases n bytes that reserve has reserved.
func (l *Limiter) release(n int64) {
	if l.ReadAheadBudget != nil && n > 0 {
		l.ReadAheadBudget.Release(n)
	}
}
