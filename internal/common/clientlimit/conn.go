package clientlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/sock"
)

const (
	// uncountedHeadMemory is the memory up to which the head of a request takes none that is reserved: nearly all are shorter.
	uncountedHeadMemory = 16 << 10
	// memoryPerHeadByte and memoryPerHeadLine are the bytes of memory that a byte and a line of a head take in buffers, strings and maps.
	memoryPerHeadByte = 2
	memoryPerHeadLine = 512
	// headSlackBytes is how much longer than the limit a head may be before its connection is refused: the server refuses the heads below
	// that itself, and what follows a head may have come in the same read.
	headSlackBytes = 8 << 10
	// maxWriteBytes is the largest single write, which a client has to take within writeTimeout.
	maxWriteBytes = 32 << 10
	writeTimeout  = 10 * time.Second
	// lingerTimeout is how long a client that still sends can read the last response, and maxLingerBytes how much of what it sends is dropped
	// meanwhile. lingerInterval is the time between two looks at whether the response has arrived.
	lingerTimeout  = time.Second
	maxLingerBytes = 32 << 20
	lingerInterval = 50 * time.Millisecond
)

// The responses to a head over the limit, and to one that does not arrive in time.
const (
	headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLate = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errHeadRefused ends a connection without a further response: it has the type that net/http takes for a broken connection.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is refused")}

// state is what a connection is used for.
type state int32

const (
	stateNew     state = iota // no byte has arrived
	stateIdle                 // between two requests
	stateHead                 // a part of a head has arrived
	stateBody                 // a part of a body has arrived
	stateServing              // a request has arrived completely
	stateClosing              // the last response was written
)

// usefulness ranks connections: one of a higher rank is closed first.
type usefulness int

const (
	useful     usefulness = iota
	notWaiting            // it has sent far more than a short request before it had its response
	notReading
	notSending
	hasRested
	neverUsed
	closing
)

// Conn is a connection of an HTTP server, which calls its methods. Heads of requests that are too long, or for which no memory is left,
// end it. A client has to read what is written within writeTimeout.
type Conn struct {
	net.Conn
	listener  *Listener
	cancel    context.CancelFunc // ends the contexts of its requests
	readAhead readAhead

	state      atomic.Int32 // a state
	entered    atomic.Int64 // time at which the state was entered, in nanoseconds since epoch
	received   atomic.Int64 // bytes in stateHead and stateBody
	refused    atomic.Bool  // the last response was sent by refuseHead
	writeBegan atomic.Int64 // time at which the write in progress began, in nanoseconds since epoch; 0: there is none
	writeError atomic.Bool  // a write has failed
	halfClosed atomic.Bool  // the direction to the client is closed, and it may still send

	sendBuffer sock.SendBuffer
	closing    sync.Once
	mutex      sync.Mutex   // guards the fields below
	head       *Reservation // of the request in progress; nil: its head is short
	headBytes  int64
	headMemory int64 // bytes, those that are not reserved included
}

// epoch is the time from which the times of connections are counted, so that they follow the monotonic clock.
var epoch = time.Now()

// enter sets the state.
func (c *Conn) enter(s state) {
	c.entered.Store(int64(time.Since(epoch)))
	c.received.Store(0)
	c.state.Store(int32(s))
}

// in reports whether the connection is in one of the states.
func (c *Conn) in(states ...state) bool {
	current := state(c.state.Load())
	for _, s := range states {
		if s == current {
			return true
		}
	}
	return false
}

// usefulness returns the rank of the connection, and the time for which it has had it.
func (c *Conn) usefulness(now time.Time) (usefulness, time.Duration) {
	elapsed := now.Sub(epoch) - time.Duration(c.entered.Load())
	if began := c.writeBegan.Load(); began != 0 {
		writing := now.Sub(epoch) - time.Duration(began)
		if writing > progressGrace {
			return notReading, writing
		}
		return useful, writing
	}
	switch state(c.state.Load()) {
	case stateClosing:
		return closing, elapsed
	case stateNew:
		if elapsed > progressGrace {
			return neverUsed, elapsed
		}
	case stateIdle:
		if elapsed > idleGrace {
			return hasRested, elapsed
		}
	case stateServing:
		if elapsed > progressGrace && c.readAhead.hasOverflowed() {
			return notWaiting, elapsed
		}
	case stateHead, stateBody:
		if stalled(c.received.Load(), elapsed) {
			return notSending, elapsed
		}
	}
	return useful, elapsed
}

// displace ends the connection for another one. What a client does not read is dropped, because the kernel would keep it.
func (c *Conn) displace() {
	if sock.Unsent(c.Conn) {
		_ = sock.Abort(c.Conn)
		return
	}
	_ = c.Conn.Close()
}

// Read implements net.Conn. It ends with errHeadRefused if the head that is being read is refused.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.in(stateHead) {
		c.limitHeadTime()
	}
	n, ok, err := c.readAhead.read(buffer)
	if !ok {
		n, err = c.Conn.Read(buffer)
	}
	if n <= 0 {
		if c.in(stateHead) && errors.Is(err, os.ErrDeadlineExceeded) {
			c.refuseHead(headTooLate)
		}
		return n, err
	}
	if len(buffer) == 1 && c.in(stateBody, stateServing) { // net/http has seen that the next request follows, and reads no further
		c.startReadAhead()
	}
	if c.in(stateNew, stateIdle) {
		c.enter(stateHead)
	}
	if c.in(stateHead) && !c.countHead(buffer[:n]) {
		return 0, errHeadRefused
	}
	return n, err
}

// limitHeadTime sets the deadline of a head of which a part has arrived. net/http replaces it when the head is complete.
func (c *Conn) limitHeadTime() {
	if timeout := c.listener.timeouts().HeadTimeout; timeout > 0 {
		c.Conn.SetReadDeadline(epoch.Add(time.Duration(c.entered.Load()) + timeout))
	}
}

// countHead counts bytes that were read, and reports whether they are within the limit and there is memory for them.
func (c *Conn) countHead(text []byte) bool {
	c.received.Add(int64(len(text)))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.headBytes += int64(len(text))
	taken := c.headMemory
	c.headMemory += headMemory(text)
	if c.headMemory <= uncountedHeadMemory {
		return true
	}
	if limit := c.listener.timeouts().HeadBytes; limit > 0 && c.headBytes > int64(limit+headSlackBytes) {
		c.refuseHead(headTooLong)
		return false
	}
	if c.head == nil {
		c.head = c.listener.memory.Reserve(func() { _ = c.Conn.Close() })
	}
	c.head.Received(int64(len(text)))
	if !c.head.Grow(context.Background(), c.headMemory-max(taken, uncountedHeadMemory), smallMessageBytes+1) {
		c.refuseHead(rejection)
		return false
	}
	return true
}

// headMemory returns the memory that a part of a head takes. What follows the head in the same read has no lines.
func headMemory(text []byte) int64 {
	head, _, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return memoryPerHeadByte*int64(len(text)) + memoryPerHeadLine*int64(bytes.Count(head, []byte("\n")))
}

// refuseHead sends a response to a head that net/http does not get whole. It would take the part that it has for a request that cannot be
// read, and its response to that is dropped. No other response is in progress.
func (c *Conn) refuseHead(response string) {
	c.listener.unreadable.Add(1)
	c.refused.Store(true)
	c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	io.WriteString(c.Conn, response)
	_ = c.CloseWrite() // the connection may have been reset
}

// Write implements net.Conn. A client that does not read ends it.
func (c *Conn) Write(text []byte) (written int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.sendBuffer.Writes(c.Conn, len(text))
	for first := true; first || len(text) > 0; first = false {
		now := time.Now()
		c.writeBegan.Store(int64(now.Sub(epoch)))
		c.Conn.SetWriteDeadline(now.Add(writeTimeout))
		n, err := c.Conn.Write(text[:min(len(text), maxWriteBytes)])
		written += n
		if err != nil {
			c.writeBegan.Store(0)
			c.writeError.Store(true)
			return written, err
		}
		text = text[n:]
	}
	c.writeBegan.Store(0)
	return written, nil
}

// SetReadDeadline implements net.Conn. A connection between two requests has no later deadline than the limits allow.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if idle := c.listener.timeouts().IdleTimeout; idle > 0 && c.in(stateIdle) && !deadline.IsZero() {
		if latest := time.Now().Add(idle); deadline.After(latest) {
			deadline = latest
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite closes the direction to the client. net/http does that before it closes a connection whose request it has not read completely,
// so that the client gets the response.
func (c *Conn) CloseWrite() error {
	c.enter(stateClosing)
	c.halfClosed.Store(true)
	if conn, ok := c.Conn.(closeWriter); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Where the client has not acknowledged all of the last response, or may not have read it because it still sends,
// the connection is kept for a bounded time.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.endRequest(stateClosing)
		c.cancel()
		c.readAhead.discard()
		switch {
		case c.writeError.Load(): // what the client has is no whole response
			_ = sock.Abort(c.Conn)
			c.end()
		case c.halfClosed.Load() || sock.Unsent(c.Conn):
			go c.linger()
		default:
			_ = c.Conn.Close()
			c.end()
		}
	})
	return nil
}

// linger reads and drops what the client sends until it ends, because closing a connection with unread bytes sends a reset, which can discard
// the response. It gives a client writeTimeout to acknowledge the response, and lingerTimeout from then on, and resets a connection whose
// client has not, because the kernel would keep what is unsent.
func (c *Conn) linger() {
	defer c.end()
	_ = c.CloseWrite() // the connection may have been reset
	buffer := make([]byte, 4<<10)
	began, dropped := time.Now(), 0
	for dropped < maxLingerBytes {
		elapsed := time.Since(began)
		if elapsed > writeTimeout || (elapsed > lingerTimeout && !sock.Unsent(c.Conn)) {
			break
		}
		c.Conn.SetReadDeadline(time.Now().Add(lingerInterval))
		n, err := c.Conn.Read(buffer)
		dropped += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break // the client has left
		}
	}
	if sock.Unsent(c.Conn) {
		_ = sock.Abort(c.Conn)
		return
	}
	_ = c.Conn.Close()
}

// end forgets a connection that is closed.
func (c *Conn) end() {
	c.sendBuffer.Ends()
	c.listener.remove(c)
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
			c.endRequest(stateIdle)
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
	b.conn.received.Add(int64(n))
	if err != nil {
		b.conn.enter(stateServing)
	}
	return n, err
}
