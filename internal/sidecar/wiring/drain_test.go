package wiring

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/bubble"
	"petrelhook/internal/rig/memnet"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/lifecycle"
)

const (
	drainAddr = "127.0.0.1:80" // address of the server
	// streamHead is the time from the request for a stream to the start of the drain. The trace ID of the
	// request is the approximate time from the start of the drain to the end of the stream.
	streamHead  = time.Second
	streamBytes = 600_000
)

// drainRig is a sidecar on a simulated network with a server whose responses end at a given time.
type drainRig struct {
	t       *testing.T
	network *memnet.Network
	sidecar *Sidecar
	addr    string // address of the sidecar
}

// startDrainRig runs the server and the sidecar until the test ends.
func startDrainRig(t *testing.T) *drainRig {
	t.Helper()
	network := memnet.New(200 * time.Microsecond)
	serverListener, err := network.Listen(drainAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(streamUntilTraceTime)}
	go server.Serve(serverListener)
	t.Cleanup(func() { server.Close() })

	cfg, err := config.Parse("test", []byte(fmt.Sprintf(
		`{"name":"n0","listen":"127.0.0.1:81","discovery":"127.0.0.1:82","seed":"1f","known":%s,"settings":%s}`,
		catalogOf([]string{drainAddr}), peertest.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := network.Listen(cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	sidecar, ended := New(&cfg, network.Dial, slog.New(slog.DiscardHandler)), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { ended <- sidecar.Run(ctx, listener, nil, nil) }()
	t.Cleanup(func() { cancel(); <-ended })
	synctest.Wait()
	return &drainRig{t: t, network: network, sidecar: sidecar, addr: cfg.Listen}
}

// streamUntilTraceTime writes a response of streamBytes. The trace ID is the duration from the start of the drain to the end of the
// response. If it is not a duration, the response is short and is sent at once.
func streamUntilTraceTime(w http.ResponseWriter, req *http.Request) {
	until, err := time.ParseDuration(req.Header.Get("X-Trace-Id"))
	if err != nil {
		io.WriteString(w, "hi")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(streamBytes))
	w.Write(make([]byte, streamBytes/2))
	http.NewResponseController(w).Flush()
	const parts = 10
	for range parts { // fast enough to be relayed to the end
		time.Sleep((until + streamHead) / parts)
		w.Write(make([]byte, streamBytes/2/parts))
		http.NewResponseController(w).Flush()
	}
}

// drainClient is a client's connection with the response that is being read from it.
type drainClient struct {
	net.Conn
	in       *bufio.Reader
	response *http.Response
}

// stream requests a response that ends a given time after the start of the drain. It reads the head of the response, which says that the
// connection stays open.
func (r *drainRig) stream(until time.Duration) *drainClient {
	r.t.Helper()
	conn, err := r.network.Dial(r.t.Context(), "tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	client := &drainClient{Conn: conn, in: bufio.NewReader(conn)}
	io.WriteString(client, lookRequest(fmt.Sprint(until.Milliseconds(), "ms")))
	if client.response, err = http.ReadResponse(client.in, nil); err != nil || client.response.Close {
		r.t.Fatalf("head of a response before the drain: %v, %v", client.response, err)
	}
	return client
}

// An evacuation begins while two responses are being relayed. Their heads were written before and say that the connections stay open. Both
// responses end just before the drain time of 4 s. One client sends another request at once: it is served, and its response ends the
// connection. The other client sends nothing more, and its connection is closed before the 4 s are over.
func TestARequestAtTheEndOfADrain(t *testing.T) {
	const (
		drainTime   = 4 * time.Second
		earliestEnd = 3800 * time.Millisecond // both streams end after this time
	)
	bubble.Test(t, func(t *testing.T) {
		r := startDrainRig(t)
		began := time.Now()
		active, idle := r.stream(3870*time.Millisecond), r.stream(3860*time.Millisecond)
		defer active.Close()
		defer idle.Close()
		time.Sleep(streamHead - time.Since(began))
		r.sidecar.lifecycle.Apply(lifecycle.Evacuate)
		drainBegan := time.Now()

		idleClosed := make(chan time.Duration, 1)
		go func() {
			io.Copy(io.Discard, idle.response.Body)
			idle.in.ReadByte()
			idleClosed <- time.Since(drainBegan)
		}()
		got, err := io.Copy(io.Discard, active.response.Body)
		if err != nil || got != streamBytes || time.Since(drainBegan) < earliestEnd {
			t.Fatalf("the active stream ended after %d bytes: %v, %v into the drain",
				got, err, time.Since(drainBegan))
		}
		io.WriteString(active, lookRequest("again"))
		if resp, err := http.ReadResponse(active.in, nil); err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request %v after the start of the drain: %v, %v", time.Since(drainBegan), resp, err)
		}
		if after := <-idleClosed; after < earliestEnd || after >= drainTime {
			t.Errorf("the idle connection was closed %v after the start of the drain", after)
		}
		time.Sleep(drainTime - time.Since(drainBegan))
		if now := r.sidecar.lifecycle.Status().State(); now != lifecycle.Evacuated || r.sidecar.front.OpenConnections() != 0 {
			t.Errorf("%v into the drain: %v, %d connections open",
				drainTime, now, r.sidecar.front.OpenConnections())
		}
	})
}
