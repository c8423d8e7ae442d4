// Package peertest has scripted peers on loopback for tests: servers and a discovery that answer what a test has them answer, addresses
// at which nothing answers, a client, and functions to wait for events. Only tests import it.
//
// A function that takes a testing.TB ends the test if its set-up fails, and releases with the test's clean-up what it started.
package peertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Peer is a server or a discovery on loopback, with counts of its connections and requests.
type Peer struct {
	Addr     string
	Conns    atomic.Int32
	Requests atomic.Int32
	Ended    chan struct{} // gets a value for each connection that the other side ended; it has room for 100
}

// NewPeer starts a peer. handle answers each request on its connection, from that connection's goroutine; if it returns false the
// connection is closed.
func NewPeer(t testing.TB, handle func(c net.Conn, req *http.Request, body string) bool) *Peer {
	t.Helper()
	p := &Peer{Ended: make(chan struct{}, 100)}
	p.Addr = NewRaw(t, func(c net.Conn) {
		p.Conns.Add(1)
		p.serve(c, handle)
	})
	return p
}

// serve answers the requests of one connection until either side ends it.
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

// NewRaw starts a peer whose handle gets each connection, in a goroutine of its own; the connection is closed when handle returns.
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

// acceptAll gives each connection to handle, in a goroutine of its own, and closes it after that, until the listener is closed.
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

// RespondWith is a handle for NewPeer that answers each request with a text.
func RespondWith(text string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, text)
		return true
	}
}

// OKResponse is a successful response with a body of two bytes.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// NeverRespond is a handle for NewPeer that answers nothing and leaves the connection open.
func NeverRespond(c net.Conn, _ *http.Request, _ string) bool { return true }
