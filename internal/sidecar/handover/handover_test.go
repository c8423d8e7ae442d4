package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
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

// inService is a process in service: a listener and its offer.
type inService struct {
	*Server
	ln     *net.TCPListener
	met    chan *Link
	over   chan struct{} // a link has ended
	failed chan error
}

func serving(t *testing.T, p Rendezvous, ln *net.TCPListener, state string) *inService {
	t.Helper()
	s := &inService{ln: ln, met: make(chan *Link, 9), over: make(chan struct{}, 9), failed: make(chan error, 9)}
	s.Server = &Server{
		Snapshot: func() (*os.File, []byte, error) { f, err := ln.File(); return f, []byte(state), err },
		OnSuccessor: func(l *Link) {
			s.met <- l
			l.ReadLines(func(line string) { l.Send("you said " + line) })
			s.over <- struct{}{}
		},
		OnError: func(err error) { s.failed <- err },
	}
	if err := s.Start(p); err != nil {
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

// Three processes, one after another, in a short folder and in one whose path no socket address holds: each has the socket of
// the first, which goes on accepting after that one has closed it, and a connection that waited in the queue is not lost.
func TestThreeInARow(t *testing.T) {
	long := t.TempDir()
	for range 3 {
		long = filepath.Join(long, strings.Repeat("x", 60))
	}
	if err := os.MkdirAll(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, dir := range []string{t.TempDir(), long} {
		p, ln := NewRendezvous(dir, "n0", "127.0.0.1:8080"), listen(t)
		addr := ln.Addr().String()
		for _, state := range []string{"", "one", strings.Repeat("two", 1_000_000)} {
			s := serving(t, p, ln, state)
			waiting, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			next, got, link, err := p.Request(patience)
			if err != nil || string(got) != state || next.Addr().String() != addr {
				t.Fatalf("%v, %d bytes of %d", err, len(got), len(state))
			}
			wait(t, s.met)
			ln.Close()
			c, err := next.Accept()
			if err != nil || c.RemoteAddr().String() != waiting.LocalAddr().String() {
				t.Fatalf("%v, %v", c, err)
			}
			c.Close()
			waiting.Close()
			link.Send("ready")
			heard := make(chan string, 1)
			go link.ReadLines(func(line string) { heard <- line })
			if line := wait(t, heard); line != "you said ready" {
				t.Errorf("%q", line)
			}
			link.Close()
			wait(t, s.over)
			ln = next.(*net.TCPListener)
		}
	}
}

// Nobody is there, nobody ever was, or somebody died and left his socket behind: a start from nothing, and the place can be had.
func TestNobodyIsInService(t *testing.T) {
	dir := t.TempDir()
	p := NewRendezvous(dir, "n/0 ü", "a:1")
	if p == NewRendezvous(dir, "n/0 ü", "a:2") || p == NewRendezvous(dir, "n_0 ü", "a:1") {
		t.Error("two sidecars meet")
	}
	for range 2 {
		if _, _, _, err := p.Request(patience); err != ErrNoPredecessor {
			t.Errorf("%v", err)
		}
		ln, err := p.listen()
		if err != nil {
			t.Fatal(err)
		}
		ln.Close() // without a word, and its file stays
		if _, err := os.Stat(p.path()); err != nil {
			t.Error(err)
		}
	}
	s := serving(t, p, listen(t), "x")
	if _, _, link, err := p.Request(patience); err != nil {
		t.Error(err)
	} else {
		link.Close()
	}
	s.Close()
	if _, _, _, err := (Rendezvous{filepath.Join(dir, "none"), "x"}).Request(patience); err != ErrNoPredecessor {
		t.Errorf("%v", err)
	}
	if err := (&Server{}).Start(Rendezvous{filepath.Join(dir, "none"), "x"}); err == nil {
		t.Error("a place in no folder")
	}
}

// Whatever the process in service says that is not a whole hand-over gives an error and nothing else; one that says nothing is
// not waited for longer than told.
func TestWhatIsNotWholeIsNotTaken(t *testing.T) {
	good := header([]byte("state"))
	for name, c := range map[string]struct {
		says    string
		sockets int
		hangs   bool
		want    string
	}{
		"another version": {strings.Replace(good, " 1 ", " 2 ", 1), 1, false, "another version"},
		"an older one":    {strings.Replace(good, " 1 ", " 0 ", 1), 1, false, "another version"},
		"flipped bits":    {good + "stAte", 1, false, "damaged"},
		"cut short":       {good + "stat", 1, false, "the state"},
		"half a header":   {good[:9], 1, false, "header"},
		"no socket":       {good + "state", 0, false, "0 sockets"},
		"two sockets":     {good + "state", 2, false, "2 sockets"},
		"nonsense":        {"HTTP/1.1 200 OK\r\n\r\n", 1, false, "no hand-over"},
		"a huge state":    {"petrelhook handover 1 99999999999 0\n", 1, false, "no hand-over"},
		"a negative one":  {"petrelhook handover 1 -1 0\n", 1, false, "no hand-over"},
		"nothing":         {"", 0, false, "EOF"},
		"silence":         {"", 0, true, "timeout"},
		"a silent state":  {good + "st", 1, true, "timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewRendezvous(t.TempDir(), "n0", "a:1")
			unix, err := p.listen()
			if err != nil {
				t.Fatal(err)
			}
			defer unix.Close()
			file, err := listen(t).File()
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			fd := int(file.Fd())
			release := make(chan struct{})
			defer close(release)
			go func() {
				conn, err := unix.AcceptUnix()
				if err != nil {
					return
				}
				defer conn.Close()
				io.ReadFull(conn, make([]byte, len(hello())))
				var fds []int
				for range c.sockets {
					fds = append(fds, fd)
				}
				if c.says != "" {
					conn.WriteMsgUnix([]byte(c.says), syscall.UnixRights(fds...), nil)
				}
				if c.hangs {
					<-release
				}
			}()
			within := patience
			if c.hangs {
				within = 20 * time.Millisecond
			}
			_, _, _, err = p.Request(within)
			if err == nil || errors.Is(err, ErrNoPredecessor) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}

// Who asks in the wrong way, in another version, or dies in the middle is told of, and harms nobody: the next has all of it.
func TestWhoAsksBadly(t *testing.T) {
	p := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := serving(t, p, listen(t), strings.Repeat("state", 1_000_000))
	for _, says := range []string{"nonsense\n", "petrelhook handover 2\n", strings.Repeat("x", 1000), "petrel", hello()} {
		conn, err := net.Dial("unix", p.path())
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
	_, state, link, err := p.Request(patience)
	if err != nil || len(state) != 5_000_000 {
		t.Fatalf("%v, %d bytes", err, len(state))
	}
	link.Close()
	wait(t, s.over)
}

// The one in service dies: the next hears of it by the end of the link.
func TestTheEndOfTheOneBefore(t *testing.T) {
	p := NewRendezvous(t.TempDir(), "n0", "a:1")
	s := serving(t, p, listen(t), "x")
	_, _, link, err := p.Request(patience)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { link.ReadLines(func(string) {}); close(ended) }()
	wait(t, s.met)
	s.Close()
	wait(t, ended)
	if _, _, _, err := p.Request(patience); err != ErrNoPredecessor {
		t.Errorf("%v", err)
	}
}
