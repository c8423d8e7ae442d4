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

// The errors of an exchange. An error may be marked with them: they are found by Is of github.com/cockroachdb/errors,
// not by that of the standard library.
var (
	ErrNotSent      = errors.New("the request was not sent") // no byte of it left
	ErrBroken       = errors.New("the exchange broke off")   // it may have run
	ErrNoConnection = errors.New("no connection is free")    // and the limit is reached; nothing was sent
)

const (
	dialTimeout    = 400 * time.Millisecond
	userTimeout    = time.Second // without an acknowledgement of what was sent, after which a connection fails
	defaultMaxIdle = 10 * time.Second
	minMaxIdle     = 500 * time.Millisecond
	idleMargin     = 400 * time.Millisecond // less than the server says that it keeps an idle connection
	readBuffer     = 4 << 10
)

// Pool is the connections to one server. Make it by NewPool; its methods may be called from any goroutine.
type Pool struct {
	address string

	mutex   sync.Mutex // guards all below
	idle    []*conn    // the last one became idle last
	open    int        // connections, idle ones included
	limit   int
	maxIdle time.Duration // how long an idle connection is used
	closed  bool
	opened  int // connections made since the start
}

// conn is one connection, in use by one exchange or idle.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	exchanges int // that ended on it
}

// NewPool returns a pool without connections to a server's address; limit bounds their number.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: max(1, limit), maxIdle: defaultMaxIdle}
}

// Address returns the server's address, HOST:PORT.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the bound on the connections. Open ones beyond it are kept.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	p.limit = max(1, limit)
	p.mutex.Unlock()
}

// HasCapacity reports whether a request would find a connection or may open one, as of now: by the time of Do that may
// have changed.
func (p *Pool) HasCapacity() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// Close closes the idle connections, and has the others closed when their exchange ends. It is called when the server
// may not be used any more; exchanges in progress go on.
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

// Prune closes connections that have been idle for too long.
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

// get returns an idle connection that may be used, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c, maxIdle, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleSince) < maxIdle && sock.Quiet(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle takes an idle connection, and returns how long one may have been idle. Where there is none it counts a new
// one, which the caller opens, or returns ErrNoConnection.
func (p *Pool) takeIdle() (*conn, time.Duration, error) {
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

// dial opens a connection that has been counted.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: transport.UserTimeout(userTimeout), KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.uncount()
		return nil, errors.Mark(err, ErrNotSent)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// drop closes a connection that is not idle.
func (p *Pool) drop(c *conn) {
	c.close()
	p.uncount()
}

func (p *Pool) uncount() {
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// close closes a connection. What it was used for has ended, so that its error means nothing.
func (c *conn) close() { _ = c.Close() }

// put makes a connection idle whose exchange ended completely; keepAlive is how long the server says that it keeps it,
// 0 where it does not.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	_ = c.SetDeadline(time.Time{}) // where it fails the connection does, at the next use
	c.idleSince = time.Now()
	c.exchanges++
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

// shortenMaxIdle learns from a connection that the server closed while it was idle.
func (p *Pool) shortenMaxIdle(c *conn) {
	p.mutex.Lock()
	p.maxIdle = max(minMaxIdle, min(p.maxIdle, time.Since(c.idleSince)*3/4))
	p.mutex.Unlock()
}

// parseKeepAlive parses the time-out in a Keep-Alive header; 0: it has none.
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
