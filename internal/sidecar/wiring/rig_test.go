package wiring

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/config"
)

// rig is a whole sidecar.
type rig struct {
	t     *testing.T
	side  *Sidecar
	addr  string
	stop  context.CancelFunc
	ended chan error
}

func newRig(t *testing.T, discovery, known string, log *slog.Logger) *rig {
	return rigWith(t, discovery, known, "", nil, log)
}

// rigWith is one with more in its configuration, that operators can call on a listener.
func rigWith(t *testing.T, discovery, known, more string, calls net.Listener, log *slog.Logger) *rig {
	t.Helper()
	return rigOn(t, TCP(), discovery, known, more, peertest.Settings, calls, log)
}

// rigOn is one that dials in a way of its own, with other settings.
func rigOn(t *testing.T, dial Dial, discovery, known, more, settings string, calls net.Listener, log *slog.Logger) *rig {
	t.Helper()
	cfg, err := config.Parse("test", []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f",%s"known":%s,"settings":%s}`,
		discovery, more, known, settings)))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, side: New(&cfg, dial, log), addr: ln.Addr().String(), ended: make(chan error, 1)}
	stop, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.ended <- r.side.Run(stop, ln, calls, nil) }()
	t.Cleanup(cancel)
	return r
}

// withServers is a sidecar that knows these servers; discovery is down.
func withServers(t *testing.T, addrs ...string) *rig {
	return newRig(t, peertest.DeadAddr(t), listed(addrs), slog.New(slog.DiscardHandler))
}

// listed is the list of servers at these addresses.
func listed(addrs []string) string {
	var list []string
	for i, addr := range addrs {
		list = append(list, peertest.Instance(fmt.Sprint("s-", i), addr, "up"))
	}
	return peertest.Catalog(1, true, list...)
}

// open connects to the sidecar as a client.
func (r *rig) open() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	return peertest.Open(r.t, r.addr)
}

// ask sends a request on a connection of its own and reads the answer.
func (r *rig) ask(request string) (*http.Response, string) {
	r.t.Helper()
	return peertest.Ask(r.t, r.addr, request)
}

func look(trace string) string {
	return "GET /look?sid=7f HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: look\r\nX-Customer: acme\r\nX-Expires-In: 9000m\r\n\r\n"
}

func once(trace string) string {
	return "POST /once HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\nContent-Length: 0\r\n\r\n"
}
