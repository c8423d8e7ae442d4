package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// eventTimeout bounds the wait for an event that must happen.
const eventTimeout = 20 * time.Second

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(eventTimeout):
		t.Fatal("timed out waiting for an event")
		panic("not reached")
	}
}

// serviceProcess represents a process in service: a listener and the server that hands it over.
type serviceProcess struct {
	*Server
	ln        *net.TCPListener
	successor chan *Link
	linkEnded chan struct{}
	notSent   chan struct{}
	failed    chan error
}

func startServing(t *testing.T, r Rendezvous, ln *net.TCPListener, state string) *serviceProcess {
	t.Helper()
	s := &serviceProcess{ln: ln, successor: make(chan *Link, 9), linkEnded: make(chan struct{}, 9), notSent: make(chan struct{}, 9), failed: make(chan error, 9)}
	s.Server = &Server{
		Snapshot: func() (*os.File, []byte, error) { f, err := ln.File(); return f, []byte(state), err },
		OnSuccessor: func(l *Link) {
			s.successor <- l
			l.ReadLines(func(line string) { l.Send("you said " + line) })
			s.linkEnded <- struct{}{}
		},
		OnNotSent: func() { s.notSent <- struct{}{} },
		OnError:   func(err error) { s.failed <- err },
	}
	if err := s.Start(r); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// Three hand-overs follow one another, in a folder with a short path and in one whose path is too long for a socket address. Each
// successor gets the listening socket of the first process. The socket goes on accepting after the predecessor has closed its
// descriptor, and a connection in the accept queue is not lost.
func TestThreeHandoversInARow(t *testing.T) {
	longPath := t.TempDir()
	for range 3 {
		longPath = filepath.Join(longPath, strings.Repeat("x", 60))
	}
	if err := os.MkdirAll(longPath, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{t.TempDir(), longPath} {
		r, ln := NewRendezvous(dir, "n0", "127.0.0.1:8080"), listen(t)
		addr := ln.Addr().String()
		for _, state := range []string{"", "one", strings.Repeat("two", 1_000_000)} {
			s := startServing(t, r, ln, state)
			waiting, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			received, err := r.Request(eventTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if string(received.State) != state || received.Listener.Addr().String() != addr {
				t.Fatalf("%d bytes of %d", len(received.State), len(state))
			}
			next, link := received.Listener, received.Link
			wait(t, s.successor)
			ln.Close()
			c, err := next.Accept()
			if err != nil || c.RemoteAddr().String() != waiting.LocalAddr().String() {
				t.Fatalf("%v, %v", c, err)
			}
			c.Close()
			waiting.Close()
			link.Send("ready")
			lines := make(chan string, 1)
			go link.ReadLines(func(line string) { lines <- line })
			if line := wait(t, lines); line != "you said ready" {
				t.Errorf("%q", line)
			}
			link.Close()
			wait(t, s.linkEnded)
			ln = next.(*net.TCPListener)
		}
	}
}

// There is no predecessor if no process is in service, or if one has crashed and left its socket file behind. A new process can
// listen at the rendezvous in either case.
func TestNoPredecessor(t *testing.T) {
	dir := t.TempDir()
	r := NewRendezvous(dir, "n/0 ü", "a:1")
	if r == NewRendezvous(dir, "n/0 ü", "a:2") || r == NewRendezvous(dir, "n_0 ü", "a:1") {
		t.Error("two sidecars share a rendezvous")
	}
	for range 2 {
		if _, err := r.Request(eventTimeout); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", err)
		}
		ln, err := r.listen()
		if err != nil {
			t.Fatal(err)
		}
		ln.Close() // as after a crash: the socket file remains
		if _, err := os.Stat(r.path()); err != nil {
			t.Error(err)
		}
	}
	s := startServing(t, r, listen(t), "x")
	if received, err := r.Request(eventTimeout); err != nil {
		t.Error(err)
	} else {
		received.Link.Close()
	}
	s.Close()
	if _, err := (Rendezvous{filepath.Join(dir, "none"), "x"}).Request(eventTimeout); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("%v", err)
	}
	if err := (&Server{}).Start(Rendezvous{filepath.Join(dir, "none"), "x"}); err == nil {
		t.Error("Start succeeded in a folder that does not exist")
	}
}

// scriptedAnswer is the answer of a fake process in service: a text that carries some sockets. Then the connection is closed or
// stays silent.
type scriptedAnswer struct {
	text    string
	sockets int
	hangs   bool // the connection stays open
}

// answerOnce answers the first request at a rendezvous. A connection that hangs is closed at the end of the test.
func answerOnce(t *testing.T, r Rendezvous, answer scriptedAnswer) {
	t.Helper()
	listener, err := r.listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	socket, err := listen(t).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	fds := slices.Repeat([]int{int(socket.Fd())}, answer.sockets)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		io.ReadFull(conn, make([]byte, len(hello())))
		if answer.text != "" {
			conn.WriteMsgUnix([]byte(answer.text), syscall.UnixRights(fds...), nil)
		}
		if answer.hangs {
			<-release
		}
	}()
}

// Request returns an error for an answer that is not a complete hand-over, and waits for a process that does not answer only
// until its timeout.
func TestIncompleteHandoverIsAnError(t *testing.T) {
	validHeader := header([]byte("state"))
	for name, c := range map[string]struct {
		answer scriptedAnswer
		want   string // in the error's text
	}{
		"another version": {scriptedAnswer{text: strings.Replace(validHeader, " 1 ", " 2 ", 1), sockets: 1}, "another version"},
		"an older one":    {scriptedAnswer{text: strings.Replace(validHeader, " 1 ", " 0 ", 1), sockets: 1}, "another version"},
		"flipped bits":    {scriptedAnswer{text: validHeader + "stAte", sockets: 1}, "damaged"},
		"cut short":       {scriptedAnswer{text: validHeader + "stat", sockets: 1}, "the state"},
		"half a header":   {scriptedAnswer{text: validHeader[:9], sockets: 1}, "header"},
		"no socket":       {scriptedAnswer{text: validHeader + "state", sockets: 0}, "0 sockets"},
		"two sockets":     {scriptedAnswer{text: validHeader + "state", sockets: 2}, "2 sockets"},
		"nonsense":        {scriptedAnswer{text: "HTTP/1.1 200 OK\r\n\r\n", sockets: 1}, "malformed hand-over"},
		"a huge state":    {scriptedAnswer{text: "petrelhook handover 1 99999999999 0\n", sockets: 1}, "malformed hand-over"},
		"a negative one":  {scriptedAnswer{text: "petrelhook handover 1 -1 0\n", sockets: 1}, "malformed hand-over"},
		"nothing":         {scriptedAnswer{}, "EOF"},
		"silence":         {scriptedAnswer{hangs: true}, "timeout"},
		"a silent state":  {scriptedAnswer{text: validHeader + "st", sockets: 1, hangs: true}, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRendezvous(t.TempDir(), "n0", "a:1")
			answerOnce(t, r, c.answer)
			timeout := eventTimeout
			if c.answer.hangs {
				timeout = 20 * time.Millisecond
			}
			_, err := r.Request(timeout)
			if err == nil || errors.Is(err, ErrNoPredecessor) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}

// A request that is malformed, has another version or is cut short is reported, and does not affect the next one, which gets the
// complete state.
func TestMalformedRequests(t *testing.T) {
	r := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := startServing(t, r, listen(t), strings.Repeat("state", 1_000_000))
	for _, request := range []string{"nonsense\n", "petrelhook handover 2\n", strings.Repeat("x", 1000), "petrel", hello()} {
		conn, err := net.Dial("unix", r.path())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, request)
		conn.(*net.UnixConn).CloseWrite()
		if request == hello() {
			io.ReadFull(conn, make([]byte, 100)) // the successor ends while it receives the state
		}
		conn.Close()
		wait(t, s.failed)
	}
	if n := len(s.notSent); n != 1 {
		t.Errorf("%d states were not sent, of 1", n)
	}
	received, err := r.Request(eventTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if len(received.State) != 5_000_000 {
		t.Fatalf("%d bytes", len(received.State))
	}
	received.Link.Close()
	wait(t, s.linkEnded)
}

// When the process in service ends, its successor sees the end of the link.
func TestPredecessorEnds(t *testing.T) {
	r := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := startServing(t, r, listen(t), "x")
	received, err := r.Request(eventTimeout)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { received.Link.ReadLines(func(string) {}); close(ended) }()
	wait(t, s.successor)
	s.Close()
	wait(t, ended)
	if _, err := r.Request(eventTimeout); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("%v", err)
	}
}
