// Package http1 implements upstream.Servers over HTTP/1.1 and plain TCP. Connections carry one request at a time and are reused; their
// number is limited for all servers together.
//
// It never sends a request twice, and does not use a connection on which unexpected bytes arrived. The client of net/http is not
// used because it may repeat a request on a new connection and follows redirects, which must not happen here.
//
// Files: pool.go (connections), endpoint.go (one server), exchange.go (one call), request_writer.go (streamed request bodies),
// response_reader.go and response.go (responses, buffered or streamed), load_report.go.
package http1

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/upstream/reuse"
)

// Settings configure a pool.
type Settings struct {
	MaxConnections   int               // open at once, over all servers
	ConnectTimeout   time.Duration     // for opening one connection
	IdleTimeout      time.Duration     // after which an idle connection is closed
	DrainGrace       time.Duration     // how long requests may still be sent to a server after it stopped accepting them
	ResponseBudget   *membudget.Budget // the memory for buffered responses
	LoadReportFields []string          // in the order of a load report's values
	HealthCheckPath  string
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the connections to servers. It is safe for concurrent use.
type Pool struct {
	Settings
	dial  Dial
	epoch time.Time // origin of the times that are stored as atomic integers

	mu                sync.Mutex
	idleEstimator     reuse.Estimator
	openConnections   int
	callsBeforeBody   int                    // calls in progress whose streamed body has not begun
	endpointsWithIdle map[*endpoint]struct{} // the endpoints with idle connections
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	endpoint  *endpoint
	addr      string
	used      bool // it has carried an exchange
	idleTimer *time.Timer

	// Guarded by Pool.mu:
	idleSince time.Time
	counted   bool // included in Pool.openConnections
}

// New returns a pool that opens connections with dial. It starts no goroutine, and nothing but its connections needs to be
// closed.
func New(s Settings, dial Dial) *Pool {
	return &Pool{Settings: s, dial: dial, epoch: time.Now().Add(-1), endpointsWithIdle: map[*endpoint]struct{}{}}
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// SetMaxConnections changes the limit. Connections above a lower limit are not closed for it.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.MaxConnections = n
}

// closeIdle closes the idle connections of an endpoint.
func (p *Pool) closeIdle(e *endpoint) {
	p.mu.Lock()
	idle := e.idle
	e.idle = nil
	delete(p.endpointsWithIdle, e)
	p.mu.Unlock()
	for _, c := range idle {
		c.idleTimer.Stop()
		p.closeConn(c)
	}
}

// errConnectionLimit means that the limit on connections is reached, which says nothing about the server.
var errConnectionLimit = errors.New("all connections are in use")

// connect returns the newest idle connection, which the server is least likely to have closed, or opens one. It closes idle
// connections that were idle for too long, that the server has closed, or on which unexpected bytes arrived.
func (p *Pool) connect(ctx context.Context, e *endpoint) (*conn, error) {
	for {
		c := p.takeIdle(e)
		if c == nil {
			return p.open(ctx, e)
		}
		if !p.idleTooLong(c) && sock.Quiet(c.Conn) {
			return c, nil
		}
		p.closeConn(c)
	}
}

// idleTooLong reports whether a connection was idle for so long that it is likely to break.
func (p *Pool) idleTooLong(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return now.Sub(c.idleSince) > p.idleEstimator.MaxIdle(now)
}

// takeIdle removes the newest idle connection from the pool and returns it, or returns nil if there is none.
func (p *Pool) takeIdle(e *endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	p.removeIdle(c, n-1)
	return c
}

// removeIdle removes the idle connection at position i of its endpoint. The caller holds mu.
func (p *Pool) removeIdle(c *conn, i int) {
	c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	if len(c.endpoint.idle) == 0 {
		delete(p.endpointsWithIdle, c.endpoint)
	}
	c.idleTimer.Stop()
}

// open opens a connection. At the limit it closes the connection that has been idle the longest and takes its place.
func (p *Pool) open(ctx context.Context, e *endpoint) (*conn, error) {
	addr, evicted, err := p.reserveConnection(e)
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		p.closeConn(evicted)
	}
	ctx, cancel := context.WithTimeout(ctx, p.ConnectTimeout)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.openConnections--
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, endpoint: e, addr: addr, counted: true}, nil
}

// reserveConnection counts a connection that is about to be opened, and returns the endpoint's address. At the limit it returns
// the connection that has been idle the longest, of any endpoint; it is no longer counted, and the caller must close it.
func (p *Pool) reserveConnection(e *endpoint) (addr string, evicted *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConnections < p.MaxConnections {
		p.openConnections++
		return e.addr, nil, nil
	}
	for other := range p.endpointsWithIdle {
		if evicted == nil || other.idle[0].idleSince.Before(evicted.idleSince) {
			evicted = other.idle[0]
		}
	}
	if evicted == nil {
		return "", nil, errConnectionLimit
	}
	p.removeIdle(evicted, 0)
	evicted.counted = false
	return e.addr, evicted, nil
}

// serverGone closes a connection that the server, or the kernel for it, has ended, and reports whether the server accepts no connections any
// more, although its end was not announced.
func (p *Pool) serverGone(c *conn) bool {
	_ = c.Close() // closeConn follows
	if c.endpoint.notAcceptingSince.Load() > 0 {
		return false
	}
	opened, usable, presence := sock.Probe(func() (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), p.ConnectTimeout)
		defer cancel()
		return p.dial(ctx, "tcp", c.addr)
	}, func(opened net.Conn) { _ = opened.Close() }) // nothing was sent on it
	if usable {
		_ = opened.Close() // the same
	}
	return presence == sock.Gone
}

// closeConn closes a connection that is not in the pool.
func (p *Pool) closeConn(c *conn) {
	_ = c.Close() // its exchange has ended, or will get an error from the connection
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.counted {
		c.counted = false
		p.openConnections--
	}
}

// putIdle puts a connection into the pool, or closes it if the server has moved or does not accept requests. An idle connection
// is closed after IdleTimeout, before the server would close it.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	if c.addr != c.endpoint.addr || c.endpoint.notAcceptingSince.Load() != 0 {
		p.mu.Unlock()
		p.closeConn(c)
		return
	}
	defer p.mu.Unlock()
	c.used, c.idleSince = true, time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	p.endpointsWithIdle[c.endpoint] = struct{}{}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(p.IdleTimeout, func() { p.expireIdle(c) })
	} else {
		c.idleTimer.Reset(p.IdleTimeout)
	}
}

// expireIdle closes a connection that has been idle for IdleTimeout, unless it was used meanwhile.
func (p *Pool) expireIdle(c *conn) {
	p.mu.Lock()
	i := slices.Index(c.endpoint.idle, c)
	if i < 0 || time.Since(c.idleSince) < p.IdleTimeout {
		p.mu.Unlock()
		return
	}
	p.removeIdle(c, i)
	p.mu.Unlock()
	p.closeConn(c)
}
