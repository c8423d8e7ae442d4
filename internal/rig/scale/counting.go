package scale

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// counter counts what the members of one process exchange with one coordinator, from the coordinator's point of view: their
// connections are too short-lived to be read from the system (sockets).
type counter struct {
	in, out                 atomic.Uint64 // bytes
	messagesIn, messagesOut atomic.Uint64
	open                    atomic.Int64 // connections
	waiting                 atomic.Int64 // calls without a response yet
}

func (c *counter) traffic() traffic {
	return traffic{c.in.Load(), c.out.Load(), c.messagesIn.Load(), c.messagesOut.Load(), int(c.open.Load())}
}

// counters are counters by address. The map is not changed once made.
type counters map[string]*counter

// countingTransport is the transport of one member's subscribe.Client, with counters.
type countingTransport struct {
	http.Transport
	counters   counters
	onResponse func() // is called when a call succeeded
}

// newCountingTransport returns a transport with the settings of subscribe.Client's own.
func newCountingTransport(of counters, answered func()) *countingTransport {
	t := &countingTransport{counters: of, onResponse: answered}
	t.MaxIdleConnsPerHost, t.DisableCompression = 1, true // as subscribe.Client has them
	dialer := net.Dialer{Timeout: time.Second}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil || of[addr] == nil {
			return c, err
		}
		of[addr].open.Add(1)
		return &countedConn{Conn: c, read: &of[addr].out, written: &of[addr].in, open: &of[addr].open}, nil
	}
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := t.counters[r.URL.Host]
	if c == nil {
		return t.Transport.RoundTrip(r)
	}
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			c.messagesIn.Add(1)
		}
	}}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		c.messagesOut.Add(1)
		if res.StatusCode == http.StatusOK {
			t.onResponse()
		}
	}
	return res, err
}

// countedConn counts the bytes of a connection, and its end.
type countedConn struct {
	net.Conn
	read, written *atomic.Uint64 // bytes
	open          *atomic.Int64  // connections
	once          sync.Once
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
