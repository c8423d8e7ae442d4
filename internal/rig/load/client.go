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

// client is the application beside one sidecar: it keeps connections, sends one request at a time on each, and opens
// more when all are busy. It is no http.Client, since that sends a request again by its own lights and cannot say when
// the last byte of a request was written.
type client struct {
	dial  Dial
	addr  string
	room  *room
	extra func(trace string) // more came than the answer to this request

	mu   sync.Mutex
	idle []*conn // newest last
}

// room bounds the connections of all clients.
type room struct {
	mu   sync.Mutex
	most int
	open int
	peak int
	full int // requests that found no room
}

func (r *room) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= r.most {
		r.full++
		return false
	}
	r.open++
	r.peak = max(r.peak, r.open)
	return true
}

func (r *room) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
}

type conn struct {
	net.Conn
	in   *bufio.Reader
	last string // trace of the request that it carried last
}

var errNoRoom = errors.New("no descriptor is free for one more connection")

// take gives a connection, and whether it was used before.
func (c *client) take(ctx context.Context) (cn *conn, used bool, err error) {
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
	if !c.room.enter() {
		return nil, errNoRoom
	}
	nc, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		c.room.leave()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			c.room.mu.Lock()
			c.room.full++
			c.room.mu.Unlock()
			err = errNoRoom
		}
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, 2<<10)}, nil
}

// park keeps a connection for later.
func (c *client) park(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, cn)
}

// drop closes a connection. What has come on it that nobody asked for is a second answer.
func (c *client) drop(cn *conn) {
	if cn.last != "" && !sock.Quiet(cn.Conn) {
		cn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := cn.in.Peek(1); err == nil {
			c.extra(cn.last)
		}
	}
	cn.Close()
	c.room.leave()
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
	method, class, tenant, trace, key, about, op string
	retry                                        bool
}

// encode writes a request whose client waits so long.
func (q *request) encode(host string, patience time.Duration) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s?sid=%s&op=%s HTTP/1.1\r\nHost: %s\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %du\r\n",
		q.method, q.class, q.about, q.op, host, q.trace, q.class, patience.Microseconds())
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
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.op), q.op)
	} else {
		b.WriteString("\r\n")
	}
	return []byte(b.String())
}

// lateFor is how long after its time is up, and the slack, a client still listens: an answer that comes then is lost to
// it, but seen to be late.
const lateFor = 100 * time.Millisecond

// do carries out one try: it fills in what came of it.
func (c *client) do(call *audit.Call, q *request, slack time.Duration, since func() time.Duration) error {
	call.Sent, call.Answered, call.HungUp = audit.Never, audit.Never, audit.Never
	ctx, cancel := context.WithTimeout(context.Background(), call.Patience)
	defer cancel()
	cn, used, err := c.take(ctx)
	if err == nil {
		var silent bool
		if silent, err = c.exchange(cn, call, q, slack, since); err == nil || !used || !silent {
			return err
		}
		// The sidecar may close a connection between two requests. Where that crossed this one it is sent once more, on a
		// new connection; the audit looks whether it had been read.
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

// exchange sends a request and reads its answer. An error says that no whole answer came; silent, that the connection
// ended before a byte of one.
func (c *client) exchange(
	cn *conn, call *audit.Call, q *request, slack time.Duration, since func() time.Duration,
) (silent bool, err error) {
	until := time.Now().Add(call.Patience + slack + lateFor)
	cn.SetDeadline(until)
	cn.last = q.trace
	if _, err := cn.Write(q.encode(c.addr, call.Patience)); err != nil {
		cn.last = ""
		c.drop(cn)
		call.Result = audit.Unreached
		return true, err
	}
	call.Sent = since()
	call.Result = audit.Lost
	_, err = cn.in.Peek(1)
	silent = err != nil
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(cn.in, &http.Request{Method: q.method}) //nolint:bodyclose // it is read to its end; the connection is the client's own
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		if !time.Now().Before(until) {
			call.HungUp, silent = since(), false
		}
		cn.Close()
		c.room.leave()
		return silent, err
	}
	call.Answered, call.Status = since(), resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		call.Result, call.Body = audit.Served, audit.BodySum(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		call.Result = audit.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			call.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		call.Result = audit.Failed
	}
	if call.Answered > call.Sent+call.Patience+slack {
		call.Result = audit.Lost
	}
	cn.SetDeadline(time.Time{})
	switch {
	case cn.in.Buffered() > 0:
		c.extra(q.trace)
		fallthrough
	case resp.Close:
		cn.last = ""
		c.drop(cn)
	default:
		c.park(cn)
	}
	return false, nil
}

// Dialer is what a load is sent over.
type Dialer interface {
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}
