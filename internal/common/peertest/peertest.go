// Package peertest has scripted peers on loopback for tests: servers and a discovery that answer what a test has them answer, and
// functions to wait for events. Only tests import it.
package peertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// EventTimeout bounds a wait for an event that must happen. No test waits so long when it passes.
const EventTimeout = 20 * time.Second

// Settings are settings of the platform's form: one class of each effect, two zones, reports in every answer.
const Settings = `{"classes": [
	{"name": "look", "effect": "read_like", "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "book", "effect": "idempotency_key", "group": "cell", "window_ms": 2000, "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "once", "effect": "non_idempotent", "on_time_ms": 8000, "hard_limit_ms": 10000}],
	"tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b"], "kinds": ["m1", "m2"], "discovery": "subscribe",
	"report": {"via": "piggyback", "fields": ["busy", "rate"]},
	"limits": {"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 5000, "max_attempts": 4, "retry_after": true, "max_retry_after_ms": 50},
	"rules": {"drain_grace_ms": 250}}`

// Peer is a server or a discovery on loopback, with counts of its connections and requests.
type Peer struct {
	Addr     string
	Conns    atomic.Int32
	Requests atomic.Int32
	Ended    chan struct{} // gets a value for each connection that the other side ended
}

// NewPeer starts a peer. handle answers each request on its connection, from that connection's goroutine; if it returns false the
// connection is closed.
func NewPeer(t *testing.T, handle func(c net.Conn, req *http.Request, body string) bool) *Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &Peer{Addr: ln.Addr().String(), Ended: make(chan struct{}, 100)}
	go acceptAll(ln, func(c net.Conn) {
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

// DeadAddr is an address at which nothing listens until the test ends. It is reserved, because a caller that retries might otherwise
// reach the peer of another test.
func DeadAddr(t *testing.T) string {
	t.Helper()
	return ReserveAddr(t)
}

// ReserveAddr is an address that a process may listen at and that the system gives nobody else until the test ends: a socket that does not
// listen is bound to it.
func ReserveAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	const reusePort = 0xf
	for _, option := range []int{syscall.SO_REUSEADDR, reusePort} {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// Instance is an entry of discovery's list, in its JSON form.
func Instance(name, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m2","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		name, addr, lifecycle)
}

// Catalog is a message of discovery, in its JSON form.
func Catalog(generation int, reset bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(instances, ","))
}

// Dial connects to an address, with a deadline of EventTimeout. The connection is closed with the test.
func Dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(EventTimeout))
	return c, bufio.NewReader(c)
}

// SendRequest sends a request on a connection of its own and reads the response and its body.
func SendRequest(t *testing.T, addr, request string) (*http.Response, string) {
	t.Helper()
	c, in := Dial(t, addr)
	io.WriteString(c, request)
	return ReadResponse(t, in)
}

// ReadResponse reads one response and its body.
func ReadResponse(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Eventually polls until ok returns true. what names the state in the failure.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(EventTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// Wait receives a value that must come.
func Wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(EventTimeout):
		t.Fatalf("nothing was received within %v", EventTimeout)
		panic("not reached")
	}
}

// FullBacklogAddr is the address of a listener whose queue is full, so that connections to it are never established.
func FullBacklogAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until one is not established
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// SkipUnlessMeasuring skips a measurement unless FIGURES is set: measurements are not part of the checks.
func SkipUnlessMeasuring(t testing.TB) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES=1 measures")
	}
}
