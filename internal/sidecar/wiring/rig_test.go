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

// rig is a complete sidecar that runs until stop is called or the test ends.
type rig struct {
	t       *testing.T
	sidecar *Sidecar
	addr    string
	stop    context.CancelFunc
	ended   chan error
}

func newRig(t *testing.T, discovery, known string, log *slog.Logger) *rig {
	return newRigWith(t, discovery, known, "", nil, log)
}

// newRigWith is newRig with additional fields of the configuration and a listener for operators, which may be nil.
func newRigWith(t *testing.T, discovery, known, extraFields string, operators net.Listener, log *slog.Logger) *rig {
	t.Helper()
	return newRigOn(t, TCP(), discovery, known, extraFields, peertest.Settings, operators, log)
}

// newRigOn is newRigWith with a Dial and the settings of the configuration.
func newRigOn(t *testing.T, dial Dial, discovery, known, extraFields, settings string, operators net.Listener, log *slog.Logger) *rig {
	t.Helper()
	cfg, err := config.Parse("test", []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f",%s"known":%s,"settings":%s}`,
		discovery, extraFields, known, settings)))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, sidecar: New(&cfg, dial, log), addr: ln.Addr().String(), ended: make(chan error, 1)}
	stop, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.ended <- r.sidecar.Run(stop, ln, operators, nil) }()
	t.Cleanup(cancel)
	return r
}

// newRigWithServers starts a sidecar that knows these servers and whose discovery is down.
func newRigWithServers(t *testing.T, addrs ...string) *rig {
	return newRig(t, peertest.DeadAddr(t), catalogOf(addrs), slog.New(slog.DiscardHandler))
}

// catalogOf returns the list of the servers at these addresses, as discovery sends it.
func catalogOf(addrs []string) string {
	var list []string
	for i, addr := range addrs {
		list = append(list, peertest.Instance(fmt.Sprint("s-", i), addr, "up"))
	}
	return peertest.Catalog(1, true, list...)
}

// open connects to the sidecar as a client.
func (r *rig) open() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	return peertest.Dial(r.t, r.addr)
}

// ask sends a request on a connection of its own and reads the response.
func (r *rig) ask(request string) (*http.Response, string) {
	r.t.Helper()
	return peertest.SendRequest(r.t, r.addr, request)
}

func lookRequest(trace string) string {
	return "GET /look?sid=7f HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: look\r\nX-Customer: acme\r\nX-Expires-In: 9000m\r\n\r\n"
}

func onceRequest(trace string) string {
	return "POST /once HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + trace + "\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\nContent-Length: 0\r\n\r\n"
}
