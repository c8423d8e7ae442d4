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

// logLines is a log writer that sends each line on the channel.
type logLines chan string

func (l logLines) Write(text []byte) (int, error) {
	l <- string(text)
	return len(text), nil
}

// waitFor receives lines until one contains the text.
func (l logLines) waitFor(t *testing.T, text string) {
	t.Helper()
	for !strings.Contains(peertest.Wait(t, l), text) {
	}
}

// reloader runs Sidecar.Reload with a configuration file that doesn't exist at first.
type reloader struct {
	t      *testing.T
	log    logLines // of the sidecar
	path   string
	hup    chan os.Signal
	cancel context.CancelFunc
	ended  chan struct{}
}

// startReloads starts Reload, which runs until stop is called or the test ends.
func startReloads(t *testing.T, sidecar *Sidecar, log logLines) *reloader {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r := &reloader{
		t: t, log: log, path: filepath.Join(t.TempDir(), "config.json"),
		hup: make(chan os.Signal), cancel: cancel, ended: make(chan struct{}),
	}
	go func() {
		defer close(r.ended)
		sidecar.Reload(ctx, r.path, r.hup)
	}()
	return r
}

// hangUp sends the reload signal, and returns once Reload has received it.
func (r *reloader) hangUp() { r.hup <- syscall.SIGHUP }

// reloadWith writes the file and sends the reload signal.
func (r *reloader) reloadWith(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.hangUp()
}

// waitRefused waits for the log line which says that a file was rejected.
func (r *reloader) waitRefused() {
	r.t.Helper()
	r.log.waitFor(r.t, "reload failed; keeping the current configuration")
}

func (r *reloader) stop() {
	r.t.Helper()
	r.cancel()
	peertest.Wait(r.t, r.ended)
}

// configFor returns a valid configuration file with this address of discovery.
func configFor(discovery string) string {
	return `{"listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1f","settings":` + peertest.Settings + `}`
}

// newListDiscovery starts a discovery that answers each call with the list. askedAfter receives the generation after which each call asks
// for changes.
func newListDiscovery(t *testing.T, list string, askedAfter chan<- string) *peertest.Peer {
	t.Helper()
	return peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		askedAfter <- req.URL.Query().Get("after")
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list+"\n")
		return true
	})
}

// After a reload the sidecar asks the new discovery for its complete list at once, ignores the old one, and continues to serve requests. A
// file that is not valid changes nothing.
func TestReload(t *testing.T) {
	requestReceived, release := make(chan struct{}, 1), make(chan struct{})
	server := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "open" {
			requestReceived <- struct{}{}
			<-release
		}
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	askedAfter := make(chan string, 9)
	oldInstance := peertest.Instance("s-0", server.Addr, "up")
	oldDiscovery := newListDiscovery(t, peertest.Catalog(900, true, oldInstance), askedAfter)
	newDiscovery := newListDiscovery(t, peertest.Catalog(3, true, peertest.Instance("s-1", server.Addr, "up")), askedAfter)
	log := make(logLines, 99)
	r := newRig(t, oldDiscovery.Addr, peertest.Catalog(899, true, oldInstance), slog.New(slog.NewTextHandler(log, nil)))
	if after := peertest.Wait(t, askedAfter); after != "899" {
		t.Errorf("the first watch is after %s", after)
	}
	conn, in := r.open()
	io.WriteString(conn, lookRequest("open"))
	peertest.Wait(t, requestReceived)

	reload := startReloads(t, r.sidecar, log)
	reload.hangUp() // there is no file
	reload.waitRefused()
	reload.reloadWith("{")
	reload.waitRefused()
	valid := configFor(newDiscovery.Addr)
	reload.reloadWith(`{"name":"n9",` + valid[1:]) // the file of another sidecar, perhaps of another customer
	reload.waitRefused()

	reload.reloadWith(valid)
	if after := peertest.Wait(t, askedAfter); after != "0" {
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
	log.waitFor(t, "moved=false")
	reload.stop()
	r.sidecar.core.Stats() // returns after the core has handled everything that was posted to it before
	if n := len(askedAfter); n != 0 {
		t.Errorf("%d more calls", n)
	}
}
