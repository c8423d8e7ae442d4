package wiring

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"petrelhook/internal/common/peertest"
)

// A connection to a server is established after the client of its attempt has disconnected. Nothing is sent on it, whether or not the
// settings allow attempts to be cancelled, and it serves the next request.
func TestAConnectionEstablishedAfterItsClientLeft(t *testing.T) {
	longDeadlineRequest := func(trace string) string { return strings.Replace(onceRequest(trace), "9000m", "60000m", 1) }
	for _, cancel := range []string{"true", "false"} {
		p := peertest.NewPeer(t, peertest.RespondWith(peertest.OKResponse))
		dialStarted, allowDial := make(chan struct{}, 1), make(chan struct{})
		dial := func(_ context.Context, network, addr string) (net.Conn, error) {
			if addr == p.Addr {
				dialStarted <- struct{}{}
				<-allowDial
			}
			return net.Dial(network, addr)
		}
		settings := strings.Replace(peertest.Settings, `"cancel": true`, `"cancel": `+cancel, 1)
		settings = strings.ReplaceAll(settings, `"hard_limit_ms": 10000`, `"hard_limit_ms": 60000`) // longer than a test waits
		r := newRigOn(t, dial, peertest.DeadAddr(t), catalogOf([]string{p.Addr}), "", settings, nil, slog.New(slog.DiscardHandler))
		c, _ := r.open()
		io.WriteString(c, longDeadlineRequest("gone"))
		peertest.Wait(t, dialStarted)
		c.Close()
		peertest.Eventually(t, "the request is over", func() bool { return r.sidecar.core.Stats().Requests == 0 })
		close(allowDial)
		peertest.Eventually(t, "the connection stays open", func() bool { return p.Conns.Load() == 1 })
		if resp, _ := r.ask(longDeadlineRequest("next")); resp.StatusCode != 200 {
			t.Errorf("cancel %s: the next request: %d", cancel, resp.StatusCode)
		}
		if n := p.Requests.Load(); n != 1 {
			t.Errorf("cancel %s: %d requests were sent", cancel, n)
		}
	}
}
