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

// After a reload the new discovery is asked for its complete list at once, the old one is ignored, and requests continue. A file that is not
// valid changes nothing.
func TestReload(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "open" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, peertest.OKResponse)
		return true
	})
	asked := make(chan string, 9)
	lister := func(list string) *peertest.Peer {
		return peertest.NewPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
			asked <- req.URL.Query().Get("after")
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list+"\n")
			return true
		})
	}
	old := lister(peertest.Catalog(900, true, peertest.Instance("s-0", p.Addr, "up")))
	next := lister(peertest.Catalog(3, true, peertest.Instance("s-1", p.Addr, "up")))
	log := make(lines, 99)
	r := newRig(t, old.Addr, peertest.Catalog(899, true, peertest.Instance("s-0", p.Addr, "up")), slog.New(slog.NewTextHandler(log, nil)))
	if after := peertest.Wait(t, asked); after != "899" {
		t.Errorf("the first watch is after %s", after)
	}
	c, in := r.open()
	io.WriteString(c, lookRequest("open"))
	peertest.Wait(t, got)

	path, hup := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup <- syscall.SIGHUP
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		r.sidecar.Reload(ctx, path, hup)
		close(ended)
	}()
	hup <- syscall.SIGHUP // there is no file
	log.until(t, "stays as it was")
	write("{")
	log.until(t, "stays as it was")
	other := `{"listen":"127.0.0.1:0","discovery":"` + next.Addr + `","seed":"1f","settings":` + peertest.Settings + `}`
	write(`{"name":"n9",` + other[1:]) // another sidecar's, of another customer perhaps
	log.until(t, "stays as it was")
	write(other)
	if after := peertest.Wait(t, asked); after != "0" {
		t.Errorf("the new watch is after %s", after)
	}
	peertest.Wait(t, old.Ended)
	peertest.Eventually(t, "the new list holds", func() bool {
		s := r.sidecar.core.Stats()
		return slices.Equal(s.Servers, []string{"s-1"}) && s.Generation == 3
	})
	close(release)
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 {
		t.Errorf("the open request: %d", resp.StatusCode)
	}
	hup <- syscall.SIGHUP // the same file again: the watch stays
	log.until(t, "moved=false")
	cancel()
	peertest.Wait(t, ended)
	r.sidecar.core.Stats()
	if n := len(asked); n != 0 {
		t.Errorf("%d more calls", n)
	}
}
