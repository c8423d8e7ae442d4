// Package backend sends requests to one server over HTTP/1.1 and tells what became of each: whether it may have run.
//
// It sends nothing twice and uses no connection on which anything came that nobody asked for. What Go's own client would do
// by itself (repeat a request on a new connection) is why that is not used here.
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

// The errors of an exchange. ErrNotSent: no byte of the request left. ErrBroken: it may have run.
var (
	ErrNotSent      = errors.New("the request was not sent")
	ErrBroken       = errors.New("the exchange broke off")
	ErrNoConnection = errors.New("no connection is free")
)

const (
	dialTimeout = 400 * time.Millisecond
	deadPeer    = time.Second
	idleMost    = 10 * time.Second
	idleMargin  = 400 * time.Millisecond
	readBuffer  = 4 << 10
)

// Pool holds the connections to one server.
type Pool struct {
	address string

	mutex    sync.Mutex
	idle     []*conn
	open     int
	limit    int
	idleTime time.Duration // for which an idle connection is good
	closed   bool
	opened   int // connections made
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time // when it became idle
	uses   int
}

// NewPool makes a pool; limit bounds the connections.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: max(1, limit), idleTime: idleMost}
}

// Address is where the server is.
func (p *Pool) Address() string { return p.address }

// SetLimit bounds the connections anew.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	p.limit = max(1, limit)
	p.mutex.Unlock()
}

// HasCapacity reports whether a request would find a connection or may open one.
func (p *Pool) HasCapacity() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 || p.open < p.limit
}

// Close closes the idle connections, and the others as they become idle.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mutex.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune() {
	p.mutex.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.since) > p.idleTime {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.open -= len(old)
	p.mutex.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// get takes an idle connection that is good, or opens one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		p.mutex.Lock()
		n := len(p.idle)
		if n == 0 {
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		idle := p.idleTime
		p.mutex.Unlock()
		if time.Since(c.since) < idle && sock.Quiet(c.Conn) {
			return c, nil
		}
		p.drop(c)
	}
	if p.open >= p.limit {
		p.mutex.Unlock()
		return nil, ErrNoConnection
	}
	p.open++
	p.opened++
	p.mutex.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout, Control: transport.UserTimeout(deadPeer), KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		return nil, errors.Mark(err, ErrNotSent)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *Pool) drop(c *conn) {
	c.Close()
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// put gives a connection back whose exchange ended whole.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.SetDeadline(time.Time{})
	c.since = time.Now()
	c.uses++
	p.mutex.Lock()
	if keep > 0 {
		p.idleTime = min(p.idleTime, max(keep-idleMargin, keep/2))
	}
	ok := !p.closed && c.reader.Buffered() == 0
	if ok {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mutex.Unlock()
	if !ok {
		c.Close()
	}
}

// lostIdle learns that a connection was closed by the server while it was idle.
func (p *Pool) lostIdle(c *conn) {
	p.mutex.Lock()
	p.idleTime = max(500*time.Millisecond, min(p.idleTime, time.Since(c.since)*3/4))
	p.mutex.Unlock()
}

// keepAlive reads the time of a Keep-Alive header.
func keepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.ParseFloat(value, 64); err == nil && n > 0 {
				return time.Duration(n * float64(time.Second))
			}
		}
	}
	return 0
}
