package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/message"
	"petrelhook/internal/sidecar/upstream"
)

// server starts a server that calls handle with each connection and a reader of it.
func server(t *testing.T, handle func(net.Conn, *bufio.Reader)) (addr string) {
	t.Helper()
	return peertest.NewRaw(t, func(c net.Conn) { handle(c, bufio.NewReader(c)) })
}

// client is a client whose request body the test writes in parts.
type client struct {
	*io.PipeWriter
	upload *message.Upload
}

func newClient(t *testing.T, size int64) *client {
	r, w := io.Pipe()
	c := &client{PipeWriter: w, upload: message.NewUpload(size)}
	go c.upload.Pump(r)
	t.Cleanup(func() { r.Close(); c.upload.Close() })
	return c
}

// uploadCall returns a call whose body comes from a client; written gets a value when its last byte was sent.
func uploadCall(c *client) (call *upstream.Call, written chan struct{}) {
	written = make(chan struct{}, 1)
	call = &upstream.Call{
		Message: message.Request{Method: "POST", Target: "/once", Body: []byte("head,"), Remainder: c.upload},
		Wait:    time.Second, OnRequestWritten: func() { written <- struct{}{} },
	}
	return call, written
}

// A request body is streamed, with its length or in chunks. The server gets all of it, and the connection is reused.
func TestRequestBodyIsStreamed(t *testing.T) {
	rest := strings.Repeat("0123456789", 100_000)
	for name, size := range map[string]int64{"with a length": int64(5 + len(rest)), "in chunks": -1} {
		got := make(chan string, 2)
		p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, body string) bool {
			if req.ContentLength != size {
				t.Errorf("%s: length %d", name, req.ContentLength)
			}
			got <- body
			io.WriteString(c, peertest.OKResponse)
			return true
		})
		e := testPool(9).endpointAt(p.Addr)
		for range 2 {
			c := newClient(t, size)
			call, written := uploadCall(c)
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
			if r.Result != upstream.Served || !c.upload.Consumed() || peertest.Wait(t, got) != "head,"+rest {
				t.Fatalf("%s: %v (%v), consumed %v", name, r.Result, r.Err, c.upload.Consumed())
			}
		}
		if n := p.Conns.Load(); n != 1 {
			t.Errorf("%s: %d connections", name, n)
		}
	}
}

// An exchange ends while its request body is streamed. If the last byte was not sent, the request was not executed, whichever
// side failed; otherwise it may have been. The body can be sent again only if nothing of its remainder was read.
func TestOutcomesOfStreamedRequests(t *testing.T) {
	readAll := func(c net.Conn, in *bufio.Reader) { // sends no response
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
	respond := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, text)
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, c)
		}
	}
	for name, c := range map[string]struct {
		server   func(net.Conn, *bufio.Reader)
		client   func(c *client)
		want     upstream.Result
		consumed bool
	}{
		"server closes after the last byte":     {readAll, func(c *client) { io.WriteString(c, "01234"); c.Close() }, upstream.Reset, true},
		"server resets before the last byte":    {after(7, func(c net.Conn) { sock.Abort(c) }), func(c *client) { io.WriteString(c, "01") }, upstream.ConnectFailed, true},
		"server resets before reading the body": {after(0, func(c net.Conn) { sock.Abort(c) }), func(c *client) {}, upstream.ConnectFailed, false},
		"server rejects after part of the body": {after(7, respond("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")), func(c *client) { io.WriteString(c, "01") }, upstream.Rejected, true},
		"server rejects at once":                {after(0, respond("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")), func(c *client) {}, upstream.Rejected, false},
		"server fails early":                    {after(5, respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")), func(c *client) {}, upstream.Failed, false},
		"client ends one byte early":            {readAll, func(c *client) { io.WriteString(c, "0123"); c.CloseWithError(io.ErrUnexpectedEOF) }, upstream.NotSent, true},
		"client ends before the remainder":      {readAll, func(c *client) { c.CloseWithError(io.ErrUnexpectedEOF) }, upstream.NotSent, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := testPool(9)
			cl := newClient(t, 10)
			call, written := uploadCall(cl)
			go c.client(cl)
			r := send(pool.endpointAt(server(t, c.server)), call)
			if r.Result != c.want || cl.upload.Consumed() != c.consumed {
				t.Errorf("%v (%v), consumed %v; want %v, %v", r.Result, r.Err, cl.upload.Consumed(), c.want, c.consumed)
			}
			if complete := len(written) == 1; complete == r.Result.NeverRan() && r.Result != upstream.Failed {
				t.Errorf("%v, and written %v", r.Result, complete)
			}
			peertest.Eventually(t, "the connection is closed", func() bool { return pool.Open() == 0 })
		})
	}
}

// A request body without a length is complete only if it ends with io.EOF itself. An error that wraps io.EOF means that it was
// truncated, and the server does not get the last chunk.
func TestWrappedEOFInRequestBody(t *testing.T) {
	read := make(chan error, 1)
	addr := server(t, func(_ net.Conn, in *bufio.Reader) {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		read <- err
	})
	cl := newClient(t, -1)
	call, written := uploadCall(cl)
	go func() { io.WriteString(cl, "0123"); cl.CloseWithError(fmt.Errorf("cut short: %w", io.EOF)) }()
	if r := send(testPool(9).endpointAt(addr), call); r.Result != upstream.NotSent || len(written) != 0 {
		t.Errorf("%v (%v), written %v", r.Result, r.Err, len(written) != 0)
	}
	if err := peertest.Wait(t, read); err == nil {
		t.Error("the server took part of a body for a complete one")
	}
}

// A server responds before it has the complete body, and then reads no more. Its response is returned at once, although writing
// the body is blocked. No other exchange is started with a body of which a part was read.
func TestEarlyResponseWhileBodyIsBlocked(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
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
			time.Sleep(time.Second) // until the writer is blocked
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}()
		pool := New(Settings{MaxConnections: 9, ConnectTimeout: time.Second, IdleTimeout: time.Second, ResponseBudget: membudget.New(0)}, n.Dial)
		body := message.NewUpload(1 << 30)
		go body.Pump(neverEnding{})
		defer body.Close()
		call := func() *upstream.Call {
			return &upstream.Call{Message: message.Request{Method: "POST", Target: "/once", Remainder: body}, Wait: time.Second}
		}
		began := time.Now()
		if r := pool.endpointAt("127.0.0.1:80").Send(t.Context(), call()); r.Result != upstream.Rejected || time.Since(began) > 2*time.Second {
			t.Errorf("%v (%v) after %v", r.Result, r.Err, time.Since(began))
		}
		go ln.Accept()
		if r := pool.endpointAt("127.0.0.1:80").Send(t.Context(), call()); r.Result != upstream.NotSent {
			t.Errorf("a partial body was sent: %v", r.Result)
		}
	})
}

// Guards against clients that announce a body and send none, and so hold all connections to servers.
func TestBodiesThatHaveNotBegunLeaveConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const connections, uploads = 6, 20
		n := memnet.New(time.Millisecond)
		listener, err := n.Listen("127.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		var heads atomic.Int64
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			heads.Add(1)
			if _, err := io.Copy(io.Discard, req.Body); err == nil {
				io.WriteString(w, "hi")
			}
		})}
		go server.Serve(listener)
		defer server.Close()
		pool := New(Settings{MaxConnections: connections, ConnectTimeout: time.Second, IdleTimeout: time.Second, ResponseBudget: membudget.New(0)}, n.Dial)
		e := pool.endpointAt("127.0.0.1:80")
		outcomes := make(chan upstream.Outcome, uploads)
		clients := make([]*client, uploads)
		for i := range clients {
			clients[i] = newClient(t, 4)
			call := &upstream.Call{Message: message.Request{Method: "POST", Target: "/once", Remainder: clients[i].upload}, Wait: time.Minute}
			go func() { outcomes <- e.Send(t.Context(), call) }()
		}
		time.Sleep(time.Second) // of virtual time: all calls wait for their bodies
		if got := heads.Load(); got != connections/2 {
			t.Errorf("%d servers wait for a body, of %d connections", got, connections)
		}
		if r := e.Send(t.Context(), newCall()); r.Result != upstream.Served {
			t.Errorf("an ordinary call: %v (%v)", r.Result, r.Err)
		}
		for _, c := range clients[:uploads-1] {
			io.WriteString(c, "body")
			if r := <-outcomes; r.Result != upstream.Served {
				t.Errorf("a body that begins: %v (%v)", r.Result, r.Err)
			}
		}
		clients[uploads-1].CloseWithError(io.ErrUnexpectedEOF)
		if r := <-outcomes; r.Result != upstream.NotSent || pool.callsBeforeBody != 0 {
			t.Errorf("a body that never begins: %v (%v), %d calls wait", r.Result, r.Err, pool.callsBeforeBody)
		}
	})
}

type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// If a call whose body is streamed is cancelled, the server does not get the end of the body.
func TestCancelDuringStreamedRequest(t *testing.T) {
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
	pool := testPool(9)
	c := newClient(t, 10)
	call, written := uploadCall(c)
	go io.WriteString(c, "01")
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan upstream.Outcome, 1)
	go func() { result <- pool.endpointAt(addr).Send(ctx, call) }()
	peertest.Wait(t, got)
	cancel()
	if r := peertest.Wait(t, result); r.Result != upstream.Cancelled || len(written) != 0 {
		t.Errorf("%v (%v), written %d", r.Result, r.Err, len(written))
	}
	if err := peertest.Wait(t, ended); err == nil {
		t.Error("the server took part of a body for a complete one")
	}
	if pool.Open() != 0 {
		t.Error("the connection is open")
	}
}

// A slow response is passed on before it is complete, whether it is sent in chunks, with a length or until the connection ends.
func TestSlowResponseIsStreamed(t *testing.T) {
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
		pool := testPool(9)
		call := newCall()
		began, ended := make(chan upstream.Outcome, 1), make(chan upstream.Outcome, 1)
		call.OnReplyStarted = func(out upstream.Outcome) { began <- out }
		go func() { ended <- pool.endpointAt(addr).Send(context.Background(), call) }()
		out := peertest.Wait(t, began) // although the server waits
		close(more)
		n, err := io.Copy(io.Discard, out.Reply.Remainder)
		if total := int(n) + len(out.Reply.Body); err != nil || total != 2_000_000 {
			t.Errorf("%s: %d bytes, %v", name, total, err)
		}
		if r := peertest.Wait(t, ended); r.Result != upstream.Served {
			t.Errorf("%s: %v (%v)", name, r.Result, r.Err)
		}
	}
}

// If a response breaks off after its first part was passed on, its reader gets an error, never an end as of a complete response.
// If the reader closes a response, its connection is closed.
func TestStreamedResponseBreaksOff(t *testing.T) {
	for name, response := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + strings.Repeat("x", 2_000_000),
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2dc6c0\r\n" + strings.Repeat("x", 2_000_000),
		"a bad chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1e8480\r\n" + strings.Repeat("x", 2_000_000) + "\r\nzz\r\n",
	} {
		addr := server(t, func(c net.Conn, in *bufio.Reader) {
			http.ReadRequest(in)
			io.WriteString(c, response)
		})
		r := send(testPool(9).endpointAt(addr), newCall())
		if !r.streamed || r.err == nil || r.ended.Result == upstream.Served {
			t.Errorf("%s: streamed %v, remainder %v, %v", name, r.streamed, r.err, r.ended.Result)
		}
	}
	pool := testPool(9)
	gone := make(chan error, 1)
	addr := server(t, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n")
		_, err := c.Write(make([]byte, 33_000_000))
		gone <- err
	})
	call := newCall()
	began := make(chan upstream.Outcome, 1)
	call.OnReplyStarted = func(out upstream.Outcome) { began <- out }
	go pool.endpointAt(addr).Send(context.Background(), call)
	out := peertest.Wait(t, began)
	out.Reply.Done()
	if err := peertest.Wait(t, gone); err == nil {
		t.Error("the server could write the complete response after its reader had closed it")
	}
	peertest.Eventually(t, "the connection is closed", func() bool { return pool.Open() == 0 })
}
