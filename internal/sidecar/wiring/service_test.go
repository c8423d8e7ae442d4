package wiring

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/admin"
	"petrelhook/internal/sidecar/core"
	"petrelhook/internal/sidecar/lifecycle"
)

const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"

// inService is a sidecar that operators can call at calls.
func inService(t *testing.T, addrs ...string) (r *rig, calls string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r = rigWith(t, peertest.DeadAddr(t), listed(addrs), `"admin_addr":"127.0.0.1:0","limits":{"sockets":120},`, ln, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		r.stop()
		if err := peertest.Wait(t, r.ended); err != nil {
			t.Error(err)
		}
	})
	calls = ln.Addr().String()
	peertest.Eventually(t, "ready", func() bool { return call(t, calls, "GET /api/ready") == 200 })
	return r, calls
}

// call makes a call of operators and returns the status.
func call(t *testing.T, addr, what string) int {
	t.Helper()
	resp, _ := peertest.Ask(t, addr, what+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	return resp.StatusCode
}

// Clients are sent away and taken again, round after round: health says so at once, what was taken is answered, an answer ends
// its connection, a connection that carries nothing is closed, and one that comes late is served. The process stays.
func TestEvacuateAndRejoin(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Qos") == "once" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, peertest.OKAnswer)
		return true
	})
	r, calls := inService(t, p.Addr)
	for round := range 3 {
		idle, idleIn := r.open()
		io.WriteString(idle, look(fmt.Sprint("idle", round)))
		if resp, _ := peertest.Answer(t, idleIn); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("before: %d, close %v", resp.StatusCode, resp.Close)
		}
		slow, slowIn := r.open()
		io.WriteString(slow, once(fmt.Sprint("slow", round)))
		peertest.Wait(t, got)

		if status := call(t, calls, "PUT /api/evacuate"); status != 200 {
			t.Fatalf("evacuate: %d", status)
		}
		if resp, _ := r.ask(health); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("health while away: %d, close %v", resp.StatusCode, resp.Close)
		}
		if resp, body := r.ask(look(fmt.Sprint("late", round))); resp.StatusCode != 200 || body != "hi" || !resp.Close {
			t.Errorf("on a new connection: %d %q, close %v", resp.StatusCode, body, resp.Close)
		}
		if _, err := idleIn.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		release <- struct{}{}
		if resp, body := peertest.Answer(t, slowIn); resp.StatusCode != 200 || body != "hi" || !resp.Close {
			t.Errorf("what was taken before: %d %q, close %v", resp.StatusCode, body, resp.Close)
		}
		peertest.Eventually(t, "away", func() bool { return r.side.life.Status().State().String() == "away" })
		if status := call(t, calls, "PUT /api/rejoin"); status != 200 {
			t.Fatalf("rejoin: %d", status)
		}
		if resp, _ := r.ask(health); resp.StatusCode != 200 || resp.Close {
			t.Errorf("health afterwards: %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// withASlowRequest is a sidecar with a request that is answered when release is closed.
func withASlowRequest(t *testing.T) (r *rig, calls string, in *bufio.Reader, release chan struct{}) {
	t.Helper()
	got := make(chan struct{}, 1)
	release = make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, peertest.OKAnswer)
		return true
	})
	r, calls = inService(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, look("slow"))
	peertest.Wait(t, got)
	return r, calls, in, release
}

// Rejoin in the midst of an evacuation: who is still here stays.
func TestRejoinBeforeAllHaveGone(t *testing.T) {
	_, calls, in, release := withASlowRequest(t)
	for _, what := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := call(t, calls, what); status != 200 {
			t.Fatalf("%s: %d", what, status)
		}
	}
	close(release)
	if resp, _ := peertest.Answer(t, in); resp.StatusCode != 200 || resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// A request whose first bytes are in when its clients are sent away is served, however long the rest takes, and its connection is
// not taken for an idle one.
func TestARequestHalfWrittenIsNotSentAway(t *testing.T) {
	p := peertest.NewPeer(t, peertest.Says(peertest.OKAnswer))
	r, calls := inService(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, look("whole"))
	peertest.Answer(t, in)
	text := look("half")
	io.WriteString(c, text[:40])
	idle, idleIn := r.open()
	io.WriteString(idle, look("other"))
	peertest.Answer(t, idleIn)
	if status := call(t, calls, "PUT /api/evacuate"); status != 200 {
		t.Fatal(status)
	}
	if _, err := idleIn.ReadByte(); err != io.EOF { // those that carry nothing have been closed
		t.Errorf("an idle connection: %v", err)
	}
	time.AfterFunc(2*silentFor, func() { io.WriteString(c, text[40:]) })
	if resp, body := peertest.Answer(t, in); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("%d %q, close %v", resp.StatusCode, body, resp.Close)
	}
}

// silentFor is longer than an idle connection is kept while clients are sent away.
const silentFor = 250 * time.Millisecond

// Operators call a process that ends: it can't be told to come back.
func TestCallsWhileItEnds(t *testing.T) {
	r, calls, in, release := withASlowRequest(t)
	r.stop()
	peertest.Eventually(t, "stopping", func() bool { return call(t, calls, "GET /api/ready") == 503 })
	for _, what := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := call(t, calls, what); status != 409 {
			t.Errorf("%s: %d", what, status)
		}
	}
	close(release)
	if resp, _ := peertest.Answer(t, in); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// Operators are answered in time while clients hold all places, callers who say nothing all of the operators', and the loop is
// stuck: nothing of these is asked.
func TestOperatorsAreHeardUnderAnyLoad(t *testing.T) {
	p := peertest.NewPeer(t, peertest.Silent)
	r, calls := inService(t, p.Addr)
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
	}()
	for i := range r.side.whole.Clients {
		c, _ := r.open()
		io.WriteString(c, look(fmt.Sprint(i)))
		all = append(all, c)
	}
	peertest.Eventually(t, "all places are taken", func() bool { return r.side.front.Open() == r.side.whole.Clients })
	if resp, _ := r.ask(health); resp.StatusCode != 503 {
		t.Errorf("a place was left: %d", resp.StatusCode)
	}
	for range 2 * admin.MaxCalls {
		c, err := net.Dial("tcp", calls)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		io.WriteString(c, "PUT /api/evac")
	}
	stuck, release := make(chan struct{}), make(chan struct{})
	go r.side.core.Snapshot(func(core.Snapshot) { close(stuck); <-release })
	peertest.Wait(t, stuck)
	defer close(release)
	for _, what := range []string{"GET /api/ready", "PUT /api/evacuate", "GET /api/ready", "PUT /api/rejoin"} {
		began := time.Now()
		if status := call(t, calls, what); status != 200 || time.Since(began) > time.Second {
			t.Errorf("%s: %d after %v", what, status, time.Since(began))
		}
	}
}

// An answer that is passed on for longer than clients are sent away is passed on to its end, and its connection ends with it;
// requests that came with one before are not read after an answer that ends the connection.
func TestAStreamThatOutlastsTheDrain(t *testing.T) {
	more := make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") != "stream" {
			io.WriteString(c, peertest.OKAnswer)
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("a", 1_000_000))
		<-more
		io.WriteString(c, strings.Repeat("b", 1_000_000))
		return true
	})
	r, calls := inService(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, look("stream")+look("behind"))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if status := call(t, calls, "PUT /api/evacuate"); status != 200 {
		t.Fatal(status)
	}
	idle, idleIn := r.open()
	io.WriteString(idle, look("other")+look("with it"))
	if resp, _ := peertest.Answer(t, idleIn); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
	if rest, _ := io.ReadAll(idleIn); len(rest) > 0 { // the client sends it again
		t.Errorf("%q after the last answer", rest)
	}
	if now := r.side.life.Status().State(); now != lifecycle.Evacuating {
		t.Errorf("%v while an answer is passed on", now)
	}
	close(more)
	if n, err := io.Copy(io.Discard, resp.Body); n != 2_000_000 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	c.Close() // its answer had begun before: it says nothing of the end of its connection
	peertest.Eventually(t, "away", func() bool { return r.side.life.Status().State() == lifecycle.Evacuated })
	if n := p.Requests.Load(); n > 3 {
		t.Errorf("%d requests went on", n)
	}
}
