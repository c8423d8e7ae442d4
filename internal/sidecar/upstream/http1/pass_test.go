package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// server answers each connection with a function that has the connection and what comes on it.
func server(t *testing.T, handle func(net.Conn, *bufio.Reader)) (addr string) {
	t.Helper()
	return peertest.NewRaw(t, func(c net.Conn) { handle(c, bufio.NewReader(c)) })
}

// client writes a body piece by piece, as a test says.
type client struct {
	*io.PipeWriter
	rest *message.Upload
}

func newClient(t *testing.T, size int64) *client {
	r, w := io.Pipe()
	c := &client{PipeWriter: w, rest: message.NewUpload(size)}
	go c.rest.Pump(r)
	t.Cleanup(func() { r.Close(); c.rest.Close() })
	return c
}

// upload is a call whose body comes from a client, with what it tells of its end.
func upload(c *client) (call *upstream.Call, written chan struct{}) {
	written = make(chan struct{}, 1)
	call = &upstream.Call{
		Message: message.Request{Method: "POST", Target: "/once", Body: []byte("head,"), Remainder: c.rest},
		Wait:    time.Second, OnRequestWritten: func() { written <- struct{}{} },
	}
	return call, written
}

// A body is passed on as it comes, with its length or in chunks; the server has all of it, and the connection is used again.
func TestABodyIsPassedOn(t *testing.T) {
	rest := strings.Repeat("0123456789", 100_000)
	for name, size := range map[string]int64{"with a length": int64(5 + len(rest)), "in chunks": -1} {
		got := make(chan string, 2)
		p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, body string) bool {
			if req.ContentLength != size {
				t.Errorf("%s: length %d", name, req.ContentLength)
			}
			got <- body
			io.WriteString(c, peertest.OKAnswer)
			return true
		})
		e := testPool(9).at(p.Addr)
		for range 2 {
			c := newClient(t, size)
			call, written := upload(c)
			go func() {
				for left := rest; len(left) > 0; {
					n := min(len(left), 77_777)
					io.WriteString(c, left[:n])
					left = left[n:]
				}
				c.Close()
			}()
			r := send(e, call)
			peertest.Wait(t, written)
			if r.Result != upstream.Served || !c.rest.Consumed() || peertest.Wait(t, got) != "head,"+rest {
				t.Fatalf("%s: %v (%v), spent %v", name, r.Result, r.Err, c.rest.Consumed())
			}
		}
		if n := p.Conns.Load(); n != 1 {
			t.Errorf("%s: %d connections", name, n)
		}
	}
}

// What an end proves while the body is on its way: before its last byte nothing ran, whoever broke off; after it, it may have.
// Whether the body can be sent again goes by whether anything of its rest was read.
func TestEndsOfPassedBodies(t *testing.T) {
	readAll := func(c net.Conn, in *bufio.Reader) { // and then no answer
		req, err := http.ReadRequest(in)
		if err == nil {
			io.Copy(io.Discard, req.Body)
		}
	}
	after := func(n int, then func(net.Conn)) func(net.Conn, *bufio.Reader) {
		return func(c net.Conn, in *bufio.Reader) {
			if req, err := http.ReadRequest(in); err == nil {
				io.ReadFull(req.Body, make([]byte, n))
			}
			then(c)
		}
	}
	says := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, text)
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, c)
		}
	}
	for name, c := range map[string]struct {
		server func(net.Conn, *bufio.Reader)
		client func(c *client)
		want   upstream.Result
		spent  bool
	}{
		"the server goes at its end":       {readAll, func(c *client) { io.WriteString(c, "01234"); c.Close() }, upstream.Reset, true},
		"the server goes before":           {after(7, func(c net.Conn) { sock.Abort(c) }), func(c *client) { io.WriteString(c, "01") }, upstream.ConnectFailed, true},
		"the server goes before any of it": {after(0, func(c net.Conn) { sock.Abort(c) }), func(c *client) {}, upstream.ConnectFailed, false},
		"the server is full":               {after(7, says("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")), func(c *client) { io.WriteString(c, "01") }, upstream.Rejected, true},
		"the server is full at once":       {after(0, says("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")), func(c *client) {}, upstream.Rejected, false},
		"the server fails early":           {after(5, says("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")), func(c *client) {}, upstream.Failed, false},
		"the client goes a byte before":    {readAll, func(c *client) { io.WriteString(c, "0123"); c.CloseWithError(io.ErrUnexpectedEOF) }, upstream.NotSent, true},
		"the client goes":                  {readAll, func(c *client) { c.CloseWithError(io.ErrUnexpectedEOF) }, upstream.NotSent, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := testPool(9)
			cl := newClient(t, 10)
			call, written := upload(cl)
			go c.client(cl)
			r := send(u.at(server(t, c.server)), call)
			if r.Result != c.want || cl.rest.Consumed() != c.spent {
				t.Errorf("%v (%v), spent %v; want %v, %v", r.Result, r.Err, cl.rest.Consumed(), c.want, c.spent)
			}
			if whole := len(written) == 1; whole == r.Result.NeverRan() && r.Result != upstream.Failed {
				t.Errorf("%v, and written %v", r.Result, whole)
			}
			peertest.Eventually(t, "the connection is closed", func() bool { return u.held() == 0 })
		})
	}
}

// A server that answers early and reads no more holds up nobody: its answer counts at once, although the body is stuck. What was
// taken of that body never begins another exchange.
func TestAnEarlyAnswerFromAServerThatReadsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		ln, err := n.Listen("127.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReaderSize(c, 16))
			time.Sleep(time.Second) // all that is on its way to it is stuck
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}()
		u := New(Settings{MaxConnections: 9, ConnectTimeout: time.Second, IdleTimeout: time.Second, ResponseBudget: membudget.New(0)}, n.Dial)
		rest := message.NewUpload(1 << 30)
		go rest.Pump(neverEnding{})
		defer rest.Close()
		call := func() *upstream.Call {
			return &upstream.Call{Message: message.Request{Method: "POST", Target: "/once", Remainder: rest}, Wait: time.Second}
		}
		began := time.Now()
		if r := u.at("127.0.0.1:80").Send(t.Context(), call()); r.Result != upstream.Rejected || time.Since(began) > 2*time.Second {
			t.Errorf("%v (%v) after %v", r.Result, r.Err, time.Since(began))
		}
		go ln.Accept()
		if r := u.at("127.0.0.1:80").Send(t.Context(), call()); r.Result != upstream.NotSent {
			t.Errorf("half a body is sent: %v", r.Result)
		}
	})
}

type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// A call with a body that comes is given up: the server does not get its end.
func TestAPassedBodyIsGivenUp(t *testing.T) {
	got, ended := make(chan struct{}, 1), make(chan error, 1)
	addr := server(t, func(c net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err != nil {
			t.Error(err)
			return
		}
		io.ReadFull(req.Body, make([]byte, 7))
		got <- struct{}{}
		_, err = io.Copy(io.Discard, req.Body)
		ended <- err
	})
	u := testPool(9)
	c := newClient(t, 10)
	call, written := upload(c)
	go io.WriteString(c, "01")
	ctx, giveUp := context.WithCancel(context.Background())
	result := make(chan upstream.Outcome, 1)
	go func() { result <- u.at(addr).Send(ctx, call) }()
	peertest.Wait(t, got)
	giveUp()
	if r := peertest.Wait(t, result); r.Result != upstream.Cancelled || len(written) != 0 {
		t.Errorf("%v (%v), written %d", r.Result, r.Err, len(written))
	}
	if err := peertest.Wait(t, ended); err == nil {
		t.Error("the server took half a body for a whole one")
	}
	if u.held() != 0 {
		t.Error("the connection is held")
	}
}

// An answer that comes slowly is begun before it is whole, in chunks, with a length or to the end of the connection; what its
// reader does not take is not read from the server.
func TestAnAnswerIsBegunInTime(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "Content-Length: 2000000\r\n", "in chunks": "Transfer-Encoding: chunked\r\n", "to the end": "Connection: close\r\n",
	} {
		more := make(chan struct{})
		addr := server(t, func(c net.Conn, in *bufio.Reader) {
			http.ReadRequest(in)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n")
			first, last := strings.Repeat("a", 1000), strings.Repeat("b", 1_999_000)
			if name == "in chunks" {
				first, last = "3e8\r\n"+first+"\r\n", "1e8098\r\n"+last+"\r\n0\r\n\r\n"
			}
			io.WriteString(c, first)
			<-more
			io.WriteString(c, last)
		})
		u := testPool(9)
		call := look()
		began, ended := make(chan upstream.Outcome, 1), make(chan upstream.Outcome, 1)
		call.OnReplyStarted = func(out upstream.Outcome) { began <- out }
		go func() { ended <- u.at(addr).Send(context.Background(), call) }()
		out := peertest.Wait(t, began) // although the server waits for us
		close(more)
		n, err := io.Copy(io.Discard, out.Reply.Remainder)
		if whole := int(n) + len(out.Reply.Body); err != nil || whole != 2_000_000 {
			t.Errorf("%s: %d bytes, %v", name, whole, err)
		}
		if r := peertest.Wait(t, ended); r.Result != upstream.Served {
			t.Errorf("%s: %v (%v)", name, r.Result, r.Err)
		}
	}
}

// An answer that breaks off after its beginning ends with an error for whoever reads it, never as if it were whole; one whose
// reader goes away ends its connection.
func TestBegunAnswersThatBreakOff(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + strings.Repeat("x", 2_000_000),
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2dc6c0\r\n" + strings.Repeat("x", 2_000_000),
		"a bad chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1e8480\r\n" + strings.Repeat("x", 2_000_000) + "\r\nzz\r\n",
	} {
		addr := server(t, func(c net.Conn, in *bufio.Reader) {
			http.ReadRequest(in)
			io.WriteString(c, answer)
		})
		r := send(testPool(9).at(addr), look())
		if !r.begun || r.err == nil || r.ended.Result == upstream.Served {
			t.Errorf("%s: begun %v, rest %v, %v", name, r.begun, r.err, r.ended.Result)
		}
	}
	u := testPool(9)
	gone := make(chan error, 1)
	addr := server(t, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n")
		_, err := c.Write(make([]byte, 33_000_000))
		gone <- err
	})
	call := look()
	began := make(chan upstream.Outcome, 1)
	call.OnReplyStarted = func(out upstream.Outcome) { began <- out }
	go u.at(addr).Send(context.Background(), call)
	out := peertest.Wait(t, began)
	out.Reply.Done()
	if err := peertest.Wait(t, gone); err == nil {
		t.Error("the server could write all of it to nobody")
	}
	peertest.Eventually(t, "the connection is closed", func() bool { return u.held() == 0 })
}
