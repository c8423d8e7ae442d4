package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"barleytack/balance"
)

const (
	maxBody      = 64 << 10
	idlePart     = 0.8 // of the time after which a server closes an idle connection: we close it first
	defaultIdle  = 10000
	defaultDial  = 1000
	probeTimeout = 1000
	loadHeader   = "Endpoint-Load-Metrics"
)

// upstream holds the connections to servers. They carry one request at a time.
type upstream struct {
	clock  Clock
	dial   time.Duration // the longest that a connection may take to come up
	idle   time.Duration
	most   int // connections at once
	grace  float64
	fields []string

	mu   sync.Mutex
	open int
	all  map[*endpoint]struct{} // with idle connections
}

// endpoint is one server as the I/O goroutines see it.
type endpoint struct {
	// offSince is when we were told that it drains or is gone, as bits of clock time; 0: it takes requests.
	offSince atomic.Uint64
	addr     string  // guarded by upstream.mu, as is idle
	idle     []*conn // newest last
}

// conn is a connection with its reader goroutine, which also notices a close by the peer while idle.
type conn struct {
	net.Conn
	to   *endpoint
	addr string
	in   *bufio.Reader
	last time.Time

	// Guarded by upstream.mu:
	x       *exchange // what it carries; nil: idle
	counted bool      // it has a place among the open ones
}

// exchange is one request on a connection.
type exchange struct {
	method string
	begun  atomic.Bool // its first byte may have left
	done   chan reply  // takes one reply
}

// reply is what came back for an attempt.
type reply struct {
	result balance.Result
	body   []byte
	header http.Header
	report []float32
	err    error
}

// call is one attempt to carry out.
type call struct {
	to      *endpoint
	message message
	expires float64 // clock time at which we stop waiting
	begin   float64 // clock time before which the first byte must leave
	claimed atomic.Bool
}

// claim decides once and for all between the first byte of an attempt and its being given up before that. The first
// to claim wins: a request that is over is not sent, and one that was not sent is known never to have run.
func (c *call) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// message is a request as it goes on to a server.
type message struct {
	method, target string
	header         [][2]string
	body           []byte
}

func newUpstream(clock Clock, c *Config, most int) *upstream {
	return &upstream{
		clock: clock, most: most, grace: c.Profile.Config.DrainGrace, fields: c.Profile.Fields,
		dial: duration(or(c.Profile.Config.ConnectTimeout, defaultDial)),
		idle: duration(idlePart * or(c.Profile.ConnIdle, defaultIdle)),
		all:  map[*endpoint]struct{}{},
	}
}

func or(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

// turn tells an endpoint where it listens and whether it takes requests. Idle connections that are of no more use
// are closed.
func (u *upstream) turn(e *endpoint, addr string, off bool) {
	if !off {
		e.offSince.Store(0)
	} else if e.offSince.Load() == 0 {
		e.offSince.Store(math.Float64bits(u.clock.Now()))
	}
	u.mu.Lock()
	moved := addr != "" && addr != e.addr
	if moved {
		e.addr = addr
	}
	u.mu.Unlock()
	if moved || off {
		u.closeIdle(e)
	}
}

func (u *upstream) closeIdle(e *endpoint) {
	u.mu.Lock()
	idle := e.idle
	e.idle = nil
	delete(u.all, e)
	u.mu.Unlock()
	for _, c := range idle {
		c.Close() // its reader goroutine ends and counts it off
	}
}

// send carries out an attempt. It returns when the attempt has ended, or soon after ctx has, which gives the
// attempt up and closes its connection.
func (u *upstream) send(ctx context.Context, c *call) reply {
	x := &exchange{method: c.message.method, done: make(chan reply, 1)}
	cn, err := u.connect(ctx, c.to, x)
	if err != nil {
		return reply{result: balance.ConnectFailed, err: err}
	}
	// A connection may take long to come up: meanwhile the server may have begun to drain, the request's
	// time or the time in which its key is known may have passed. Nothing was sent yet, so nothing ran.
	now := u.clock.Now()
	if off := math.Float64frombits(c.to.offSince.Load()); now >= c.begin || now >= c.expires ||
		off > 0 && now >= off+0.9*u.grace || !c.claim() {
		u.park(cn, x)
		return reply{result: balance.Moot, err: errors.New("too late to begin")}
	}
	cn.SetWriteDeadline(u.clock.Time(c.expires))
	text := c.message.encode(cn.addr, c.expires-now)
	x.begun.Store(true)
	if n, err := cn.Write(text); err != nil {
		u.giveUp(cn, x)
		if n < len(text) { // the server begins with the last byte
			return reply{result: balance.ConnectFailed, err: err}
		}
		return reply{result: balance.Reset, err: err}
	}
	select {
	case r := <-x.done:
		return r
	case <-ctx.Done():
		u.giveUp(cn, x)
		return reply{result: balance.Cancelled, err: ctx.Err()}
	}
}

// connect takes the newest idle connection, which is the least likely to be closed by the server, or opens one.
func (u *upstream) connect(ctx context.Context, e *endpoint, x *exchange) (*conn, error) {
	u.mu.Lock()
	if n := len(e.idle); n > 0 {
		c := e.idle[n-1]
		e.idle = e.idle[:n-1]
		c.x = x
		c.SetReadDeadline(time.Time{})
		u.mu.Unlock()
		return c, nil
	}
	addr := e.addr
	var spare *conn
	if u.open >= u.most { // room is made by the connection that was idle the longest
		for other := range u.all {
			if len(other.idle) > 0 && (spare == nil || other.idle[0].last.Before(spare.last)) {
				spare = other.idle[0]
			}
		}
		if spare == nil {
			u.mu.Unlock()
			return nil, fmt.Errorf("all %d connections are in use", u.most)
		}
		spare.to.idle = spare.to.idle[1:]
		spare.counted = false // its place is ours
	} else {
		u.open++
	}
	u.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, u.dial)
	defer cancel()
	// Go's own keep-alive probes tell nothing here; attempts have deadlines.
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, to: e, addr: addr, in: bufio.NewReaderSize(nc, 4<<10), x: x, counted: true}
	go u.read(c)
	return c, nil
}

// giveUp closes a connection, but only while it carries the exchange: its answer may have just come, and the
// connection may carry another by now.
func (u *upstream) giveUp(c *conn, x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.x == x {
		c.Close()
	}
}

// park makes a connection idle, if it is of further use.
func (u *upstream) park(c *conn, x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.x != x {
		return
	}
	c.x = nil
	if c.addr != c.to.addr || c.to.offSince.Load() != 0 {
		c.Close()
		return
	}
	c.last = time.Now()
	c.SetReadDeadline(c.last.Add(u.idle))
	c.to.idle = append(c.to.idle, c)
	u.all[c.to] = struct{}{}
}

// read is a connection's reader goroutine: it takes in answers, and closes the connection when the server does,
// when it has been idle too long or when there are bytes that nobody asked for.
func (u *upstream) read(c *conn) {
	for {
		_, err := c.in.Peek(1)
		u.mu.Lock()
		x := c.x
		if x != nil && errors.Is(err, os.ErrDeadlineExceeded) { // it was taken just as its idle time ended
			u.mu.Unlock()
			continue
		}
		if x == nil || err != nil || !x.begun.Load() {
			u.forget(c)
			u.mu.Unlock()
			c.Close()
			if x != nil {
				x.done <- reply{result: balance.Reset, err: fmt.Errorf("connection ended: %w", err)}
			}
			return
		}
		u.mu.Unlock()
		r, keep := readReply(c.in, x.method, u.fields)
		if keep && c.in.Buffered() == 0 {
			u.park(c, x)
			x.done <- r
			continue
		}
		u.mu.Lock()
		u.forget(c)
		u.mu.Unlock()
		c.Close()
		x.done <- r
		return
	}
}

// forget counts a connection off. The caller holds mu.
func (u *upstream) forget(c *conn) {
	if i := slices.Index(c.to.idle, c); i >= 0 {
		c.to.idle = slices.Delete(c.to.idle, i, i+1)
	}
	if len(c.to.idle) == 0 {
		delete(u.all, c.to)
	}
	if c.counted {
		u.open--
	}
}

// readReply reads one answer and says whether the connection can be used again. Only a whole 200 is served;
// only a server's word proves that nothing ran.
func readReply(in *bufio.Reader, method string, fields []string) (r reply, keep bool) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
	}
	if err != nil {
		return reply{result: balance.Reset, err: err}, false
	}
	whole := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	resp.Body.Close()
	if err != nil {
		return reply{result: balance.Reset, err: err}, false
	}
	r = reply{result: balance.Failed, report: parseReport(resp.Header.Get(loadHeader), fields)}
	keep = whole && !resp.Close && len(body) <= maxBody
	switch {
	case !whole:
		r.result, r.err = balance.Reset, errors.New("an answer of unknown length")
	case len(body) > maxBody:
		r.err = errors.New("an answer over 64 KiB")
	case resp.StatusCode == http.StatusOK:
		r.result, r.body, r.header = balance.OK, body, resp.Header
	case (resp.StatusCode == 503 || resp.StatusCode == 504) && resp.Header.Get("X-Never-Ran") == "1":
		r.result, r.err = balance.Full, errors.New(resp.Status)
	default:
		r.err = errors.New(resp.Status)
	}
	return r, keep
}

// probe asks a server how it is.
func (u *upstream) probe(ctx context.Context, e *endpoint, path string) reply {
	ctx, cancel := context.WithTimeout(ctx, duration(probeTimeout))
	defer cancel()
	r := u.send(ctx, &call{
		to: e, message: message{method: http.MethodGet, target: path},
		expires: u.clock.Now() + probeTimeout, begin: math.Inf(1),
	})
	if r.result == balance.OK && len(r.report) == 0 {
		r.report = parseReport(string(r.body), u.fields)
	}
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
		if i < 0 || err != nil {
			continue
		}
		for len(report) < len(fields) {
			report = append(report, float32(math.NaN()))
		}
		report[i] = float32(v)
	}
	return report
}

// encode writes the message as HTTP/1.1, all at once.
func (m *message) encode(host string, left float64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Expires-In: %du\r\n", m.method, m.target, host, int64(left*1000))
	for _, h := range m.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if len(m.body) > 0 || m.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}
