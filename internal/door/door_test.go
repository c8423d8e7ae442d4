package door

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"petrelhook/internal/admit"
	"petrelhook/internal/peertest"
)

func get(path string) string { return "GET /" + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// boundedRig serves requests behind a bounded listener; those for /slow are answered when release is closed.
func boundedRig(t *testing.T, most int) (addr string, ln *Door, release chan struct{}) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln, release = New(inner, admit.Config{Places: most, Horizon: time.Second}, time.Second), make(chan struct{})
	server := &http.Server{ConnState: ln.State, ConnContext: ln.Context, Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		defer ln.Answers(req.Context())
		if req.URL.Path == "/slow" {
			select {
			case <-release:
			case <-req.Context().Done():
			}
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String(), ln, release
}

func (b *Door) idling() (n int) {
	for _, k := range b.Figures().Silent {
		n += k
	}
	return n
}

// At the bound a connection gets a whole 503 at once, while the others are in use; places come free again.
func TestTooManyClients(t *testing.T) {
	addr, ln, release := boundedRig(t, 1)
	defer close(release)
	first, _ := peertest.Open(t, addr)
	io.WriteString(first, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	peertest.Eventually(t, "it is served", func() bool { return ln.Figures().Busy == 1 })
	for range 3 * TurnedAway { // whatever those do that were turned away, the next is dealt with
		if c, err := net.Dial("tcp", addr); err == nil {
			defer c.Close()
		}
	}
	peertest.Eventually(t, "some are dealt with", func() bool { return len(ln.away) < TurnedAway })
	second, in := peertest.Open(t, addr)
	io.WriteString(second, get("2"))
	if resp, err := http.ReadResponse(in, nil); err == nil && (resp.StatusCode != 503 || !resp.Close) {
		t.Errorf("%+v", resp)
	}
	first.Close()
	peertest.Eventually(t, "the place is free", func() bool { f := ln.Figures(); return f.Busy+f.Leaving+f.Silent[0]+f.Silent[1] == 0 })
	if resp, _ := peertest.Ask(t, addr, get("3")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Clients that asked once and stay, or never ask, make room for one that asks; those with a request do not.
func TestIdleClientsMakeRoom(t *testing.T) {
	addr, ln, release := boundedRig(t, 3)
	busy, busyIn := peertest.Open(t, addr)
	io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	peertest.Eventually(t, "it is served", func() bool { return ln.Figures().Busy == 1 })
	stays, staysIn := peertest.Open(t, addr)
	io.WriteString(stays, get("1"))
	peertest.Answer(t, staysIn)
	peertest.Eventually(t, "it is idle", func() bool { return ln.idling() == 1 })
	peertest.Open(t, addr)
	peertest.Eventually(t, "both are idle", func() bool { return ln.idling() == 2 })
	for range 2 {
		c, in := peertest.Open(t, addr)
		io.WriteString(c, get("2"))
		if resp, _ := peertest.Answer(t, in); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if f := ln.Figures(); f.MadeRoom[0]+f.MadeRoom[1] != 2 || f.TurnedAway != 0 {
		t.Errorf("%+v", f)
	}
	close(release)
	if resp, _ := peertest.Answer(t, busyIn); resp.StatusCode != 200 {
		t.Errorf("the one with a request: %d", resp.StatusCode)
	}
}
