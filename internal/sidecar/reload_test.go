package sidecar

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// lines is a log that hands out its lines as they are written.
type lines chan string

func (l lines) Write(text []byte) (int, error) {
	l <- string(text)
	return len(text), nil
}

// After a reload the new discovery is asked for its whole list at once, the old one is left and counts no more, and
// requests go on. A file that cannot be read changes nothing.
func TestReload(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := newPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "open" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, okAnswer)
		return true
	})
	asked := make(chan string, 9)
	lister := func(list string) *peer {
		return newPeer(t, func(c net.Conn, req *http.Request, _ string) bool {
			asked <- req.URL.Query().Get("after")
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list+"\n")
			return true
		})
	}
	old := lister(catalog(900, true, instance("s-0", p.addr, "up")))
	next := lister(catalog(3, true, instance("s-1", p.addr, "up")))
	r := newRig(t, old.addr, catalog(899, true, instance("s-0", p.addr, "up")))
	if after := wait(t, asked); after != "899" {
		t.Errorf("the first watch is after %s", after)
	}
	c, in := r.open()
	io.WriteString(c, look("open"))
	wait(t, got)

	path, hup := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup <- syscall.SIGHUP
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := make(lines, 9)
	ended := make(chan struct{})
	go func() {
		r.loop.Reload(ctx, path, hup, slog.New(slog.NewTextHandler(log, nil)))
		close(ended)
	}()
	hup <- syscall.SIGHUP // there is no file
	wait(t, log)
	write("{")
	wait(t, log)
	write(`{"listen":"127.0.0.1:0","discovery":"` + next.addr + `","seed":"1f","settings":` + testSettings + `}`)
	if after := wait(t, asked); after != "0" {
		t.Errorf("the new watch is after %s", after)
	}
	wait(t, old.ended)
	eventually(t, "the new list holds", func() (ok bool) {
		r.within(func() { ok = len(r.loop.servers) == 1 && r.loop.servers[0] == nil && r.loop.generation == 3 })
		return ok
	})
	close(release)
	if resp, _ := r.answer(in); resp.StatusCode != 200 {
		t.Errorf("the open request: %d", resp.StatusCode)
	}
	hup <- syscall.SIGHUP // the same file again: the watch stays
	cancel()
	wait(t, ended)
	r.within(func() {})
	if n := len(asked); n != 0 {
		t.Errorf("%d more calls", n)
	}
	if n := len(log); n != 0 {
		t.Errorf("%d more lines", n)
	}
}
