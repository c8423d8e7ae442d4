// Package http1 is the servers' side over HTTP/1.1 and plain TCP: connections that carry one request at a time, kept
// while they are of use, within a bound for all servers together. It is an upstream.Servers.
//
// It does not send again what was lost, nor use a connection on which anything came that nobody asked for. What Go's
// own client would do by itself (repeat a request on a new connection, follow a redirect) is why it is not used here.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
	"petrelhook/internal/sidecar/upstream/reuse"
)

// probeTimeout bounds a probe.
const probeTimeout = time.Second

// Settings are what the deployment says of connections to servers.
type Settings struct {
	MaxConnections   int               // connections at once
	ConnectTimeout   time.Duration     // the longest that one may take to come up
	IdleTimeout      time.Duration     // ... that one is kept while it carries nothing
	DrainGrace       time.Duration     // for which something may still go to a server after it was told to take nothing
	ResponseBudget   *membudget.Budget // the account of answers that are held back
	LoadReportFields []string          // of load reports, in the order of a report's figures
	HealthCheckPath  string            // path of a probe
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool holds the connections to servers. It is safe for concurrent use.
type Pool struct {
	Settings
	dial  Dial
	epoch time.Time // moments are counted from here where they must be atomic

	mu     sync.Mutex
	ages   reuse.Ages
	opened int
	all    map[*endpoint]struct{} // with idle connections
}

// endpoint is one server as the I/O goroutines see it.
type endpoint struct {
	u *Pool
	// offSince is when we were told that it drains or is gone, as time since the pool's epoch; 0: it takes requests.
	offSince atomic.Int64
	addr     string  // guarded by Pool.mu, as is idle
	idle     []*conn // newest last
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	to    *endpoint
	addr  string
	used  bool // it carried an exchange before
	timer *time.Timer

	// Guarded by Pool.mu:
	last    time.Time // when it became idle
	counted bool      // it has a place among the open ones
}

// New makes a pool; it has nothing to run and nothing to end but its connections.
func New(s Settings, dial Dial) *Pool {
	return &Pool{Settings: s, dial: dial, epoch: time.Now().Add(-1), all: map[*endpoint]struct{}{}}
}

// Open is how many connections there are.
func (u *Pool) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.opened
}

// SetMaxConnections bounds the connections anew. Those above it stay until they end.
func (u *Pool) SetMaxConnections(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.MaxConnections = n
}

// NewEndpoint makes an endpoint, which takes requests once Turn has told where it is.
func (u *Pool) NewEndpoint() upstream.Endpoint { return &endpoint{u: u} }

// CloseIdle closes the connections that carry nothing.
func (e *endpoint) CloseIdle() { e.u.closeIdle(e) }

// Send carries out a call, as upstream.Endpoint says.
func (e *endpoint) Send(ctx context.Context, c *upstream.Call) upstream.Outcome {
	return e.u.send(ctx, e, c)
}

// Update tells an endpoint where it listens and whether it takes requests. Idle connections that are of no more use
// are closed.
func (e *endpoint) Update(addr string, takes bool) {
	u := e.u
	if takes {
		e.offSince.Store(0)
	} else if e.offSince.Load() == 0 {
		e.offSince.Store(int64(time.Since(u.epoch)))
	}
	u.mu.Lock()
	moved := addr != "" && addr != e.addr
	if moved {
		e.addr = addr
	}
	u.mu.Unlock()
	if moved || !takes {
		u.closeIdle(e)
	}
}

func (u *Pool) closeIdle(e *endpoint) {
	u.mu.Lock()
	idle := e.idle
	e.idle = nil
	delete(u.all, e)
	u.mu.Unlock()
	for _, c := range idle {
		c.timer.Stop()
		u.drop(c)
	}
}

// errBusy: the bound on connections is ours; it says nothing of the server.
var errBusy = errors.New("all connections are in use")

// send carries out an attempt. It returns when the attempt has ended, or soon after ctx has, which gives the
// attempt up and closes its connection.
func (u *Pool) send(ctx context.Context, e *endpoint, c *upstream.Call) upstream.Outcome {
	cn, err := u.connect(ctx, e)
	if errors.Is(err, errBusy) {
		return upstream.Outcome{Result: upstream.NotSent, Err: err}
	}
	if err != nil {
		return upstream.Outcome{Result: upstream.ConnectFailed, Err: err}
	}
	// A connection may take long to come up: meanwhile the client may have gone, the server may have begun to drain, the
	// request's time or the time in which its key is known may have passed. Nothing was sent yet, so nothing ran.
	if c.ClientGone != nil && c.ClientGone() {
		u.park(cn)
		return upstream.Outcome{Result: upstream.NotSent, Err: upstream.ErrClientGone}
	}
	now := time.Now()
	if e.over(now) || !c.SendBefore.IsZero() && !now.Before(c.SendBefore) || !c.Expires.IsZero() && !now.Before(c.Expires) || !c.Claim() {
		u.park(cn)
		return upstream.Outcome{Result: upstream.NotSent, Err: errors.New("too late to begin")}
	}
	giveUp := context.AfterFunc(ctx, func() { cn.Close() })
	age := reuse.Fresh
	if cn.used {
		age = now.Sub(cn.last)
	}
	r, keep, broke := u.exchange(cn, c, now)
	if ctx.Err() == nil {
		u.mu.Lock()
		u.ages.Record(now, age, broke)
		u.mu.Unlock()
	}
	if giveUp() && keep {
		u.park(cn)
	} else {
		u.drop(cn)
	}
	if r.Result != upstream.Served && ctx.Err() != nil {
		return upstream.Outcome{Result: upstream.Cancelled, Err: ctx.Err()}
	}
	return r
}

// over reports whether the grace is over, with a tenth of it left for the first byte to leave.
func (e *endpoint) over(now time.Time) bool {
	off := e.offSince.Load()
	return off > 0 && now.Sub(e.u.epoch) >= time.Duration(off)+e.u.DrainGrace*9/10
}

// exchange writes the request and reads the answer, and says whether the connection can be used again, and whether it broke.
func (u *Pool) exchange(cn *conn, c *upstream.Call, now time.Time) (r upstream.Outcome, keep, broke bool) {
	if c.Message.Remainder != nil {
		if c.Message.Remainder.Consumed() { // half of it is gone: what is left is another request
			return upstream.Outcome{Result: upstream.NotSent, Err: errors.New("the body is gone")}, true, false
		}
		return u.pass(cn, c)
	}
	cn.SetWriteDeadline(c.Expires) // reading ends when the attempt is given up
	text := encode(&c.Message, cn.addr, c.Expires.Sub(now))
	if n, err := cn.Write(text); err != nil {
		switch {
		case n == len(text):
			return upstream.Outcome{Result: upstream.Reset, Err: err}, false, true
		case cn.used: // the server closed it just now: that says nothing of whether it can be reached
			return upstream.Outcome{Result: upstream.NotSent, Err: err}, false, true
		default: // the server begins with the last byte
			return upstream.Outcome{Result: upstream.ConnectFailed, Err: err}, false, true
		}
	}
	// The reader starts empty: connect has seen that nothing had come before the request left.
	in := newAnswers(cn)
	defer in.free()
	r, keep = in.read(c.Message.Method, u.LoadReportFields, u.ResponseBudget, c.OnReplyStarted)
	return r, keep && in.Buffered() == 0, r.Result == upstream.Reset
}

// connect takes the newest idle connection, which is the least likely to be closed by the server, or opens one.
// A connection that the server has closed, or on which anything came that nobody asked for, carries nothing more.
func (u *Pool) connect(ctx context.Context, e *endpoint) (*conn, error) {
	for {
		c := u.take(e)
		if c == nil {
			return u.open(ctx, e)
		}
		if !u.stale(c) && sock.Quiet(c.Conn) {
			return c, nil
		}
		u.drop(c)
	}
}

// stale says whether a connection was idle for so long that it would likely break.
func (u *Pool) stale(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	return now.Sub(c.last) > u.ages.MaxIdle(now)
}

// take takes an idle connection out of the pool.
func (u *Pool) take(e *endpoint) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(e.idle)
	if n == 0 {
		return nil
	}
	c := e.idle[n-1]
	u.unpool(c, n-1)
	return c
}

// unpool takes out the idle connection at position i of its endpoint. The caller holds mu.
func (u *Pool) unpool(c *conn, i int) {
	c.to.idle = slices.Delete(c.to.idle, i, i+1)
	if len(c.to.idle) == 0 {
		delete(u.all, c.to)
	}
	c.timer.Stop()
}

// open opens a connection. At the bound, room is made by the one that was idle the longest.
func (u *Pool) open(ctx context.Context, e *endpoint) (*conn, error) {
	u.mu.Lock()
	addr := e.addr
	var spare *conn
	if u.opened >= u.MaxConnections {
		for other := range u.all {
			if spare == nil || other.idle[0].last.Before(spare.last) {
				spare = other.idle[0]
			}
		}
		if spare == nil {
			u.mu.Unlock()
			return nil, errBusy
		}
		u.unpool(spare, 0)
		spare.counted = false // its place is ours
	} else {
		u.opened++
	}
	u.mu.Unlock()
	if spare != nil {
		u.drop(spare)
	}
	ctx, cancel := context.WithTimeout(ctx, u.ConnectTimeout)
	defer cancel()
	nc, err := u.dial(ctx, "tcp", addr)
	if err != nil {
		u.mu.Lock()
		u.opened--
		u.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, to: e, addr: addr, counted: true}, nil
}

// drop closes a connection that is not in the pool.
func (u *Pool) drop(c *conn) {
	c.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.counted {
		c.counted = false
		u.opened--
	}
}

// park makes a connection idle, if it is of further use. It is closed before the server closes it.
func (u *Pool) park(c *conn) {
	u.mu.Lock()
	if c.addr != c.to.addr || c.to.offSince.Load() != 0 {
		u.mu.Unlock()
		u.drop(c)
		return
	}
	defer u.mu.Unlock()
	c.used, c.last = true, time.Now()
	c.to.idle = append(c.to.idle, c)
	u.all[c.to] = struct{}{}
	if c.timer == nil {
		c.timer = time.AfterFunc(u.IdleTimeout, func() { u.expire(c) })
	} else {
		c.timer.Reset(u.IdleTimeout)
	}
}

// expire closes a connection that has been idle for too long, unless it was taken meanwhile.
func (u *Pool) expire(c *conn) {
	u.mu.Lock()
	i := slices.Index(c.to.idle, c)
	if i < 0 || time.Since(c.last) < u.IdleTimeout {
		u.mu.Unlock()
		return
	}
	u.unpool(c, i)
	u.mu.Unlock()
	u.drop(c)
}

// CheckHealth asks a server how it is.
func (e *endpoint) CheckHealth(ctx context.Context) upstream.Outcome {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := e.Send(ctx, &upstream.Call{
		Message: message.Request{Method: http.MethodGet, Target: e.u.Settings.HealthCheckPath}, Expires: time.Now().Add(probeTimeout),
	})
	if r.Result == upstream.Served && len(r.LoadReport) == 0 {
		r.LoadReport = parseReport(string(r.Reply.Body), e.u.LoadReportFields)
	}
	r.Reply.Done()
	return r
}

// parseReport reads "TEXT name=value, name=value"; the values come in the order of fields, NaN where one is missing.
// What is not named there is skipped.
func parseReport(text string, fields []string) []float32 {
	var report []float32
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, value, _ := strings.Cut(word, "=")
		i := slices.Index(fields, name)
		v, err := strconv.ParseFloat(value, 32)
		if i < 0 || err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for len(report) < len(fields) {
			report = append(report, float32(math.NaN()))
		}
		report[i] = float32(v)
	}
	return report
}

// encode writes a message as HTTP/1.1, all at once, or as much of it as there is where more follows.
func encode(m *message.Request, host string, left time.Duration) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Expires-In: %du\r\n", m.Method, m.Target, host, left.Microseconds())
	for _, h := range m.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	switch {
	case m.Remainder != nil && m.Remainder.Size < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(m.Body) > 0 {
			b.Write(chunk(m.Body))
		}
		return b.Bytes()
	case m.Remainder != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", m.Remainder.Size)
	case len(m.Body) > 0 || m.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.Body))
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}
