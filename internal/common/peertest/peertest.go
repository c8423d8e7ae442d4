// Package peertest is scripted peers on loopback, for tests: servers and discovery that say what a test has them say,
// and what a test waits with. Only tests import it.
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

// Patience bounds a wait.
const Patience = 20 * time.Second // for what must come; no test waits so long when it passes

// Settings are settings of the platform's form: one class of each effect, two zones, reports in every answer.
const Settings = `{"classes": [
	{"name": "look", "effect": "read_like", "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "book", "effect": "idempotency_key", "group": "cell", "window_ms": 2000, "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "once", "effect": "non_idempotent", "on_time_ms": 8000, "hard_limit_ms": 10000}],
	"tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b"], "kinds": ["m1", "m2"], "discovery": "subscribe",
	"report": {"via": "piggyback", "fields": ["busy", "rate"]},
	"limits": {"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 5000, "max_attempts": 4, "retry_after": true, "max_retry_after_ms": 50},
	"rules": {"drain_grace_ms": 250}}`

// Peer is a server or a discovery on loopback: each request is answered by handle; false ends the connection.
type Peer struct {
	Addr     string
	Conns    atomic.Int32
	Requests atomic.Int32
	Ended    chan struct{} // a connection's end, as its peer brought it about
}

// NewPeer starts a peer; each request is answered by handle, and false ends the connection.
func NewPeer(t *testing.T, handle func(c net.Conn, req *http.Request, body string) bool) *Peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &Peer{Addr: ln.Addr().String(), Ended: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.Conns.Add(1)
			go func() {
				defer c.Close()
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
			}()
		}
	}()
	return p
}

// NewRaw starts a peer that is handed each connection as it is, and closes it when handle returns.
func NewRaw(t testing.TB, handle func(net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
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
	}()
	return ln.Addr().String()
}

// Says answers each request with a text.
func Says(text string) func(net.Conn, *http.Request, string) bool {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, text)
		return true
	}
}

// OKAnswer is an answer of success with a body of two bytes.
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Silent reads a request and says nothing until the other side goes.
func Silent(c net.Conn, _ *http.Request, _ string) bool { return true }

// DeadAddr is an address at which nobody listens, nor does until the test ends: whoever calls it again and again would come to
// the peer of another test.
func DeadAddr(t *testing.T) string {
	t.Helper()
	return Reserved(t)
}

// Reserved is an address that a process may listen at, and that nobody else is given until the test ends: a socket is bound
// to it that does not listen.
func Reserved(t *testing.T) string {
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

// Instance is an entry of a list, in discovery's form.
func Instance(name, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m2","cell":3,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
		name, addr, lifecycle)
}

// Catalog is a message of discovery.
func Catalog(generation int, reset bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(instances, ","))
}

// Open connects as a client does.
func Open(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(Patience))
	return c, bufio.NewReader(c)
}

// Ask sends a request on a connection of its own and reads the answer.
func Ask(t *testing.T, addr, request string) (*http.Response, string) {
	t.Helper()
	c, in := Open(t, addr)
	io.WriteString(c, request)
	return Answer(t, in)
}

// Answer reads one answer.
func Answer(t *testing.T, in *bufio.Reader) (*http.Response, string) {
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

// Eventually waits for a state that nothing announces.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// Wait takes what must come.
func Wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// CutOff is the address of a listener whose backlog is full, so that connections to it never come up.
func CutOff(t *testing.T) string {
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
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// Figures skips a measurement unless it is asked for: they are no part of the checks.
func Figures(t testing.TB) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES=1 measures")
	}
}
