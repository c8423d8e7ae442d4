package backend

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/router/transport"
)

// The errors of an exchange. Test for them by errors.Is of github.com/cockroachdb/errors: errors are marked with them, which
// errors.Is of the standard library does not detect.
var (
	ErrNotSent      = errors.New("the request was not sent") // not a single byte of it
	ErrBroken       = errors.New("the exchange failed")      // the request may have run, unless it is ErrNotSent too
	ErrNoConnection = errors.New("no connection is free")    // the limit is reached and none is idle; nothing was sent
)

const (
	dialTimeout     = 400 * time.Millisecond
	tcpUserTimeout  = time.Second // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged before the connection fails
	defaultMaxIdle  = 10 * time.Second
	minMaxIdle      = 500 * time.Millisecond
	idleMargin      = 400 * time.Millisecond // subtracted from the server's Keep-Alive timeout
	readBufferBytes = 4 << 10
)

// Pool holds the connections to one server. It is created by NewPool. Its methods may be called from any goroutine.
type Pool struct {
	address     string
	connections *Connections // of all pools

	mutex   sync.Mutex    // guards the fields below
	idle    []*conn       // ordered by the time at which they became idle, the latest at the end
	open    int           // number of connections that are idle, in use or being opened
	limit   int           // of open
	maxIdle time.Duration // how long a connection may be idle and still be reused
	closed  bool
	opened  int // number of connections dialed so far
}

// conn is one connection, in use by one exchange or idle.
type conn struct {
	net.Conn
	pool       *Pool
	sendBuffer sock.SendBuffer
	reader     *bufio.Reader
	idleSince  time.Time
	exchanges  int // number of completed exchanges; 0 for a new connection
}

// NewPool returns a pool of at most limit connections to a server's address, which count among those of all pools. It opens none yet.
func NewPool(address string, limit int, connections *Connections) *Pool {
	return &Pool{address: address, connections: connections, limit: max(1, limit), maxIdle: defaultMaxIdle}
}

// Address returns the server's address, HOST:PORT.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the limit on the number of connections. Connections above a lower limit stay open.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	p.limit = max(1, limit)
	p.mutex.Unlock()
}

// HasCapacity reports whether a request can currently get an idle connection or open one. The result may be outdated when Do is
// called.
func (p *Pool) HasCapacity() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// Close closes the idle connections. A connection in use is closed when its exchange ends; exchanges in progress continue. It is
// called when the server must not be used for new requests.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mutex.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Prune closes the connections that have been idle for longer than they may be reused.
func (p *Pool) Prune() {
	p.mutex.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleSince) > p.maxIdle {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.open -= len(expired)
	p.mutex.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// get returns an idle connection that may be reused, or a new one. It closes the idle connections that it finds too old, closed by
// the server or with unexpected data.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c, maxIdle, err := p.takeIdleOrReserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			if c, err = p.dial(ctx); err != nil {
				p.releaseSlot()
			}
			return c, err
		}
		if time.Since(c.idleSince) < maxIdle && sock.Quiet(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
}

// serverGone reports whether the server accepts no connections, although its end was not announced. It is called for a connection that the
// server, or the kernel for it, has ended, and opens another one in its place, which is kept for later requests. Idle connections say nothing:
// the kernel may not have ended them yet. The end of the exchange's context does not end it, because the response has arrived by then.
func (p *Pool) serverGone(ended *conn) bool {
	ended.close()
	p.mutex.Lock()
	announced := p.closed
	if !announced {
		p.opened++
	}
	p.mutex.Unlock()
	if announced {
		p.releaseSlot()
		return false
	}
	c, usable, presence := sock.Probe(func() (*conn, error) { return p.dial(context.Background()) }, (*conn).close)
	if usable {
		p.makeIdle(c, 0)
	} else {
		p.releaseSlot()
	}
	return presence == sock.Gone
}

// takeIdleOrReserve removes and returns the connection that became idle last, and how long it may have been idle to be reused. If
// there is none, it returns a nil connection after it has reserved a new one, which the caller must dial, or ErrNoConnection.
func (p *Pool) takeIdleOrReserve() (*conn, time.Duration, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, p.maxIdle, nil
	}
	if p.open >= p.limit {
		return nil, 0, ErrNoConnection
	}
	p.open++
	p.opened++
	return nil, 0, nil
}

// dial opens a connection that has been reserved by takeIdleOrReserve. If it fails, the caller must release the slot.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if !p.connections.acquire(p) {
		return nil, ErrNoConnection
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: transport.UserTimeout(tcpUserTimeout), KeepAlive: -1}
	tcpConn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.connections.release(p)
		return nil, errors.Mark(err, ErrNotSent)
	}
	sock.SetBuffers(tcpConn, p.connections.bufferBytes)
	c := &conn{Conn: tcpConn, pool: p, reader: bufio.NewReaderSize(tcpConn, readBufferBytes)}
	c.sendBuffer.Init(p.connections.sendBuffers)
	return c, nil
}

// discard closes a connection that is not among the idle ones.
func (p *Pool) discard(c *conn) {
	c.close()
	p.releaseSlot()
}

// releaseSlot subtracts a connection that is closed, or could not be opened, from the open ones.
func (p *Pool) releaseSlot() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// close closes a connection, once. The error does not matter, because its exchange has ended.
func (c *conn) close() {
	_ = c.Close()
	c.sendBuffer.Ends()
	c.pool.connections.release(c.pool)
}

// put makes a connection idle after a complete exchange. It closes the connection instead if the pool is closed or more bytes
// have arrived than the response had. keepAlive is the timeout that the server sent for idle connections; 0 if it sent none.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	_ = c.SetDeadline(time.Time{}) // if it fails, the next use of the connection fails too
	c.sendBuffer.Rests(c.Conn)
	c.exchanges++
	p.makeIdle(c, keepAlive)
}

// makeIdle adds a connection to the idle ones, or closes it as put says.
func (p *Pool) makeIdle(c *conn, keepAlive time.Duration) {
	c.idleSince = time.Now()
	p.mutex.Lock()
	if keepAlive > 0 {
		p.maxIdle = min(p.maxIdle, max(keepAlive-idleMargin, keepAlive/2))
	}
	usable := !p.closed && c.reader.Buffered() == 0
	if usable {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mutex.Unlock()
	if !usable {
		c.close()
	}
}

// shortenMaxIdle reduces maxIdle after an exchange on a reused connection failed, as it does where the server closed the idle
// connection earlier than expected.
func (p *Pool) shortenMaxIdle(c *conn) {
	p.mutex.Lock()
	p.maxIdle = max(minMaxIdle, min(p.maxIdle, time.Since(c.idleSince)*3/4))
	p.mutex.Unlock()
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header; 0 if it has none.
func parseKeepAlive(header string) time.Duration {
	for parameter := range strings.SplitSeq(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout="); ok {
			if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
				return time.Duration(seconds * float64(time.Second))
			}
		}
	}
	return 0
}
