package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
)

// While discovery is down, idle clients connect until no descriptor is left for them. Health checks are answered, servers are reached, and the
// watch opens when discovery is back. The process opens no more descriptors than its configuration allows.
func TestManyClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 384
	f := newFleet(t, peertest.Settings)
	path := filepath.Join(f.dir, "config.json")
	if err := os.WriteFile(path, []byte(f.config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, limit), os.Args[0])
	cmd.Env = append(os.Environ(), "PETRELHOOK_TEST_RUN=1", "LB_CONFIG="+path, "LB_ADMIN_ADDR=")
	process.Start(t, cmd)
	health := "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	ask := func(text string) int { // 0: no answer
		c, err := net.Dial("tcp", f.listen)
		if err != nil {
			return 0
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(peertest.EventTimeout))
		io.WriteString(c, text)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	peertest.Eventually(t, "it is ready", func() bool { return ask(health) == 200 })
	for i := range 3 * limit { // idle connections without a request, after a request, and in the middle of a head
		c, err := net.Dial("tcp", f.listen)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", request("GET", "look", fmt.Sprint("i", i), "", 0), "GET /half HTTP/1.1\r\n"}[i%3])
	}
	n := 0
	peertest.Eventually(t, "a request is served", func() bool { n++; return ask(request("GET", "look", fmt.Sprint("c", n), "", 0)) == 200 })
	peertest.Eventually(t, "health answers", func() bool { return ask(health) == 200 })
	addr := valueAt([]byte(f.config), "discovery").(string)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	began := time.Now()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if req, err := http.ReadRequest(bufio.NewReader(c)); err != nil || req.URL.Query().Get("watch") != "1" || time.Since(began) > 6*time.Second {
		t.Errorf("%v, %v after %v", req, err, time.Since(began))
	}
}
