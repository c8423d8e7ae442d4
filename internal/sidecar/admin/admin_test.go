package admin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/lifecycle"
)

// endpoint starts an admin endpoint on the loopback interface.
func endpoint(t *testing.T) (addr string, m *lifecycle.Machine) {
	return endpointEvictingAfter(t, evictAfter)
}

// endpointEvictingAfter starts an admin endpoint that evicts a caller only after wait.
func endpointEvictingAfter(t *testing.T, wait time.Duration) (addr string, m *lifecycle.Machine) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m = lifecycle.New()
	ended := make(chan error, 1)
	s := New(m)
	s.evictAfter = wait
	s.Counts = func() any { return []string{"counted"} }
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		if err := peertest.Wait(t, ended); err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), m
}

func callText(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n"
}

// Each call, made after those before it, gets an answer with the expected status and text, and the answer closes the connection.
func TestCalls(t *testing.T) {
	addr, m := endpoint(t)
	for _, c := range []struct {
		before []lifecycle.Event
		call   string
		status int
		text   string
	}{
		{nil, callText("GET", "/api/ready"), 503, "starting"},
		{nil, callText("PUT", "/api/rejoin"), 503, "starting"},
		{nil, callText("GET", "/api/counts"), 200, `["counted"]`},
		{[]lifecycle.Event{lifecycle.ServersKnown}, callText("GET", "/api/ready"), 200, "ready"},
		{nil, callText("PUT", "/api/evacuate"), 200, "evacuating"},
		{nil, callText("PUT", "/api/evacuate"), 200, "evacuating"},
		{[]lifecycle.Event{lifecycle.EvacuationDone}, callText("PUT", "/api/evacuate?x=1"), 200, "away"},
		{nil, callText("GET", "/api/ready"), 200, "away"},
		{nil, "PUT /api/rejoin HTTP/1.0\r\n\r\n", 200, "ready"},
		{nil, "PUT /api/evacuate HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\n{}\r\n0\r\nA: b\r\n\r\n", 200, "evacuating"},
		{nil, callText("PUT", "/api/rejoin"), 200, "ready"},
		{nil, callText("GET", "/api/evacuate"), 405, "PUT"},
		{nil, callText("PUT", "/api/ready"), 405, "GET"},
		{nil, callText("GET", "/"), 404, "there are GET /api/ready"},
		{nil, "nonsense\r\n\r\n", 400, ""},
		{nil, "PUT /api/evacuate HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nodd\r\n", 400, ""},
		{nil, "PUT /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n", 413, ""},
		{nil, "GET /api/ready HTTP/1.1\r\nX: " + strings.Repeat("x", maxHead) + "\r\n\r\n", 431, ""},
		{nil, callText("GET", "/api/ready"), 200, "ready"}, // none of the invalid calls changed anything
		{[]lifecycle.Event{lifecycle.Terminate}, callText("PUT", "/api/evacuate"), 409, "stopping"},
		{nil, callText("PUT", "/api/rejoin"), 409, "stopping"},
		{nil, callText("GET", "/api/ready"), 503, "stopping"},
	} {
		for _, e := range c.before {
			m.Apply(e)
		}
		resp, body := peertest.SendRequest(t, addr, c.call)
		if resp.StatusCode != c.status || !strings.Contains(body, c.text) || !resp.Close || strings.Count(body, "\n") != 1 {
			t.Errorf("%.40q: %d %q, want %d %q; close %v", c.call, resp.StatusCode, body, c.status, c.text, resp.Close)
		}
		if c.status == 405 && resp.Header.Get("Allow") != c.text {
			t.Errorf("%.40q: Allow %q", c.call, resp.Header.Get("Allow"))
		}
	}
}

// A caller that sends nothing, half a call, or all but the last byte of one delays no other caller and changes nothing. Time is
// virtual: it includes only the waits of the server, not the delays of a busy machine.
func TestIdleCallersDelayNobody(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const addr = "10.0.0.1:80"
		network := memnet.New(0)
		ln, err := network.Listen(addr)
		require.NoError(t, err)
		m := lifecycle.New()
		m.Apply(lifecycle.ServersKnown)
		ended := make(chan error, 1)
		server := New(m)
		go func() { ended <- server.Serve(ln) }()

		half := "PUT /api/evacuate HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
		sent := []string{"", "GET /api/re", half, half + "{"}
		slowest := time.Duration(0)
		for i := range 200 {
			c, err := network.Dial(t.Context(), "tcp", addr)
			require.NoError(t, err)
			defer c.Close()
			io.WriteString(c, sent[i%len(sent)])
			if i%20 == 19 {
				began := time.Now()
				call, err := network.Dial(t.Context(), "tcp", addr)
				require.NoError(t, err)
				io.WriteString(call, callText("GET", "/api/ready"))
				resp, body := peertest.ReadResponse(t, bufio.NewReader(call))
				call.Close()
				if resp.StatusCode != http.StatusOK || body != "ready\n" {
					t.Errorf("after %d: %d %q", i, resp.StatusCode, body)
				}
				slowest = max(slowest, time.Since(began))
			}
		}
		t.Logf("the slowest answer took %v of virtual time", slowest)
		if slowest >= time.Second {
			t.Errorf("an answer took %v", slowest)
		}
		ln.Close()
		require.NoError(t, <-ended)
	})
}

// A caller that connects before 200 callers that send nothing, and sends its call after they have connected, is answered.
func TestACallAmongSilentCallers(t *testing.T) {
	addr, m := endpointEvictingAfter(t, peertest.EventTimeout)
	m.Apply(lifecycle.ServersKnown)
	call, in := peertest.Dial(t, addr)
	for range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	io.WriteString(call, callText("GET", "/api/ready"))
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", resp, err)
	}
}
