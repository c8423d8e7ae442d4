package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// testPool returns a pool that opens TCP connections.
func testPool(maxConnections int) *Pool {
	return New(Settings{
		MaxConnections: maxConnections, ConnectTimeout: 5 * time.Second, IdleTimeout: 8 * time.Second, DrainGrace: 250 * time.Millisecond,
		LoadReportFields: []string{"busy", "rate"}, HealthCheckPath: "/_load", ResponseBudget: membudget.New(0),
	}, (&net.Dialer{}).DialContext)
}

// endpointAt returns an endpoint for a server that listens at an address.
func (pool *Pool) endpointAt(addr string) *endpoint { return &endpoint{pool: pool, addr: addr} }

// stopAccepting marks the server as one that stopped accepting requests some time ago.
func (e *endpoint) stopAccepting(ago time.Duration) {
	e.notAcceptingSince.Store(int64(time.Since(e.pool.epoch) - ago))
}

// newCall returns a call of a GET request that expires in 30 s.
func newCall() *upstream.Call {
	return &upstream.Call{Message: message.Request{Method: "GET", Target: "/look"}, Expires: time.Now().Add(30 * time.Second)}
}

// Each response leads to the right outcome. Unsafe requests are retried if the outcome proves that they were not executed, so
// only an explicit statement of the server may prove that; and only a complete 200 response is served.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     upstream.Result
		reused   bool
	}{
		"served":              {peertest.OKResponse, upstream.Served, true},
		"served in chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", upstream.Served, true},
		"after a 100":         {"HTTP/1.1 100 Continue\r\n\r\n" + peertest.OKResponse, upstream.Served, true},
		"served, then closed": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", upstream.Served, false},
		"bytes left over":     {peertest.OKResponse + "HTTP", upstream.Served, false},
		"error":               {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", upstream.Failed, true},
		"rejected":            {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", upstream.Rejected, true},
		"rejected as late":    {"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", upstream.Rejected, true},
		"503 alone":           {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", upstream.Failed, true},
		"500, never ran":      {"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", upstream.Failed, true},
		"not a response":      {"\x16\x03\x01nonsense\r\n\r\n", upstream.Failed, false},
		"two lengths":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", upstream.Failed, false},
		"a negative length":   {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", upstream.Failed, false},
		"a bad load report":   {"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: \xff{],=;\r\nContent-Length: 2\r\n\r\nhi", upstream.Served, true},
		"too large":           {"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n", upstream.Failed, false},
		"broken off":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", upstream.Reset, false},
		"of unknown length":   {"HTTP/1.1 200 OK\r\n\r\nhi", upstream.Served, false}, // it ends with the connection
		"nothing":             {"", upstream.Reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			ends := name == "broken off" || name == "of unknown length" || name == "nothing"
			p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(conn, c.response)
				return !ends
			})
			pool := testPool(9)
			e := pool.endpointAt(p.Addr)
			r := e.Send(context.Background(), newCall())
			if r.Result != c.want {
				t.Fatalf("result %v (%v), want %v", r.Result, r.Err, c.want)
			}
			if r.Result == upstream.Served && string(r.Reply.Body) != "hi" {
				t.Errorf("body %q", r.Reply.Body)
			}
			if c.reused {
				e.Send(context.Background(), newCall())
				if n := p.Conns.Load(); n != 1 {
					t.Errorf("%d connections for two requests", n)
				}
			} else {
				peertest.Eventually(t, "the connection is closed", func() bool { return pool.Open() == 0 })
			}
		})
	}
}

// Guards against a response to HEAD that is taken for one whose body ends with the connection.
func TestAResponseToHEADDoesNotEndItsConnection(t *testing.T) {
	p := peertest.NewPeer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n")
		return true
	})
	pool := testPool(9)
	e := pool.endpointAt(p.Addr)
	for range 2 {
		call := newCall()
		call.Message.Method = http.MethodHead
		if r := e.Send(context.Background(), call); r.Result != upstream.Served {
			t.Fatalf("result %v (%v)", r.Result, r.Err)
		}
	}
	if n := p.Conns.Load(); n != 1 || pool.Open() != 1 {
		t.Errorf("%d connections for two requests, %d open", n, pool.Open())
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	pool := testPool(9)
	if r := pool.endpointAt(peertest.DeadAddr(t)).Send(context.Background(), newCall()); r.Result != upstream.ConnectFailed {
		t.Errorf("result %v", r.Result)
	}
	if pool.Open() != 0 {
		t.Error("the connection is still counted")
	}
}

// Opening a connection takes time. A call whose time limit has passed meanwhile, or that was abandoned, is not sent.
func TestTooLateToSend(t *testing.T) {
	for name, change := range map[string]func(*endpoint, *upstream.Call){
		"drain grace is over": func(e *endpoint, _ *upstream.Call) { e.stopAccepting(e.pool.DrainGrace) },
		"key window is over":  func(_ *endpoint, c *upstream.Call) { c.SendBefore = time.Now() },
		"deadline has passed": func(_ *endpoint, c *upstream.Call) { c.Expires = time.Now() },
		"claimed elsewhere":   func(_ *endpoint, c *upstream.Call) { c.Claim() },
	} {
		p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
		pool := testPool(9)
		e, c := pool.endpointAt(p.Addr), newCall()
		pool.epoch = pool.epoch.Add(-time.Minute)
		change(e, c)
		if r := e.Send(context.Background(), c); r.Result != upstream.NotSent {
			t.Errorf("%s: result %v", name, r.Result)
		}
		if p.Requests.Load() != 0 {
			t.Errorf("%s: sent", name)
		}
	}
}

// Cancelling an exchange closes its connection, so that the server notices.
func TestCancellingClosesTheConnection(t *testing.T) {
	got := make(chan struct{}, 1)
	p := peertest.NewPeer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	pool := testPool(9)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan upstream.Outcome, 1)
	go func() { done <- pool.endpointAt(p.Addr).Send(ctx, newCall()) }()
	peertest.Wait(t, got)
	cancel()
	if r := peertest.Wait(t, done); r.Result != upstream.Cancelled {
		t.Errorf("result %v", r.Result)
	}
	peertest.Wait(t, p.Ended)
	peertest.Eventually(t, "the connection is not counted", func() bool { return pool.Open() == 0 })
}

// The pool closes an idle connection before the server does, because a request written to a connection that the server has closed
// is lost.
func TestIdleConnectionsExpire(t *testing.T) {
	p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	pool := testPool(9)
	pool.IdleTimeout = 10 * time.Millisecond
	pool.endpointAt(p.Addr).Send(context.Background(), newCall())
	peertest.Wait(t, p.Ended)
	peertest.Eventually(t, "the connection is not counted", func() bool { return pool.Open() == 0 })
}

// A connection that the server has closed, or on which unexpected bytes arrived, is not used. This is noticed before a request is
// written, and does not count as a failure of the server.
func TestUnusableIdleConnections(t *testing.T) {
	for name, change := range map[string]func(net.Conn){
		"closed":                           func(c net.Conn) { c.Close() },
		"reset":                            func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"unexpected response":              func(c net.Conn) { io.WriteString(c, strings.Replace(peertest.OKResponse, "hi", "no", 1)) },
		"unexpected response, then closed": func(c net.Conn) { io.WriteString(c, peertest.OKResponse); c.Close() },
	} {
		conns := make(chan net.Conn, 2)
		p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(c, peertest.OKResponse)
			conns <- c
			return true
		})
		pool := testPool(9)
		e := pool.endpointAt(p.Addr)
		e.Send(context.Background(), newCall())
		change(peertest.Wait(t, conns))
		peertest.Eventually(t, "it has arrived", func() bool { return !sock.Quiet(e.idle[0].Conn) })
		if r := e.Send(context.Background(), newCall()); r.Result != upstream.Served || string(r.Reply.Body) != "hi" || p.Conns.Load() != 2 {
			t.Errorf("%s: result %v, %q, %d connections", name, r.Result, r.Reply.Body, p.Conns.Load())
		}
		if n := pool.Open(); n != 1 {
			t.Errorf("%s: %d connections are open", name, n)
		}
	}
}

// The number of bytes that are read of a response is limited, whatever length it announces.
func TestResponseSizeIsLimited(t *testing.T) {
	for name, head := range map[string]string{
		"a head without end":   "HTTP/1.1 200 OK\r\n",
		"a line without end":   "HTTP/1.1 200 OK\r\nX: ",
		"3 GB":                 "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
		"chunks without end":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until it is closed":   "HTTP/1.1 200 OK\r\n\r\n",
		"1xx without end":      "",
		"an error without end": "HTTP/1.1 500 Oops\r\nContent-Length: 3000000000\r\n\r\n",
	} {
		more := map[string]string{
			"a head without end": "X: 1\r\n", "chunks without end": "1\r\nx\r\n", "1xx without end": "HTTP/1.1 102 Wait\r\n\r\n",
		}[name]
		if more == "" {
			more = "xxxxxxxx"
		}
		block := strings.Repeat(more, 1000)
		p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(c, head)
			for {
				if _, err := io.WriteString(c, block); err != nil {
					return false // the pool has closed the connection
				}
			}
		})
		pool := testPool(9)
		r := pool.endpointAt(p.Addr).Send(context.Background(), newCall())
		if r.Result == upstream.Served || r.Result.NeverRan() {
			t.Errorf("%s: result %v", name, r.Result)
		}
		if n := pool.Open(); n != 0 {
			t.Errorf("%s: %d connections are open", name, n)
		}
	}
}

func TestNewestConnectionIsUsedFirst(t *testing.T) {
	p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	pool := testPool(9)
	e := pool.endpointAt(p.Addr)
	var conns []*conn
	for range 2 {
		c, err := pool.connect(context.Background(), e)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	pool.putIdle(conns[0])
	pool.putIdle(conns[1])
	if c, _ := pool.connect(context.Background(), e); c != conns[1] {
		t.Error("the newest connection is not used first")
	}
}

// At the limit on connections, an idle connection of another server is closed for a call. If there is none, the call is not sent,
// and its result says nothing about the server.
func TestConnectionLimit(t *testing.T) {
	got := make(chan struct{}, 1)
	busy := peertest.NewPeer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	pool := testPool(1)
	first, second := pool.endpointAt(p.Addr), pool.endpointAt(busy.Addr)
	first.Send(context.Background(), newCall())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan upstream.Outcome, 1)
	go func() { done <- second.Send(ctx, newCall()) }()
	peertest.Wait(t, got)     // the second server's connection is open,
	peertest.Wait(t, p.Ended) // and the idle one of the first was closed for it
	if r := first.Send(context.Background(), newCall()); r.Result != upstream.NotSent {
		t.Errorf("result %v", r.Result)
	}
	cancel()
	peertest.Wait(t, done)
	peertest.Eventually(t, "no connection is counted", func() bool { return pool.Open() == 0 })
}

func TestParseReport(t *testing.T) {
	fields := []string{"busy", "rate", "q"}
	r := parseReport("TEXT rate=12.5, new=3, busy=0.61, q=", fields)
	if len(r) != 3 || r[0] != 0.61 || r[1] != 12.5 || r[2] == r[2] {
		t.Errorf("%v", r)
	}
	for _, none := range []string{"", "TEXT", "TEXT other=1", "busy", "=", "busy=x", "busy=NaN", "busy=-1", "rate=+Inf"} {
		if r := parseReport(none, fields); r != nil {
			t.Errorf("%q: %v", none, r)
		}
	}
}

// If a server moves, requests are sent to its new address, and its idle connections to the old address are closed. The idle
// connections to a draining server are closed too, because it gets no new requests.
func TestServerMoves(t *testing.T) {
	first, second := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse)), peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	pool := testPool(9)
	e := pool.endpointAt("")
	e.Update(first.Addr, true)
	e.Send(context.Background(), newCall())
	e.Update(second.Addr, true)
	peertest.Wait(t, first.Ended)
	if r := e.Send(context.Background(), newCall()); r.Result != upstream.Served || second.Requests.Load() != 1 {
		t.Errorf("result %v, %d requests", r.Result, second.Requests.Load())
	}
	e.Update("", false)
	peertest.Wait(t, second.Ended)
	peertest.Eventually(t, "all are closed", func() bool { return pool.Open() == 0 })
}

// A health check is a separate request to HealthCheckPath. The load report is read from the body if the header has none.
func TestCheckHealth(t *testing.T) {
	paths := make(chan string, 1)
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		paths <- req.RequestURI
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nTEXT busy=0.25")
		return true
	})
	pool := testPool(9)
	r := pool.endpointAt(p.Addr).CheckHealth(context.Background())
	if path := peertest.Wait(t, paths); path != "/_load" || r.Result != upstream.Served || len(r.LoadReport) != 2 || r.LoadReport[0] != 0.25 {
		t.Errorf("%s: %+v", path, r)
	}
}
