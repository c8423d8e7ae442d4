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

// A SIGHUP while the file is read for the first time neither ends the process nor is lost.
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

// Signals at each step of a shutdown: whatever comes after SIGTERM, accepted requests are answered, and the process ends with success and in
// time. The longest deadline in the settings is a second, and one of two servers never answers.
func TestSignalsInTheEnd(t *testing.T) {
	const longest = time.Second
	for _, again := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		for _, step := range []string{"a head is half read", "a body is half read", "a server hangs", "an answer is half written", "a connection is idle"} {
			t.Run(fmt.Sprint(again, " while ", step), func(t *testing.T) {
				t.Parallel()
				taken, half := make(chan struct{}, 1), make(chan struct{})
				server := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
					if step == "an answer is half written" {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 100_000))
						taken <- struct{}{}
						<-half
						io.WriteString(c, strings.Repeat("x", 100_000))
						return true
					}
					if step == "a server hangs" {
						taken <- struct{}{}
						return true
					}
					io.WriteString(c, peertest.OKResponse)
					return true
				})
				f := newFleet(t, strings.ReplaceAll(peertest.Settings, `"hard_limit_ms": 10000`, `"hard_limit_ms": 1000`))
				f.config = strings.Replace(f.config, f.config[strings.Index(f.config, `"known"`):strings.Index(f.config, `,"settings"`)],
					`"known":`+peertest.Catalog(1, true, peertest.Instance("s-1", server.Addr, "up")), 1)
				s := f.start()
				c, in := peertest.Dial(t, f.listen)
				whole := request("POST", "once", "t", "", 1000)
				rest, want := "", 200
				switch step {
				case "a head is half read":
					whole, rest = whole[:40], whole[40:]
				case "a body is half read":
					whole, rest = whole[:len(whole)-500], whole[len(whole)-500:]
				case "a server hangs":
					want = 502
				case "a connection is idle":
					rest = request("POST", "once", "u", "", 1000)
				}
				io.WriteString(c, whole)
				switch step {
				case "a server hangs", "an answer is half written":
					peertest.Wait(t, taken)
				case "a connection is idle":
					if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
						t.Fatalf("before the end: %d", resp.StatusCode)
					}
				default: // it has been read when a request behind it on another connection is answered
					peertest.SendRequest(t, f.listen, request("GET", "look", "v", "", 0))
				}
				began := time.Now()
				s.Signal(syscall.SIGTERM)
				peertest.Eventually(t, "it ends", func() bool { return s.Log.Has("now=stopping") })
				s.Signal(again)
				s.Signal(again)
				io.WriteString(c, rest)
				close(half)
				resp, err := http.ReadResponse(bufio.NewReader(in), nil)
				switch {
				case err == nil:
					if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != want || err != nil || n != resp.ContentLength {
						t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, n, resp.ContentLength, err)
					}
				case step != "a connection is idle": // which may be closed: its request was not read
					t.Errorf("%v", err)
				}
				if err := s.Wait(); err != nil || time.Since(began) > longest+700*time.Millisecond {
					t.Errorf("it ended after %v: %v", time.Since(began), err)
				}
			})
		}
	}
}
