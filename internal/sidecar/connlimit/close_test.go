package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/membudget"
)

// much is more than the client's socket takes of an answer that nobody reads, and all of it fits into the server's.
const much = 2 << 20

// slowReader serves answers of that length, each in one write, and a client with a small buffer that has asked for one and reads
// nothing yet. With last the answer ends the connection. written is closed when the handler has returned.
func slowReader(t *testing.T, last bool) (d *Limiter, c net.Conn, in *bufio.Reader, written chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, written = New(inner, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second), make(chan struct{}, 9)
	server := &http.Server{ConnState: func(nc net.Conn, s http.ConnState) {
		if s == http.StateNew { // all of an answer fits into this side's buffer
			nc.(*client).Conn.(*net.TCPConn).SetWriteBuffer(2 * much)
		}
		if d.ConnState(nc, s); s == http.StateIdle || s == http.StateClosed {
			written <- struct{}{}
		}
	}, ConnContext: d.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.ResponseStarted(req.Context())
		if last {
			w.Header().Set("Connection", "close")
		}
		size, _ := strconv.Atoi(req.URL.Path[1:])
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, size))
	})}
	go server.Serve(d)
	t.Cleanup(func() { server.Close() })
	c, in = peertest.Dial(t, inner.Addr().String())
	c.(*net.TCPConn).SetReadBuffer(256 << 10)
	io.WriteString(c, get(strconv.Itoa(much)))
	return d, c, in, written
}

// whole reads one answer to its end.
func whole(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != resp.ContentLength || err != nil {
		t.Fatalf("%d of %d bytes, %v", n, resp.ContentLength, err)
	}
}

// A connection on which the client's machine lacks some of the last answer makes no room, and is not closed at once for having no
// request: the next may be on its way, and would reset the rest away. Both orders: the close before the next request, and
// after it.
func TestAnAnswerOnItsWayIsNotResetAway(t *testing.T) {
	for _, first := range []string{"the close", "the request"} {
		d, c, in, written := slowReader(t, false)
		peertest.Wait(t, written)
		if d.admit(c) != nil {
			t.Error("it made room")
		}
		if first == "the close" {
			d.CloseIdle(0)
		}
		io.WriteString(c, get("2"))
		if first == "the request" { // which has been answered, behind what is on its way
			peertest.Wait(t, written)
			d.CloseIdle(0)
		}
		whole(t, in)
		if first == "the request" {
			whole(t, in)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s first: %v", first, err)
		}
		c.Close()
		peertest.Eventually(t, "its place is free", func() bool { return d.Open() == 0 })
	}
}

// The last answer of a connection, with bytes of the client unread behind its request: they reset nothing away.
func TestALastAnswerIsTakenWhole(t *testing.T) {
	d, c, in, written := slowReader(t, true)
	peertest.Wait(t, written)
	io.WriteString(c, get("2"))
	whole(t, in)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%v", err)
	}
	c.Close()
	peertest.Eventually(t, "its place is free", func() bool { return d.Open() == 0 })
}

// A request that was read ahead and not yet handed to net/http is no less on its way than one that is unread: its connection makes
// no room, in the very moment between two requests.
func TestARequestReadAheadKeepsItsPlace(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(inner, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
	d.ReadAheadBudget = membudget.New(0)
	between, taken := make(chan bool, 9), make(chan struct{}, 9)
	server := &http.Server{ConnContext: d.ConnContext, ConnState: func(nc net.Conn, s http.ConnState) {
		if d.ConnState(nc, s); s == http.StateIdle {
			between <- d.admit(nc.(*client).Conn) != nil
		}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer d.WatchClient(req.Context())()
		taken <- struct{}{}
		for req.URL.Path == "/1" && d.ReadAheadBudget.Reserved() <= 4<<10 { // until the next is read, beside the piece that is asked for
			runtime.Gosched()
		}
		d.ResponseStarted(req.Context())
	})}
	go server.Serve(d)
	t.Cleanup(func() { server.Close() })
	c, in := peertest.Dial(t, inner.Addr().String())
	io.WriteString(c, get("1"))
	peertest.Wait(t, taken)
	io.WriteString(c, get("2"))
	whole(t, in)
	if peertest.Wait(t, between) {
		t.Fatal("it made room")
	}
	whole(t, in)
}
