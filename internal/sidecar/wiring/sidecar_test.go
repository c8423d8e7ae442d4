package wiring

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// The server gets the method, the path, the body and the headers of a request unchanged, except for the remaining time. The client gets the
// server's response.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	requests := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, body string) bool {
		requests <- req
		bodies <- body
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
		return true
	})
	r := newRigWithServers(t, p.Addr)
	resp, body := r.ask("POST /book/%41;x?sid=7f&b=%2F HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t1\r\nX-Qos: book\r\nX-Customer: nobody\r\n" +
		"X-Expires-In: 9000500u\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello")
	if resp.StatusCode != 200 || body != "hi" || resp.ContentLength != 2 || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("%+v %q", resp, body)
	}
	req := peertest.Wait(t, requests)
	if req.Method != "POST" || req.RequestURI != "/book/%41;x?sid=7f&b=%2F" || peertest.Wait(t, bodies) != "hello" ||
		req.Header.Get("X-Trace-Id") != "t1" || req.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("%+v", req)
	}
	var left float64 // in microseconds
	if _, err := fmt.Sscanf(req.Header.Get("X-Expires-In"), "%fu", &left); err != nil || left <= 0 || left > 9000500 {
		t.Errorf("X-Expires-In %q", req.Header.Get("X-Expires-In"))
	}
}

// A second request with the trace ID of an earlier one is rejected, during that request and after it.
func TestARepeatedTraceIDIsRejected(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	r := newRigWithServers(t, p.Addr)
	c, in := r.open()
	io.WriteString(c, lookRequest("same"))
	peertest.Wait(t, got)
	if resp, _ := r.ask(lookRequest("same")); resp.StatusCode != http.StatusConflict {
		t.Errorf("status %d", resp.StatusCode)
	}
	close(release)
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 || p.Requests.Load() != 1 {
		t.Errorf("status %d, %d requests", resp.StatusCode, p.Requests.Load())
	}
	if resp, _ := r.ask(lookRequest("same")); resp.StatusCode != http.StatusConflict || p.Requests.Load() != 1 {
		t.Errorf("afterwards: status %d, %d requests", resp.StatusCode, p.Requests.Load())
	}
}

// When a client disconnects, the attempts of its request are ended, and nothing of the request is left in the tables.
func TestAClientThatDisconnects(t *testing.T) {
	got := make(chan struct{}, 1)
	p := peertest.NewPeer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	r := newRigWithServers(t, p.Addr)
	c, _ := r.open()
	io.WriteString(c, strings.Replace(lookRequest("t"), "9000m", "500m", 1))
	peertest.Wait(t, got)
	c.Close()
	peertest.Wait(t, p.Ended)
	peertest.Eventually(t, "the tables are empty", func() bool {
		s := r.sidecar.core.Stats()
		return s.Requests == 0 && s.IDs == 0
	})
}

// A sidecar is healthy only once a server is known.
func TestHealth(t *testing.T) {
	health := "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	r := newRig(t, peertest.DeadAddr(t), peertest.Catalog(1, true), slog.New(slog.DiscardHandler))
	if resp, _ := r.ask(health); resp.StatusCode != 503 {
		t.Errorf("without servers: %d", resp.StatusCode)
	}
	r = newRigWithServers(t, peertest.DeadAddr(t))
	peertest.Eventually(t, "healthy", func() bool { resp, _ := r.ask(health); return resp.StatusCode == 200 })
}
