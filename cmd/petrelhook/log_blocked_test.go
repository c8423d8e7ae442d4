package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
)

// The pipe at standard error is full and no longer read. Each request still gets its response before its deadline, and the process ends
// normally.
func TestABlockedLogDelaysNoResponse(t *testing.T) {
	const deadline = time.Second
	server := peertest.NewPeer(t, peertest.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")) // a line for each attempt
	listen, dir := peertest.ReserveAddr(t), t.TempDir()
	path := filepath.Join(dir, "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","known":%s,"settings":%s}`, listen, peertest.DeadAddr(t),
		peertest.Catalog(1, true, peertest.Instance("s-1", server.Addr, "up")), strings.ReplaceAll(peertest.Settings, `"hard_limit_ms": 10000`, `"hard_limit_ms": 1000`))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer logReader.Close()
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, logWriter.Fd(), syscall.F_SETPIPE_SZ, 4096); errno != 0 {
		t.Fatal(errno)
	}
	cmd := process.Self("PETRELHOOK_TEST_RUN", "1")
	cmd.Env = append(cmd.Env, "LB_CONFIG="+path, "LB_ADMIN_ADDR=", "TMPDIR="+dir)
	cmd.Stderr = logWriter
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	logWriter.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	if line, err := bufio.NewReaderSize(logReader, 16).ReadString('\n'); err != nil || !strings.Contains(line, "serving") {
		t.Fatalf("%q, %v", line, err)
	}
	attempts := 0
	for i := range 100 {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(deadline + peertest.EventTimeout/4)) // on a busy machine the response is late; a blocked process never sends it
		io.WriteString(c, request("GET", "look", fmt.Sprint("blocked-", i), "Connection: close\r\n", 0))
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		c.Close()
		if err != nil {
			t.Fatalf("request %d, after %d attempts: %v", i, attempts, err)
		}
		attempts = int(server.Requests.Load())
	}
	if attempts < 100 { // each logs a line, and about 30 lines fill the pipe
		t.Fatalf("%d attempts were made", attempts)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := peertest.Wait(t, ended); err != nil {
		t.Error(err)
	}
}

func TestASidecarOutlivesTheReaderOfItsLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":%s}`, peertest.ReserveAddr(t), peertest.DeadAddr(t), peertest.Settings)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := process.Self("PETRELHOOK_TEST_RUN", "1")
	cmd.Env = append(cmd.Env, "LB_CONFIG="+path, "LB_ADMIN_ADDR=", "TMPDIR="+t.TempDir())
	process.CheckOutlivesLogReader(t, cmd, "serving")
}
