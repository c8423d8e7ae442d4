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

// longResponse is the length of a response that fits into the buffer of the server's socket, but not into that of the client's.
const longResponse = 2 << 20

// slowReader starts a server that sends each response in one write, and a client with a small receive buffer that has requested
// longResponse bytes and reads nothing yet. If last is true, the response closes the connection. written gets a value whenever a
// response was written.
func slowReader(t *testing.T, last bool) (l *Limiter, c net.Conn, in *bufio.Reader, written chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, written = New(inner, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second), make(chan struct{}, 9)
	server := &http.Server{ConnState: func(nc net.Conn, s http.ConnState) {
		if s == http.StateNew { // a complete response fits into this side's buffer
			nc.(*client).Conn.(*net.TCPConn).SetWriteBuffer(2 * longResponse)
		}
		if l.ConnState(nc, s); s == http.StateIdle || s == http.StateClosed {
			written <- struct{}{}
		}
	}, ConnContext: l.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		l.ResponseStarted(req.Context())
		if last {
			w.Header().Set("Connection", "close")
		}
		size, _ := strconv.Atoi(req.URL.Path[1:])
		w.Header().Set("Content-Length", strconv.Itoa(size))
		w.Write(make([]byte, size))
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	c, in = peertest.Dial(t, inner.Addr().String())
	c.(*net.TCPConn).SetReadBuffer(256 << 10)
	io.WriteString(c, get(strconv.Itoa(longResponse)))
	return l, c, in, written
}

// readCompletely reads one response to its end.
func readCompletely(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != resp.ContentLength || err != nil {
		t.Fatalf("%d of %d bytes, %v", n, resp.ContentLength, err)
	}
}

// A connection on which the client's machine has not acknowledged all of the last response is not evicted, and CloseIdle does not
// close it at once. The next request may be arriving; closing the connection with that request unread would send a reset and
// discard the rest of the response. The test plays both orders: CloseIdle before the next request, and after it.
func TestAnAnswerOnItsWayIsNotResetAway(t *testing.T) {
	for _, first := range []string{"the close", "the request"} {
		l, c, in, written := slowReader(t, false)
		peertest.Wait(t, written)
		if l.admit(c) != nil {
			t.Error("it was evicted")
		}
		if first == "the close" {
			l.CloseIdle(0)
		}
		io.WriteString(c, get("2"))
		if first == "the request" { // its response is written behind the one that the client has not read yet
			peertest.Wait(t, written)
			l.CloseIdle(0)
		}
		readCompletely(t, in)
		if first == "the request" {
			readCompletely(t, in)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s first: %v", first, err)
		}
		c.Close()
		peertest.Eventually(t, "it is closed", func() bool { return l.Open() == 0 })
	}
}

// The last response of a connection arrives completely, although the server has not read all bytes that the client sent after its
// request. A plain close would send a reset because of these bytes and discard the rest of the response.
func TestTheLastAnswerArrivesComplete(t *testing.T) {
	l, c, in, written := slowReader(t, true)
	peertest.Wait(t, written)
	io.WriteString(c, get("2"))
	readCompletely(t, in)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%v", err)
	}
	c.Close()
	peertest.Eventually(t, "it is closed", func() bool { return l.Open() == 0 })
}

// A connection with a request that was read ahead, and not yet passed to net/http, is not evicted, although it counts as idle
// between the two requests.
func TestARequestReadAheadIsNotEvicted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, admission.Config{MaxConnections: 1, Horizon: time.Second}, time.Second)
	l.ReadAheadBudget = membudget.New(0)
	between, accepted := make(chan bool, 9), make(chan struct{}, 9)
	server := &http.Server{ConnContext: l.ConnContext, ConnState: func(nc net.Conn, s http.ConnState) {
		if l.ConnState(nc, s); s == http.StateIdle {
			between <- l.admit(nc.(*client).Conn) != nil
		}
	}, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer l.WatchClient(req.Context())()
		accepted <- struct{}{}
		for req.URL.Path == "/1" && l.ReadAheadBudget.Reserved() <= 4<<10 { // until the next one is read; a read reserves 4 KiB
			runtime.Gosched()
		}
		l.ResponseStarted(req.Context())
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	c, in := peertest.Dial(t, inner.Addr().String())
	io.WriteString(c, get("1"))
	peertest.Wait(t, accepted)
	io.WriteString(c, get("2"))
	readCompletely(t, in)
	if peertest.Wait(t, between) {
		t.Fatal("it was evicted")
	}
	readCompletely(t, in)
}
