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

// Standard error is full and not read any more: each request still gets its response before its deadline, and the process ends normally.
func TestALogThatIsNotRead(t *testing.T) {
	const deadline = time.Second
	server := peertest.NewPeer(t, peertest.RespondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")) // a line for each attempt
	listen, dir := peertest.ReserveAddr(t), t.TempDir()
	path := filepath.Join(dir, "config.json")
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","known":%s,"settings":%s}`, listen, peertest.DeadAddr(t),
		peertest.Catalog(1, true, peertest.Instance("s-1", server.Addr, "up")), strings.ReplaceAll(peertest.Settings, `"hard_limit_ms": 10000`, `"hard_limit_ms": 1000`))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	log, to, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if _, _, no := syscall.Syscall(syscall.SYS_FCNTL, to.Fd(), syscall.F_SETPIPE_SZ, 4096); no != 0 {
		t.Fatal(no)
	}
	cmd := process.Self("PETRELHOOK_TEST_RUN", "1")
	cmd.Env = append(cmd.Env, "LB_CONFIG="+path, "LB_ADMIN_ADDR=", "TMPDIR="+dir)
	cmd.Stderr = to
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	to.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	if line, err := bufio.NewReaderSize(log, 16).ReadString('\n'); err != nil || !strings.Contains(line, "serving") {
		t.Fatalf("%q, %v", line, err)
	}
	attempts := 0
	for i := range 100 {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(deadline + peertest.EventTimeout/4)) // on a busy machine the response is late, from a blocked process it never comes
		io.WriteString(c, request("GET", "look", fmt.Sprint("blocked-", i), "Connection: close\r\n", 0))
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		c.Close()
		if err != nil {
			t.Fatalf("request %d, after %d attempts: %v", i, attempts, err)
		}
		attempts = int(server.Requests.Load())
	}
	if attempts < 100 { // of which 30 lines or so fill the pipe
		t.Fatalf("%d attempts were made", attempts)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := peertest.Wait(t, ended); err != nil {
		t.Error(err)
	}
}
