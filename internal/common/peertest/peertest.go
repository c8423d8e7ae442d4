// Package peertest has scripted peers on loopback for tests: servers and a discovery service whose answers a test determines,
// addresses at which nothing answers, a client, and functions that wait for events. Only tests import it.
//
// A function that takes a testing.TB ends the test if its set-up fails, and registers a clean-up for everything that it starts.
package peertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Peer is a scripted HTTP server on loopback that counts its connections and requests. It is safe for concurrent use.
type Peer struct {
	Addr     string
	Conns    atomic.Int32
	Requests atomic.Int32
	Ended    chan struct{} // receives a value for each connection that the other side has ended; its buffer holds 100
}

// NewPeer starts a peer. handle writes the answer to each request to the connection c, from that connection's goroutine; the
// connection is closed if handle returns false.
func NewPeer(t testing.TB, handle func(c net.Conn, req *http.Request, body string) bool) *Peer {
	t.Helper()
	p := &Peer{Ended: make(chan struct{}, 100)}
	p.Addr = NewRaw(t, func(c net.Conn) {
		p.Conns.Add(1)
		p.serve(c, handle)
	})
	return p
}

// serve passes the requests of one connection to handle until the other side ends the connection or handle returns false.
func (p *Peer) serve(c net.Conn, handle func(c net.Conn, req *http.Request, body string) bool) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			p.Ended <- struct{}{}
			return
		}
		body, _ := io.ReadAll(req.Body)
		p.Requests.Add(1)
		if !handle(c, req, string(body)) {
			return
		}
	}
}

// NewRaw starts a TCP server on loopback and returns its address. It calls handle with each connection in a separate goroutine,
// and closes the connection when handle returns.
func NewRaw(t testing.TB, handle func(net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go acceptAll(ln, handle)
	return ln.Addr().String()
}

// acceptAll accepts connections until the listener is closed. It calls handle with each in a separate goroutine, and closes the
// connection when handle returns.
func acceptAll(ln net.Listener, handle func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			handle(c)
		}()
	}
}

// RespondWith returns a handle for NewPeer that answers each request by writing text to the connection, unchanged.
func RespondWith(text string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, text)
		return true
	}
}

// OKResponse is a successful response with a body of two bytes.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// NeverRespond is a handle for NewPeer that sends no answer and leaves the connection open.
func NeverRespond(c net.Conn, _ *http.Request, _ string) bool { return true }
