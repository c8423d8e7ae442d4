package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
)

// A SIGHUP while the configuration file is read for the first time neither ends the process nor is lost.
func TestAHangUpSignalDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := process.Self("PETRELHOOK_TEST_RUN", "1")
	cmd.Env = append(cmd.Env, "LB_CONFIG="+path, "LB_ADMIN_ADDR=")
	p := process.Start(t, cmd)
	write := func() {
		file, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the other end is opened
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		if strings.Contains(p.Log.String(), "serving") {
			io.WriteString(file, goodConfig)
			return
		}
		p.Signal(syscall.SIGHUP)
		io.WriteString(file, goodConfig)
	}
	write()
	peertest.Eventually(t, "it serves", func() bool { return p.Log.Has("serving") || len(p.Ended) > 0 })
	if len(p.Ended) > 0 {
		t.Fatalf("the signal ended it: %v", <-p.Ended)
	}
	write()
	peertest.Eventually(t, "it has followed the signal", func() bool { return p.Log.Has("reloaded") })
	p.Signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// shutdownStep is what is in progress when a process gets SIGTERM.
type shutdownStep string

const (
	headHalfRead     shutdownStep = "a head is half read"
	bodyHalfRead     shutdownStep = "a body is half read"
	serverHangs      shutdownStep = "a server hangs"
	responseHalfSent shutdownStep = "a response is half sent"
	connectionIsIdle shutdownStep = "a connection is idle"
)

const halfResponseLength = 100_000

// stepServer is a server that behaves as a shutdownStep requires.
type stepServer struct {
	*peertest.Peer
	reached chan struct{} // receives when a request has arrived or its response is half sent
	release chan struct{} // closed to make the server send the other half
}

func newStepServer(t *testing.T, step shutdownStep) *stepServer {
	t.Helper()
	s := &stepServer{reached: make(chan struct{}, 1), release: make(chan struct{})}
	s.Peer = peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		half := strings.Repeat("x", halfResponseLength)
		switch step {
		case responseHalfSent:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*halfResponseLength, half)
			s.reached <- struct{}{}
			<-s.release
			io.WriteString(c, half)
		case serverHangs:
			s.reached <- struct{}{}
		default:
			io.WriteString(c, peertest.OKResponse)
		}
		return true
	})
	return s
}

// split returns what a client sends before and after SIGTERM.
func (step shutdownStep) split() (before, after string) {
	whole := request("POST", "once", "t", "", 1000)
	switch step {
	case headHalfRead:
		return whole[:40], whole[40:]
	case bodyHalfRead:
		return whole[:len(whole)-500], whole[len(whole)-500:]
	case connectionIsIdle:
		return whole, request("POST", "once", "u", "", 1000)
	default:
		return whole, ""
	}
}

// waitReached waits until the sidecar has reached the step. The client has sent the part before SIGTERM.
func (step shutdownStep) waitReached(t *testing.T, server *stepServer, listen string, in *bufio.Reader) {
	t.Helper()
	switch step {
	case serverHangs, responseHalfSent:
		peertest.Wait(t, server.reached)
	case connectionIsIdle:
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
			t.Fatalf("before the end: %d", resp.StatusCode)
		}
	default: // the sidecar has read it once a later request on another connection is answered
		peertest.SendRequest(t, listen, request("GET", "look", "v", "", 0))
	}
}

// checkResponse fails unless the request gets a complete response. Only on an idle connection, whose request is sent after SIGTERM, may the
// connection be closed without a response.
func (step shutdownStep) checkResponse(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		if step != connectionIsIdle {
			t.Errorf("%v", err)
		}
		return
	}
	want := 200
	if step == serverHangs {
		want = 502
	}
	if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != want || err != nil || n != resp.ContentLength {
		t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, n, resp.ContentLength, err)
	}
}

// At each shutdownStep a process gets SIGTERM and then another signal, twice. Accepted requests are answered, and the process ends in time with
// exit code 0. The longest deadline in the settings is a second.
func TestSignalsInTheEnd(t *testing.T) {
	for _, secondSignal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		for _, step := range []shutdownStep{headHalfRead, bodyHalfRead, serverHangs, responseHalfSent, connectionIsIdle} {
			t.Run(fmt.Sprint(secondSignal, " while ", step), func(t *testing.T) {
				t.Parallel()
				checkSignalsInTheEnd(t, secondSignal, step)
			})
		}
	}
}

// checkSignalsInTheEnd sends SIGTERM to a process at a step, and sends it secondSignal twice once it is stopping.
func checkSignalsInTheEnd(t *testing.T, secondSignal syscall.Signal, step shutdownStep) {
	t.Helper()
	const longestDeadline = time.Second
	server := newStepServer(t, step)
	f := newFleet(t, strings.ReplaceAll(peertest.Settings, `"hard_limit_ms": 10000`, `"hard_limit_ms": 1000`))
	f.setServers(peertest.Instance("s-1", server.Addr, "up"))
	s := f.start()
	conn, in := peertest.Dial(t, f.listen)
	before, after := step.split()
	io.WriteString(conn, before)
	step.waitReached(t, server, f.listen, in)

	began := time.Now()
	s.Signal(syscall.SIGTERM)
	peertest.Eventually(t, "it ends", func() bool { return s.Log.Has("now=stopping") })
	s.Signal(secondSignal)
	s.Signal(secondSignal)
	io.WriteString(conn, after)
	close(server.release)
	step.checkResponse(t, in)
	if err := s.Wait(); err != nil || time.Since(began) > longestDeadline+700*time.Millisecond {
		t.Errorf("it ended after %v: %v", time.Since(began), err)
	}
}
