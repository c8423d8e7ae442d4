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

// A server breaks connections that were idle for long, unnoticeably until the next request: after a few breaks no more requests are
// written to connections of that age; younger ones still carry them.
func TestConnectionsThatWentStale(t *testing.T) {
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
		if r := e.Send(context.Background(), look()); r.Result != want {
			t.Fatalf("%v (%v), want %v", r.Result, r.Err, want)
		}
	}
	for n := 0; ; n++ {
		for range 9 {
			send(upstream.Served)
		}
		pool.mu.Lock()
		e.idle[0].idleSince = e.idle[0].idleSince.Add(-20 * time.Second) // no test waits so long
		limit := pool.idleAges.MaxIdle(time.Now())
		pool.mu.Unlock()
		if limit < 20*time.Second {
			break
		}
		if n == 10 {
			t.Fatal("ten have broken and there is no limit")
		}
		breaks.Store(true)
		send(upstream.Reset)
		breaks.Store(false)
	}
	before := p.Conns.Load()
	send(upstream.Served)
	send(upstream.Served)
	if opened := p.Conns.Load() - before; opened != 1 {
		t.Errorf("%d connections for a request that finds an old one and one that finds a young one", opened)
	}
}
