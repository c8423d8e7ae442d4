package connlimit

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/admission"
)

func get(path string) string { return "GET /" + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// boundedServer starts a server behind a Limiter. Requests for /slow are answered when release is closed.
func boundedServer(t *testing.T, maxConnections int) (addr string, ln *Limiter, release chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln, release = New(inner, admission.Config{MaxConnections: maxConnections, Horizon: time.Second}, time.Second), make(chan struct{})
	server := &http.Server{ConnState: ln.ConnState, ConnContext: ln.ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		defer ln.ResponseStarted(req.Context())
		if req.URL.Path == "/slow" {
			select {
			case <-release:
			case <-req.Context().Done():
			}
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String(), ln, release
}

// idleCount returns how many connections are idle.
func (l *Limiter) idleCount() (n int) {
	for _, count := range l.Stats().Idle {
		n += count
	}
	return n
}

// While all connections are in use, a new one gets a complete 503 at once. When one of them is closed, the next is admitted.
func TestRejectionAtTheMaximum(t *testing.T) {
	addr, ln, release := boundedServer(t, 1)
	defer close(release)
	first, _ := peertest.Dial(t, addr)
	io.WriteString(first, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	peertest.Eventually(t, "it is served", func() bool { return ln.Stats().Busy == 1 })
	for range 3 * MaxRejecting { // rejected clients that send and read nothing do not delay the next
		if c, err := net.Dial("tcp", addr); err == nil {
			defer c.Close()
		}
	}
	peertest.Eventually(t, "some are rejected completely", func() bool { return len(ln.rejecting) < MaxRejecting })
	second, in := peertest.Dial(t, addr)
	io.WriteString(second, get("2"))
	if resp, err := http.ReadResponse(in, nil); err == nil && (resp.StatusCode != 503 || !resp.Close) {
		t.Errorf("%+v", resp)
	}
	first.Close()
	peertest.Eventually(t, "nothing is open", func() bool { f := ln.Stats(); return f.Busy+f.Closing+f.Idle[0]+f.Idle[1] == 0 })
	if resp, _ := peertest.SendRequest(t, addr, get("3")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Connections of clients that sent one request, or none, are evicted for new ones; those with a request in progress are not.
func TestIdleClientsAreEvicted(t *testing.T) {
	addr, ln, release := boundedServer(t, 3)
	busy, busyIn := peertest.Dial(t, addr)
	io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	peertest.Eventually(t, "it is served", func() bool { return ln.Stats().Busy == 1 })
	stays, staysIn := peertest.Dial(t, addr)
	io.WriteString(stays, get("1"))
	peertest.ReadResponse(t, staysIn)
	peertest.Eventually(t, "it is idle", func() bool { return ln.idleCount() == 1 })
	peertest.Dial(t, addr)
	peertest.Eventually(t, "both are idle", func() bool { return ln.idleCount() == 2 })
	for range 2 {
		c, in := peertest.Dial(t, addr)
		io.WriteString(c, get("2"))
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
		peertest.Eventually(t, "it is idle too", func() bool { return ln.idleCount() == 2 }) // the client may read its response before net/http reports the connection as idle
	}
	if f := ln.Stats(); f.Evicted[0]+f.Evicted[1] != 2 || f.Rejected != 0 {
		t.Errorf("%+v", f)
	}
	close(release)
	if resp, _ := peertest.ReadResponse(t, busyIn); resp.StatusCode != 200 {
		t.Errorf("the one with a request: %d", resp.StatusCode)
	}
}

// lateRequestConn is a connection on which a request arrives immediately after the limiter has checked for unread bytes and found
// none.
type lateRequestConn struct {
	net.Conn
	arrives, read chan struct{}
	closed        chan struct{}
	once          sync.Once
}

func (c *lateRequestConn) Read(p []byte) (int, error) {
	select {
	case <-c.arrives:
		defer func() { c.read <- struct{}{} }()
		return copy(p, get("crossing")), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *lateRequestConn) Quiet() bool {
	c.arrives <- struct{}{} // the request arrives only now
	<-c.read
	return true
}

func (c *lateRequestConn) Close() error { c.once.Do(func() { close(c.closed) }); return nil }

// A request that arrives while the limiter closes its connection is not passed to net/http. It must not be executed, because its
// client sees a closed connection and sends it again.
func TestRequestArrivesDuringClose(t *testing.T) {
	for name, closes := range map[string]func(l *Limiter){
		"CloseIdle": func(l *Limiter) { l.CloseIdle(0) },
		"eviction":  func(l *Limiter) { l.admit(&lateRequestConn{}) },
	} {
		l := New(nil, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
		conn := &lateRequestConn{arrives: make(chan struct{}), read: make(chan struct{}, 1), closed: make(chan struct{})}
		c := l.admit(conn)
		l.mu.Lock() // it had a request before
		l.admission.RequestStarted(&c.record, time.Now())
		l.admission.ResponseDone(&c.record, time.Now())
		l.mu.Unlock()
		type result struct {
			n   int
			err error
		}
		got := make(chan result, 1)
		go func() {
			n, err := c.Read(make([]byte, 4096))
			got <- result{n, err}
		}()
		closes(l)
		if r := peertest.Wait(t, got); r.n != 0 || r.err == nil {
			t.Errorf("%s: %d bytes, %v: the request would be served", name, r.n, r.err)
		}
		select {
		case <-conn.closed:
		default:
			t.Errorf("%s: the connection is not closed", name)
		}
	}
}

// A connection from which a complete head was read is not evicted, although net/http has not reported the request yet. One that
// has sent only part of a head is evicted.
func TestPartialHeadIsEvicted(t *testing.T) {
	for text, stays := range map[string]bool{get("whole"): true, "GET /half HTTP/1.1\r\nHost": false} {
		l := New(nil, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
		ours, theirs := net.Pipe()
		defer theirs.Close()
		c := l.admit(quietConn{ours})
		l.mu.Lock()
		l.admission.RequestStarted(&c.record, time.Now())
		l.admission.ResponseDone(&c.record, time.Now())
		l.mu.Unlock()
		go io.WriteString(theirs, text)
		if n, err := c.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatal(n, err)
		}
		if admitted := l.admit(quietConn{nil}) != nil; admitted == stays {
			t.Errorf("%q: evicted for another: %v", text, admitted)
		}
	}
}

// quietConn is a connection without unread bytes.
type quietConn struct{ net.Conn }

func (quietConn) Quiet() bool { return true }
