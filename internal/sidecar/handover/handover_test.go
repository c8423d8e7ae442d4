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

const patience = 20 * time.Second // for what must come

func wait[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("waited in vain")
		panic("not reached")
	}
}

// inService is a process in service: a listener and the server that hands it over.
type inService struct {
	*Server
	ln        *net.TCPListener
	successor chan *Link
	linkEnded chan struct{}
	failed    chan error
}

func serving(t *testing.T, r Rendezvous, ln *net.TCPListener, state string) *inService {
	t.Helper()
	s := &inService{ln: ln, successor: make(chan *Link, 9), linkEnded: make(chan struct{}, 9), failed: make(chan error, 9)}
	s.Server = &Server{
		Snapshot: func() (*os.File, []byte, error) { f, err := ln.File(); return f, []byte(state), err },
		OnSuccessor: func(l *Link) {
			s.successor <- l
			l.ReadLines(func(line string) { l.Send("you said " + line) })
			s.linkEnded <- struct{}{}
		},
		OnError: func(err error) { s.failed <- err },
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

// Three processes, one after another, in a folder with a short path and in one whose path no socket address holds: each has the listening
// socket of the first, which goes on accepting after that process has closed it, and a connection in its queue is not lost.
func TestThreeInARow(t *testing.T) {
	long := t.TempDir()
	for range 3 {
		long = filepath.Join(long, strings.Repeat("x", 60))
	}
	if err := os.MkdirAll(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{t.TempDir(), long} {
		r, ln := NewRendezvous(dir, "n0", "127.0.0.1:8080"), listen(t)
		addr := ln.Addr().String()
		for _, state := range []string{"", "one", strings.Repeat("two", 1_000_000)} {
			s := serving(t, r, ln, state)
			waiting, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			received, err := r.Request(patience)
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

// No process is in service, or one has died and left its socket file behind: there is no predecessor, and the rendezvous can be listened at.
func TestNoPredecessor(t *testing.T) {
	dir := t.TempDir()
	r := NewRendezvous(dir, "n/0 ü", "a:1")
	if r == NewRendezvous(dir, "n/0 ü", "a:2") || r == NewRendezvous(dir, "n_0 ü", "a:1") {
		t.Error("two sidecars have one rendezvous")
	}
	for range 2 {
		if _, err := r.Request(patience); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
			t.Errorf("%v", err)
		}
		ln, err := r.listen()
		if err != nil {
			t.Fatal(err)
		}
		ln.Close() // as after a crash: its file stays
		if _, err := os.Stat(r.path()); err != nil {
			t.Error(err)
		}
	}
	s := serving(t, r, listen(t), "x")
	if received, err := r.Request(patience); err != nil {
		t.Error(err)
	} else {
		received.Link.Close()
	}
	s.Close()
	if _, err := (Rendezvous{filepath.Join(dir, "none"), "x"}).Request(patience); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("%v", err)
	}
	if err := (&Server{}).Start(Rendezvous{filepath.Join(dir, "none"), "x"}); err == nil {
		t.Error("a rendezvous in no folder")
	}
}

// scriptedAnswer is what a process answers to a request: a text that carries some sockets, and then the end of the connection or silence.
type scriptedAnswer struct {
	text    string
	sockets int
	hangs   bool // the connection stays open
}

// answerOnce gives the answer to the first request at a rendezvous. A connection that hangs is closed at the end of the test.
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

// An answer that is not a complete hand-over gives an error and nothing else; a process that does not answer is not waited for beyond the
// time-out.
func TestIncompleteHandoverIsAnError(t *testing.T) {
	good := header([]byte("state"))
	for name, c := range map[string]struct {
		answer scriptedAnswer
		want   string // in the error's text
	}{
		"another version": {scriptedAnswer{text: strings.Replace(good, " 1 ", " 2 ", 1), sockets: 1}, "another version"},
		"an older one":    {scriptedAnswer{text: strings.Replace(good, " 1 ", " 0 ", 1), sockets: 1}, "another version"},
		"flipped bits":    {scriptedAnswer{text: good + "stAte", sockets: 1}, "damaged"},
		"cut short":       {scriptedAnswer{text: good + "stat", sockets: 1}, "the state"},
		"half a header":   {scriptedAnswer{text: good[:9], sockets: 1}, "header"},
		"no socket":       {scriptedAnswer{text: good + "state", sockets: 0}, "0 sockets"},
		"two sockets":     {scriptedAnswer{text: good + "state", sockets: 2}, "2 sockets"},
		"nonsense":        {scriptedAnswer{text: "HTTP/1.1 200 OK\r\n\r\n", sockets: 1}, "no hand-over"},
		"a huge state":    {scriptedAnswer{text: "petrelhook handover 1 99999999999 0\n", sockets: 1}, "no hand-over"},
		"a negative one":  {scriptedAnswer{text: "petrelhook handover 1 -1 0\n", sockets: 1}, "no hand-over"},
		"nothing":         {scriptedAnswer{}, "EOF"},
		"silence":         {scriptedAnswer{hangs: true}, "timeout"},
		"a silent state":  {scriptedAnswer{text: good + "st", sockets: 1, hangs: true}, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRendezvous(t.TempDir(), "n0", "a:1")
			answerOnce(t, r, c.answer)
			timeout := patience
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

// A request that is malformed, of another version or broken off is reported, and does no harm: the next one gets the complete state.
func TestMalformedRequests(t *testing.T) {
	r := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := serving(t, r, listen(t), strings.Repeat("state", 1_000_000))
	for _, says := range []string{"nonsense\n", "petrelhook handover 2\n", strings.Repeat("x", 1000), "petrel", hello()} {
		conn, err := net.Dial("unix", r.path())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, says)
		conn.(*net.UnixConn).CloseWrite()
		if says == hello() {
			io.ReadFull(conn, make([]byte, 100)) // and dies during the state
		}
		conn.Close()
		wait(t, s.failed)
	}
	received, err := r.Request(patience)
	if err != nil {
		t.Fatal(err)
	}
	if len(received.State) != 5_000_000 {
		t.Fatalf("%d bytes", len(received.State))
	}
	received.Link.Close()
	wait(t, s.linkEnded)
}

// The process in service ends: its successor sees the end of the link.
func TestPredecessorEnds(t *testing.T) {
	r := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := serving(t, r, listen(t), "x")
	received, err := r.Request(patience)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { received.Link.ReadLines(func(string) {}); close(ended) }()
	wait(t, s.successor)
	s.Close()
	wait(t, ended)
	if _, err := r.Request(patience); err != ErrNoPredecessor { //nolint:errorlint // the sentinel itself, not wrapped
		t.Errorf("%v", err)
	}
}
