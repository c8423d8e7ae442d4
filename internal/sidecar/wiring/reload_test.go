package wiring

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
)

// lines is a log whose lines are received as they are written.
type lines chan string

func (l lines) Write(text []byte) (int, error) {
	l <- string(text)
	return len(text), nil
}

// until reads lines up to one that holds a text.
func (l lines) until(t *testing.T, text string) {
	t.Helper()
	for !strings.Contains(peertest.Wait(t, l), text) {
	}
}

// reloads is a sidecar's running Reload, with a configuration file that doesn't exist yet.
type reloads struct {
	t      *testing.T
	log    lines // of the sidecar
	path   string
	hup    chan os.Signal
	cancel context.CancelFunc
	ended  chan struct{}
}

// startReloads runs Reload until stop or the end of the test.
func startReloads(t *testing.T, sidecar *Sidecar, log lines) *reloads {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := &reloads{
		t: t, log: log, path: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal), cancel: cancel, ended: make(chan struct{}),
	}
	go func() {
		defer close(r.ended)
		sidecar.Reload(ctx, r.path, r.hup)
	}()
	return r
}

// hangUp signals that the file is to be read, and returns once that is received.
func (r *reloads) hangUp() { r.hup <- syscall.SIGHUP }

// reloadWith writes the file and signals.
func (r *reloads) reloadWith(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.hangUp()
}

// waitRefused waits for the log line of a file that changed nothing.
func (r *reloads) waitRefused() {
	r.t.Helper()
	r.log.until(r.t, "stays as it was")
}

func (r *reloads) stop() {
	r.t.Helper()
	r.cancel()
	peertest.Wait(r.t, r.ended)
}

// configFor is a valid configuration file with this address of discovery.
func configFor(discovery string) string {
	return `{"listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1f","settings":` + peertest.Settings + `}`
}

// newLister is a discovery that answers each call with a list; asked receives after which generation the calls ask.
func newLister(t *testing.T, list string, asked chan<- string) *peertest.Peer {
	t.Helper()
	return peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		asked <- req.URL.Query().Get("after")
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list+"\n")
		return true
	})
}

// After a reload the new discovery is asked for its complete list at once, the old one is ignored, and requests continue. A file that is not
// valid changes nothing.
func TestReload(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	server := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "open" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	asked := make(chan string, 9)
	oldInstance := peertest.Instance("s-0", server.Addr, "up")
	oldDiscovery := newLister(t, peertest.Catalog(900, true, oldInstance), asked)
	newDiscovery := newLister(t, peertest.Catalog(3, true, peertest.Instance("s-1", server.Addr, "up")), asked)
	log := make(lines, 99)
	r := newRig(t, oldDiscovery.Addr, peertest.Catalog(899, true, oldInstance), slog.New(slog.NewTextHandler(log, nil)))
	if after := peertest.Wait(t, asked); after != "899" {
		t.Errorf("the first watch is after %s", after)
	}
	conn, in := r.open()
	io.WriteString(conn, lookRequest("open"))
	peertest.Wait(t, got)

	reload := startReloads(t, r.sidecar, log)
	reload.hangUp() // there is no file
	reload.waitRefused()
	reload.reloadWith("{")
	reload.waitRefused()
	valid := configFor(newDiscovery.Addr)
	reload.reloadWith(`{"name":"n9",` + valid[1:]) // another sidecar's, of another customer perhaps
	reload.waitRefused()

	reload.reloadWith(valid)
	if after := peertest.Wait(t, asked); after != "0" {
		t.Errorf("the new watch is after %s", after)
	}
	peertest.Wait(t, oldDiscovery.Ended)
	peertest.Eventually(t, "the new list holds", func() bool {
		s := r.sidecar.core.Stats()
		return slices.Equal(s.Servers, []string{"s-1"}) && s.Generation == 3
	})
	close(release)
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
		t.Errorf("the open request: %d", resp.StatusCode)
	}

	reload.hangUp() // the same file again: the watch stays
	log.until(t, "moved=false")
	reload.stop()
	r.sidecar.core.Stats() // returns after all that was posted to the core before
	if n := len(asked); n != 0 {
		t.Errorf("%d more calls", n)
	}
}
