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

// newRigWithOperators starts a sidecar that operators can call at adminAddr, and waits until it is ready.
func newRigWithOperators(t *testing.T, addrs ...string) (r *rig, adminAddr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r = newRigWith(t, peertest.DeadAddr(t), catalogOf(addrs), `"admin_addr":"127.0.0.1:0","limits":{"sockets":120},`, ln, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		r.stop()
		if err := peertest.Wait(t, r.ended); err != nil {
			t.Error(err)
		}
	})
	adminAddr = ln.Addr().String()
	peertest.Eventually(t, "ready", func() bool { return callOperators(t, adminAddr, "GET /api/ready") == 200 })
	return r, adminAddr
}

// callOperators makes a call of operators and returns the status.
func callOperators(t *testing.T, addr, call string) int {
	t.Helper()
	resp, _ := peertest.SendRequest(t, addr, call+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	return resp.StatusCode
}

// Repeated evacuations and rejoins: the health check shows each at once. During an evacuation accepted requests are answered, each response
// ends its connection, an idle connection is closed, and a new connection is still served. The process keeps running.
func TestEvacuateAndRejoin(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Qos") == "once" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	r, adminAddr := newRigWithOperators(t, p.Addr)
	for round := range 3 {
		idle, idleIn := r.open()
		io.WriteString(idle, lookRequest(fmt.Sprint("idle", round)))
		if resp, _ := peertest.ReadResponse(t, idleIn); resp.StatusCode != 200 || resp.Close {
			t.Fatalf("before: %d, close %v", resp.StatusCode, resp.Close)
		}
		slow, slowIn := r.open()
		io.WriteString(slow, onceRequest(fmt.Sprint("slow", round)))
		peertest.Wait(t, got)

		if status := callOperators(t, adminAddr, "PUT /api/evacuate"); status != 200 {
			t.Fatalf("evacuate: %d", status)
		}
		if resp, _ := r.ask(health); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("health while away: %d, close %v", resp.StatusCode, resp.Close)
		}
		if resp, body := r.ask(lookRequest(fmt.Sprint("late", round))); resp.StatusCode != 200 || body != "hi" || !resp.Close {
			t.Errorf("on a new connection: %d %q, close %v", resp.StatusCode, body, resp.Close)
		}
		if _, err := idleIn.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection: %v", err)
		}
		release <- struct{}{}
		if resp, body := peertest.ReadResponse(t, slowIn); resp.StatusCode != 200 || body != "hi" || !resp.Close {
			t.Errorf("what was accepted before: %d %q, close %v", resp.StatusCode, body, resp.Close)
		}
		peertest.Eventually(t, "away", func() bool { return r.sidecar.lifecycle.Status().State().String() == "away" })
		if status := callOperators(t, adminAddr, "PUT /api/rejoin"); status != 200 {
			t.Fatalf("rejoin: %d", status)
		}
		if resp, _ := r.ask(health); resp.StatusCode != 200 || resp.Close {
			t.Errorf("health afterwards: %d, close %v", resp.StatusCode, resp.Close)
		}
	}
}

// newRigWithSlowRequest starts a sidecar with a request in progress, which the server answers when release is closed.
func newRigWithSlowRequest(t *testing.T) (r *rig, adminAddr string, in *bufio.Reader, release chan struct{}) {
	t.Helper()
	got := make(chan struct{}, 1)
	release = make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	r, adminAddr = newRigWithOperators(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, lookRequest("slow"))
	peertest.Wait(t, got)
	return r, adminAddr, in, release
}

// Connections that are still open when a rejoin ends an evacuation stay open.
func TestRejoinDuringAnEvacuation(t *testing.T) {
	_, adminAddr, in, release := newRigWithSlowRequest(t)
	for _, what := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := callOperators(t, adminAddr, what); status != 200 {
			t.Fatalf("%s: %d", what, status)
		}
	}
	close(release)
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 || resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// A request whose first bytes had arrived when an evacuation began is served, even if the rest arrives late: its connection is not idle.
func TestAPartialRequestIsNotEvacuated(t *testing.T) {
	p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	r, adminAddr := newRigWithOperators(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, lookRequest("whole"))
	peertest.ReadResponse(t, in)
	text := lookRequest("half")
	io.WriteString(c, text[:40])
	idle, idleIn := r.open()
	io.WriteString(idle, lookRequest("other"))
	peertest.ReadResponse(t, idleIn)
	if status := callOperators(t, adminAddr, "PUT /api/evacuate"); status != 200 {
		t.Fatal(status)
	}
	if _, err := idleIn.ReadByte(); err != io.EOF { // connections without a request are closed
		t.Errorf("an idle connection: %v", err)
	}
	time.AfterFunc(2*longerThanMinIdle, func() { io.WriteString(c, text[40:]) })
	if resp, body := peertest.ReadResponse(t, in); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("%d %q, close %v", resp.StatusCode, body, resp.Close)
	}
}

// longerThanMinIdle is longer than an idle connection stays open in an evacuation.
const longerThanMinIdle = 250 * time.Millisecond

// A process that is stopping rejects the operators' calls evacuate and rejoin.
func TestOperatorCallsDuringShutdown(t *testing.T) {
	r, adminAddr, in, release := newRigWithSlowRequest(t)
	r.stop()
	peertest.Eventually(t, "stopping", func() bool { return callOperators(t, adminAddr, "GET /api/ready") == 503 })
	for _, what := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := callOperators(t, adminAddr, what); status != 409 {
			t.Errorf("%s: %d", what, status)
		}
	}
	close(release)
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
}

// Operators are answered in time even if clients use all client connections, callers that send no complete call use all operators'
// connections, and the core's loop is blocked.
func TestOperatorsAreAnsweredUnderAnyLoad(t *testing.T) {
	p := peertest.NewPeer(t, peertest.NeverRespond)
	r, adminAddr := newRigWithOperators(t, p.Addr)
	var connections []net.Conn
	defer func() {
		for _, c := range connections {
			c.Close()
		}
	}()
	for i := range r.sidecar.limits.total.Clients {
		c, _ := r.open()
		io.WriteString(c, lookRequest(fmt.Sprint(i)))
		connections = append(connections, c)
	}
	peertest.Eventually(t, "all connections are open", func() bool { return r.sidecar.front.OpenConnections() == r.sidecar.limits.total.Clients })
	if resp, _ := r.ask(health); resp.StatusCode != 503 {
		t.Errorf("a connection was left: %d", resp.StatusCode)
	}
	for range 2 * admin.MaxCalls {
		c, err := net.Dial("tcp", adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		connections = append(connections, c)
		io.WriteString(c, "PUT /api/evac")
	}
	coreBlocked, release := make(chan struct{}), make(chan struct{})
	go r.sidecar.core.Snapshot(func(core.Snapshot) { close(coreBlocked); <-release })
	peertest.Wait(t, coreBlocked)
	defer close(release)
	for _, what := range []string{"GET /api/ready", "PUT /api/evacuate", "GET /api/ready", "PUT /api/rejoin"} {
		began := time.Now()
		if status := callOperators(t, adminAddr, what); status != 200 || time.Since(began) > time.Second {
			t.Errorf("%s: %d after %v", what, status, time.Since(began))
		}
	}
}

// A response that takes longer than the evacuation is relayed to its end, and its connection ends with it. After a response that ends the
// connection, pipelined requests are not read.
func TestAStreamThatOutlastsTheDrain(t *testing.T) {
	sendRest := make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") != "stream" {
			io.WriteString(c, peertest.OKResponse)
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("a", 1_000_000))
		<-sendRest
		io.WriteString(c, strings.Repeat("b", 1_000_000))
		return true
	})
	r, adminAddr := newRigWithOperators(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, lookRequest("stream")+lookRequest("behind"))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if status := callOperators(t, adminAddr, "PUT /api/evacuate"); status != 200 {
		t.Fatal(status)
	}
	idle, idleIn := r.open()
	io.WriteString(idle, lookRequest("other")+lookRequest("with it"))
	if resp, _ := peertest.ReadResponse(t, idleIn); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%d, close %v", resp.StatusCode, resp.Close)
	}
	if rest, _ := io.ReadAll(idleIn); len(rest) > 0 { // the client sends the pipelined request again
		t.Errorf("%q after the last answer", rest)
	}
	if now := r.sidecar.lifecycle.Status().State(); now != lifecycle.Evacuating {
		t.Errorf("%v while a response is relayed", now)
	}
	close(sendRest)
	if n, err := io.Copy(io.Discard, resp.Body); n != 2_000_000 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	c.Close() // its response began before the evacuation, so its head does not say that the connection ends
	peertest.Eventually(t, "away", func() bool { return r.sidecar.lifecycle.Status().State() == lifecycle.Evacuated })
	if n := p.Requests.Load(); n > 3 {
		t.Errorf("%d requests reached the server", n)
	}
}
