package wiring

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
)

// closeWithoutAnswer reads a request and ends the connection: the request may have been executed.
func closeWithoutAnswer(net.Conn, *http.Request, string) bool { return false }

// A request that may have been executed is retried only where its class permits that.
func TestRetriesOfARequestThatMayHaveBeenExecuted(t *testing.T) {
	a, b := peertest.NewPeer(t, closeWithoutAnswer), peertest.NewPeer(t, closeWithoutAnswer)
	r := newRigWithServers(t, a.Addr, b.Addr)
	resp, _ := r.ask(onceRequest("t1"))
	if n := a.Requests.Load() + b.Requests.Load(); resp.StatusCode != 502 || n != 1 {
		t.Errorf("unsafe: status %d after %d attempts", resp.StatusCode, n)
	}
	r = newRigWithServers(t, a.Addr, b.Addr)
	resp, _ = r.ask(lookRequest("t2"))
	if n := a.Requests.Load() + b.Requests.Load(); resp.StatusCode != 503 || n != 3 {
		t.Errorf("safe: status %d, %d attempts in all", resp.StatusCode, n)
	}
	if after := resp.Header.Get("Retry-After"); after != "0.050" {
		t.Errorf("Retry-After %q", after)
	}
}

// A request that was not executed is retried at another server, even if its class does not permit a second execution.
func TestARejectedRequestIsRetriedAtAnotherServer(t *testing.T) {
	full := peertest.NewPeer(t, peertest.RespondWith("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"))
	good := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	r := newRigWithServers(t, peertest.DeadAddr(t), full.Addr, good.Addr)
	for i := range 9 { // at some point the rotation tries the good server after the dead or the full one
		resp, body := r.ask(onceRequest(fmt.Sprint("t", i)))
		if resp.StatusCode == 200 && body == "hi" {
			return
		}
		if resp.StatusCode != 503 { // no attempt was executed
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	t.Error("never served")
}

// A server that never answers does not delay the response to the client beyond the deadline, and the attempt is ended.
func TestAServerThatNeverAnswers(t *testing.T) {
	p := peertest.NewPeer(t, peertest.NeverRespond)
	r := newRigWithServers(t, p.Addr)
	resp, _ := r.ask(strings.Replace(onceRequest("t"), "9000m", "50m", 1))
	if resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	peertest.Wait(t, p.Ended)
	if n := r.sidecar.core.Stats().Requests; n != 0 {
		t.Errorf("%d requests in the table", n)
	}
}

// An attempt whose connection was not established has not been executed, even if its time-out ended it: the status lets the client retry.
func TestAConnectTimeoutIsNotAnExecution(t *testing.T) {
	r := newRigWithServers(t, peertest.FullBacklogAddr(t))
	if resp, _ := r.ask(strings.Replace(onceRequest("t"), "9000m", "50m", 1)); resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// The list of servers comes from discovery. A failed call is reported to the decision module once, and the module calls again.
func TestDiscovery(t *testing.T) {
	p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
	calls := make(chan string, 9)
	responses := make(chan string)
	discovery := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		calls <- req.RequestURI
		if len(req.URL.Query()["watch"]) == 0 {
			return false
		}
		select {
		case line := <-responses:
			if line == "" {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+line+"\n\n")
			for line := range responses {
				io.WriteString(c, line+"\n")
			}
		case <-time.After(peertest.EventTimeout):
		}
		return false
	})
	r := newRig(t, discovery.Addr, peertest.Catalog(41, true, peertest.Instance("old", peertest.DeadAddr(t), "up")), slog.New(slog.DiscardHandler))
	if uri := peertest.Wait(t, calls); uri != "/catalog/members?after=41&watch=1" {
		t.Errorf("first call %s", uri)
	}
	responses <- "" // the call fails
	peertest.Wait(t, calls)
	responses <- peertest.Catalog(42, true, peertest.Instance("new", p.Addr, "up"))
	listed := func(names ...string) func() bool {
		return func() bool { return slices.Equal(r.sidecar.core.Stats().Servers, names) }
	}
	peertest.Eventually(t, "a complete list replaces the old one", listed("new"))
	if resp, _ := r.ask(lookRequest("t1")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	responses <- peertest.Catalog(43, false, peertest.Instance("other", peertest.DeadAddr(t), "draining"))
	peertest.Eventually(t, "changes add to the list", listed("new", "other"))
	responses <- peertest.Catalog(44, false, peertest.Instance("new", "", "removed"))
	peertest.Wait(t, p.Ended) // the idle connection to the removed server is closed
	peertest.Eventually(t, "what is removed is gone", listed("other"))
	if resp, _ := r.ask(strings.Replace(lookRequest("t2"), "9000m", "50m", 1)); resp.StatusCode == 200 {
		t.Error("served by a server that is gone")
	}
	close(responses)
}
