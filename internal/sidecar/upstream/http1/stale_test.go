package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/upstream"
)

// A server breaks connections that were idle for long, which shows only when the next request is written. After a few breaks no
// more requests are written to connections that were idle for so long; others are still used.
func TestStaleConnections(t *testing.T) {
	var breaks atomic.Bool
	p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		if breaks.Load() {
			return false
		}
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	pool := testPool(9)
	e := pool.endpointAt(p.Addr)
	send := func(want upstream.Result) {
		t.Helper()
		if r := e.Send(context.Background(), newCall()); r.Result != want {
			t.Fatalf("%v (%v), want %v", r.Result, r.Err, want)
		}
	}
	for n := 0; ; n++ {
		for range 9 {
			send(upstream.Served)
		}
		pool.mu.Lock()
		e.idle[0].idleSince = e.idle[0].idleSince.Add(-20 * time.Second) // so that the test need not wait
		limit := pool.idleEstimator.MaxIdle(time.Now())
		pool.mu.Unlock()
		if limit < 20*time.Second {
			break
		}
		if n == 10 {
			t.Fatal("ten connections have broken and there is no limit")
		}
		breaks.Store(true)
		send(upstream.Reset)
		breaks.Store(false)
	}
	before := p.Conns.Load()
	send(upstream.Served)
	send(upstream.Served)
	if opened := p.Conns.Load() - before; opened != 1 {
		t.Errorf("%d new connections, want 1: the first request finds a long idle connection, the second one a new one", opened)
	}
}
