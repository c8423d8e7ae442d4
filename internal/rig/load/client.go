package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/audit"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// client is the application that uses one sidecar: it reuses connections, sends one request at a time on each, and opens
// more when all are busy. It is no http.Client, which retries requests by rules of its own and does not report when
// the last byte of a request was written. It is safe for concurrent use.
type client struct {
	dial               Dial
	addr               string
	limit              *connectionLimit
	onUnexpectedAnswer func(trace string) // is called when more has arrived than the answer to this request

	mu   sync.Mutex
	idle []*conn // newest last
}

// connectionLimit bounds the open connections of all clients. It is safe for concurrent use.
type connectionLimit struct {
	mu       sync.Mutex
	max      int
	open     int
	peak     int
	rejected int // requests that got no connection
}

// acquire reports whether one more connection may be opened; the caller then releases it.
func (l *connectionLimit) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		l.rejected++
		return false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return true
}

// release gives back what acquire has granted.
func (l *connectionLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// conn is a connection of a client. One goroutine at a time uses it.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	lastTrace string // trace of the request that it carried last
}

// errNoDescriptor is the error of a request that got no connection for lack of descriptors, or by connectionLimit.
var errNoDescriptor = errors.New("no descriptor is free for one more connection")

// connection returns a connection, and whether it was used before. The caller gives it back with putBack or drop.
func (c *client) connection(ctx context.Context) (cn *conn, used bool, err error) {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n > 0 {
			cn = c.idle[n-1]
			c.idle = c.idle[:n-1]
		}
		c.mu.Unlock()
		if n == 0 {
			break
		}
		if sock.Quiet(cn.Conn) {
			return cn, true, nil
		}
		c.drop(cn)
	}
	cn, err = c.open(ctx)
	return cn, false, err
}

// open opens a connection.
func (c *client) open(ctx context.Context) (*conn, error) {
	if !c.limit.acquire() {
		return nil, errNoDescriptor
	}
	nc, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		c.limit.release()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			c.limit.mu.Lock()
			c.limit.rejected++
			c.limit.mu.Unlock()
			err = errNoDescriptor
		}
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, 2<<10)}, nil
}

// putBack puts a connection back for a later request.
func (c *client) putBack(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, cn)
}

// drop closes a connection. Unread bytes on it are an answer without a request.
func (c *client) drop(cn *conn) {
	if cn.lastTrace != "" && !sock.Quiet(cn.Conn) {
		_ = cn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := cn.reader.Peek(1); err == nil {
			c.onUnexpectedAnswer(cn.lastTrace)
		}
	}
	_ = cn.Close()
	c.limit.release()
}

// close closes the idle connections.
func (c *client) close() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, cn := range idle {
		c.drop(cn)
	}
}

// request is what a call sends.
type request struct {
	method, class, tenant, trace, key, subject, operation string
	retry                                                 bool
}

// encode returns the bytes of a request whose client waits for the given time.
func (q *request) encode(host string, patience time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s?sid=%s&op=%s HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %du\r\n",
		q.method, q.class, q.subject, q.operation, host, q.trace, q.class, patience.Microseconds())
	if q.tenant != "" {
		fmt.Fprintf(&b, "X-Customer: %s\r\n", q.tenant)
	}
	if q.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.key)
	}
	if q.retry {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.operation), q.operation)
	} else {
		b.WriteString("\r\n")
	}
	return []byte(b.String())
}

// lateReadTime is how long a client still reads after its patience and the slack: an answer that arrives then counts as lost,
// but is recorded as late.
const lateReadTime = 100 * time.Millisecond

// send carries out one call and records its result in it. slack is the time after the client's patience within which an answer still
// counts; since is the time of the run. An error means that there was no complete answer.
func (c *client) send(call *audit.Call, q *request, slack time.Duration, since func() time.Duration) error {
	call.Sent, call.Answered, call.HungUp = audit.Never, audit.Never, audit.Never
	ctx, cancel := context.WithTimeout(context.Background(), call.Patience)
	defer cancel()
	cn, used, err := c.connection(ctx)
	if err == nil {
		var silent bool
		if silent, err = c.exchange(cn, call, q, slack, since); err == nil || !used || !silent {
			return err
		}
		// The sidecar may close an idle connection at any time, also just before this request arrives. Then it is sent again on a
		// new connection; the audit checks that it had not been read.
		call.ConnectionLostAt, call.Sent = since(), audit.Never
		cn, err = c.open(ctx)
	}
	if err != nil {
		call.Result = audit.Unreached
		return err
	}
	_, err = c.exchange(cn, call, q, slack, since)
	return err
}

// exchange sends a request and reads its answer. An error means that there was no complete answer; silent, that the connection
// ended before the first byte of one.
func (c *client) exchange(
	cn *conn, call *audit.Call, q *request, slack time.Duration, since func() time.Duration,
) (silent bool, err error) {
	until := time.Now().Add(call.Patience + slack + lateReadTime)
	_ = cn.SetDeadline(until)
	cn.lastTrace = q.trace
	if _, err := cn.Write(q.encode(c.addr, call.Patience)); err != nil {
		cn.lastTrace = ""
		c.drop(cn)
		call.Result = audit.Unreached
		return true, err
	}
	call.Sent = since()
	call.Result = audit.Lost
	reply, silent, err := cn.readAnswer(q.method)
	if err != nil {
		if !time.Now().Before(until) {
			call.HungUp, silent = since(), false
		}
		_ = cn.Close()
		c.limit.release()
		return silent, err
	}
	call.Answered = since()
	reply.applyTo(call)
	if call.Answered > call.Sent+call.Patience+slack {
		call.Result = audit.Lost
	}
	_ = cn.SetDeadline(time.Time{})
	switch {
	case cn.reader.Buffered() > 0:
		c.onUnexpectedAnswer(q.trace)
		fallthrough
	case reply.closes:
		cn.lastTrace = ""
		c.drop(cn)
	default:
		c.putBack(cn)
	}
	return false, nil
}

// answer is a complete answer.
type answer struct {
	status     int
	retryAfter string
	body       []byte
	closes     bool // the connection ends with it
}

// readAnswer reads one complete answer; silent: the connection ended before its first byte.
func (cn *conn) readAnswer(method string) (reply answer, silent bool, err error) {
	if _, err := cn.reader.Peek(1); err != nil {
		return answer{}, true, err
	}
	resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil { // Close would read on until the deadline
		return answer{}, false, err
	}
	_ = resp.Body.Close() // all of it was read
	return answer{resp.StatusCode, resp.Header.Get("Retry-After"), body, resp.Close}, false, nil
}

// applyTo records the answer in its call.
func (a *answer) applyTo(call *audit.Call) {
	call.Status = a.status
	switch a.status {
	case http.StatusOK:
		call.Result, call.Body = audit.Served, audit.BodySum(a.body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		call.Result = audit.Refused
		if s, err := strconv.ParseFloat(a.retryAfter, 64); err == nil && s > 0 && s < 3600 {
			call.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		call.Result = audit.Failed
	}
}

// Dialer opens the connections of a load: a net.Dialer or a network in memory.
type Dialer interface {
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}
