package clientlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// connKey is the key of the Conn in the context of its requests.
type connKey struct{}

// Attach makes a server tell the connections of Listeners where heads, bodies and requests end. It is called before the server serves.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			ctx, c.cancel = context.WithCancel(ctx)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.endResponse()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			hasBody := r.ContentLength != 0
			c.endHead(hasBody)
			if hasBody { // in a copy: net/http looks at the type of the body to see whether the connection can be used again
				body := &countedBody{ReadCloser: r.Body, conn: c}
				r = r.WithContext(r.Context())
				r.Body = body
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// countedBody is a body that tells its connection what has arrived.
type countedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *countedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.conn.transfer.received(int64(n), time.Now())
	if err != nil {
		b.conn.enter(stateServing)
	}
	return n, err
}

// endHead begins the body of a request. The memory of the head stays reserved.
func (c *Conn) endHead(hasBody bool) {
	next := stateServing
	if hasBody {
		next = stateBody
	}
	c.enter(next)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.head != nil {
		c.head.Arrived()
	}
}

// endResponse ends a request whose response was written. A connection with a lost part of the next request is about to be closed.
func (c *Conn) endResponse() {
	next := stateIdle
	if c.readAhead.hasOverflowed() {
		next = stateClosing
	}
	c.endRequest(next)
}

// endRequest releases the memory of a head. What is read next belongs to another one.
func (c *Conn) endRequest(next state) {
	c.stopReadAhead()
	c.enter(next)
	if next == stateIdle {
		c.sendBuffer.Rests(c.Conn)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
	c.headBytes, c.headMemory = 0, 0
}
