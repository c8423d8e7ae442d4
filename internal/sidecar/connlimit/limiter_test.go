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

// boundedRig serves requests behind a bounded listener; those for /slow are answered when release is closed.
func boundedRig(t *testing.T, maxConnections int) (addr string, ln *Limiter, release chan struct{}) {
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

// At the maximum a new connection gets a complete 503 at once while the others are in use; when one is closed the next is admitted.
func TestTooManyClients(t *testing.T) {
	addr, ln, release := boundedRig(t, 1)
	defer close(release)
	first, _ := peertest.Dial(t, addr)
	io.WriteString(first, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	peertest.Eventually(t, "it is served", func() bool { return ln.Stats().Busy == 1 })
	for range 3 * MaxRejecting { // whatever rejected clients do, the next is handled
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
	addr, ln, release := boundedRig(t, 3)
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

// crossing is a connection on which a request arrives just after the limiter has found that none had.
type crossing struct {
	net.Conn
	arrives, read chan struct{}
	closed        chan struct{}
	once          sync.Once
}

func (c *crossing) Read(p []byte) (int, error) {
	select {
	case <-c.arrives:
		defer func() { c.read <- struct{}{} }()
		return copy(p, get("crossing")), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *crossing) Quiet() bool {
	c.arrives <- struct{}{} // nothing had arrived before
	<-c.read
	return true
}

func (c *crossing) Close() error { c.once.Do(func() { close(c.closed) }); return nil }

// A request that crosses with the limiter's close is never read. It must not be executed: its client learns that it was not accepted, and
// sends it again.
func TestARequestThatCrossesWithOurClose(t *testing.T) {
	for name, closes := range map[string]func(l *Limiter){
		"an evacuation": func(l *Limiter) { l.CloseIdle(0) },
		"an eviction":   func(l *Limiter) { l.admit(&crossing{}) },
	} {
		l := New(nil, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
		conn := &crossing{arrives: make(chan struct{}), read: make(chan struct{}, 1), closed: make(chan struct{})}
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

// A connection of which a complete head was read is not evicted, although net/http has not reported the request yet. One that has sent part
// of a head is, and nothing is read from it any more.
func TestWhatIsEvicted(t *testing.T) {
	for text, stays := range map[string]bool{get("whole"): true, "GET /half HTTP/1.1\r\nHost": false} {
		l := New(nil, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
		ours, theirs := net.Pipe()
		defer theirs.Close()
		c := l.admit(quiet{ours})
		l.mu.Lock()
		l.admission.RequestStarted(&c.record, time.Now())
		l.admission.ResponseDone(&c.record, time.Now())
		l.mu.Unlock()
		go io.WriteString(theirs, text)
		if n, err := c.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatal(n, err)
		}
		if admitted := l.admit(quiet{nil}) != nil; admitted == stays {
			t.Errorf("%q: evicted for another: %v", text, admitted)
		}
	}
}

// quiet is a connection without unread bytes.
type quiet struct{ net.Conn }

func (quiet) Quiet() bool { return true }
