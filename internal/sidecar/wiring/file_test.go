package wiring

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/counts"
)

// GET /api/counts says which configuration file was read last, at the start and after each reload that succeeded.
func TestTheLoadedFileIsReported(t *testing.T) {
	calls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := make(lines, 99)
	dead := peertest.DeadAddr(t)
	r := newRigWith(t, dead, peertest.Catalog(1, true, peertest.Instance("s", dead, "up")), `"admin_addr":"`+calls.Addr().String()+`",`, calls,
		slog.New(slog.NewTextHandler(log, nil)))
	report := func() (f counts.File) {
		t.Helper()
		resp, err := http.Get("http://" + calls.Addr().String() + "/api/counts")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		var all counts.Report // as drivers of rolling changes read it
		var file struct {
			File counts.File `json:"file"`
		}
		if err == nil {
			err = errors.Join(json.Unmarshal(text, &all), json.Unmarshal(text, &file))
		}
		if err != nil || len(all.Classes) == 0 || all.ServerUse == nil {
			t.Errorf("%v: %s", err, text)
		}
		return file.File
	}
	first := report()
	if len(first.Digest) != 64 || first.Reloads != 0 {
		t.Errorf("%+v", first)
	}
	path, hup := filepath.Join(t.TempDir(), "config.json"), make(chan os.Signal)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.sidecar.Reload(ctx, path, hup)
	}()
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup <- syscall.SIGHUP
	}
	write("{")
	log.until(t, "stays as it was")
	if f := report(); f != first {
		t.Errorf("%+v after a bad file, %+v before", f, first)
	}
	write(`{"listen":"127.0.0.1:0","discovery":"` + dead + `","seed":"1f","settings":` + peertest.Settings + `}`)
	c, err := config.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	peertest.Eventually(t, "it is reported", func() bool { return report() == counts.File{Digest: c.Digest, Reloads: 1} })
	cancel()
	peertest.Wait(t, ended)
}
