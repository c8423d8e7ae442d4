package wiring

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/counts"
)

// reportedFile returns the file that GET /api/counts reports. It decodes and checks the rest of the report as the drivers of rolling changes
// do.
func reportedFile(t *testing.T, adminAddr string) counts.ConfigFile {
	t.Helper()
	resp, err := http.Get("http://" + adminAddr + "/api/counts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	var report counts.Report
	var file struct {
		File counts.ConfigFile `json:"file"`
	}
	if err == nil {
		err = errors.Join(json.Unmarshal(text, &report), json.Unmarshal(text, &file))
	}
	if err != nil || len(report.Classes) == 0 || report.ServerUse == nil {
		t.Errorf("%v: %s", err, text)
	}
	return file.File
}

// GET /api/counts says which configuration was loaded last, at the start or by a successful reload.
func TestTheLoadedFileIsReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	adminAddr := listener.Addr().String()
	log := make(logLines, 99)
	dead := peertest.DeadAddr(t)
	r := newRigWith(t, dead, peertest.Catalog(1, true, peertest.Instance("s", dead, "up")), `"admin_addr":"`+adminAddr+`",`, listener,
		slog.New(slog.NewTextHandler(log, nil)))
	first := reportedFile(t, adminAddr)
	if len(first.Digest) != 64 || first.Reloads != 0 {
		t.Errorf("%+v", first)
	}

	reload := startReloads(t, r.sidecar, log)
	reload.reloadWith("{")
	reload.waitRefused()
	if file := reportedFile(t, adminAddr); file != first {
		t.Errorf("%+v after a bad file, %+v before", file, first)
	}

	reload.reloadWith(configFor(dead))
	loaded, err := config.Read(reload.path)
	if err != nil {
		t.Fatal(err)
	}
	peertest.Eventually(t, "it is reported", func() bool {
		return reportedFile(t, adminAddr) == counts.ConfigFile{Digest: loaded.Digest, Reloads: 1}
	})
	reload.stop()
}
