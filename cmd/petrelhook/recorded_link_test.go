package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
)

// recordedLink is the file with what two processes of a sidecar write on the socket of a hand-over, as revision cfdfdec wrote it. Numbers that
// differ between runs are replaced. LINK_RECORD=1 go test ./cmd/petrelhook -run TestRecordedLink writes the file.
const recordedLink = "testdata/cfdfdec/link.txt"

// transcript reads and records the lines that a process writes on the socket of a hand-over.
type transcript struct {
	t     *testing.T
	conn  *net.UnixConn
	in    *bufio.Reader
	lines []string
}

func newTranscript(t *testing.T, conn *net.UnixConn) *transcript {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(peertest.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	return &transcript{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// read reads the next line of the process, records it and returns it.
func (c *transcript) read() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("after %q: %v", c.lines, err)
	}
	c.lines = append(c.lines, line)
	return line
}

// readUntil records the next line of the process that is wanted, and discards the lines before it.
func (c *transcript) readUntil(wanted func(line string) bool) {
	c.t.Helper()
	for !wanted(c.read()) {
		c.lines = c.lines[:len(c.lines)-1]
	}
}

// send writes text to the process.
func (c *transcript) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// stateHeader returns the line that precedes a state, according to the description of the format.
func stateHeader(state []byte) string {
	return fmt.Sprintf("petrelhook handover 1 %d %08x\n", len(state), crc32.Checksum(state, crc32.MakeTable(crc32.Castagnoli)))
}

// recordPredecessor returns the lines that a process in service writes to its successor, which the test plays.
func recordPredecessor(t *testing.T, f *fleet) (lines []string, socket string) {
	t.Helper()
	s := f.start()
	sockets, err := filepath.Glob(filepath.Join(f.dir, "petrelhook-*.sock"))
	if err != nil || len(sockets) != 1 {
		t.Fatal(sockets, err)
	}
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: sockets[0], Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	c := newTranscript(t, conn)
	c.send("petrelhook handover 1\n")
	header := c.read()
	var length int
	if _, err := fmt.Sscanf(header, "petrelhook handover 1 %d", &length); err != nil {
		t.Fatalf("%q: %v", header, err)
	}
	state := make([]byte, length)
	if _, err := io.ReadFull(c.in, state); err != nil {
		t.Fatal(err)
	}
	if header != stateHeader(state) {
		t.Errorf("header %q, want %q", header, stateHeader(state))
	}
	c.lines = []string{"petrelhook handover 1 LENGTH CRC\n"}
	c.send("ready\n")
	c.read()
	c.read()
	for _, call := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := s.call(call); status != 200 {
			t.Fatalf("%s: %d", call, status)
		}
		c.read()
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	s.end()
	return c.lines, sockets[0]
}

// recordSuccessor returns the lines that a process that takes over writes to the process in service, which the test plays.
func recordSuccessor(t *testing.T, f *fleet, socket string, lists *peertest.Discovery) (lines []string) {
	t.Helper()
	if err := os.Remove(socket); err != nil {
		t.Fatal(err)
	}
	offer, err := net.ListenUnix("unix", &net.UnixAddr{Name: socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		t.Fatal(err)
	}
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := offer.AcceptUnix()
		if err != nil {
			t.Error(err)
		}
		accepted <- conn
	}()
	started := make(chan *sidecar, 1)
	go func() { started <- f.start() }()
	c := newTranscript(t, peertest.Wait(t, accepted))
	c.read()
	state, err := os.ReadFile(filepath.Join(recordedStates, "2-by-name.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.conn.WriteMsgUnix([]byte(stateHeader(state)), syscall.UnixRights(int(file.Fd())), nil); err != nil {
		t.Fatal(err)
	}
	c.send(string(state))
	for _, closer := range []io.Closer{ln, file, offer} {
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
	}
	c.read()
	c.send("heard\nfollows\n")
	s := peertest.Wait(t, started)
	isHeartbeat := func(line string) bool { return strings.HasPrefix(line, "watch ") && !strings.Contains(line, `"list"`) }
	c.readUntil(isHeartbeat) // a list may come first, if the watch was already open
	lists.Publish(peertest.Catalog(2, true, peertest.Instance("s-1", "127.0.0.1:9", "up")))
	c.readUntil(func(line string) bool { return !isHeartbeat(line) })
	for _, call := range []string{"PUT /api/evacuate", "PUT /api/rejoin"} {
		if status := s.call(call); status != 200 {
			t.Fatalf("%s: %d", call, status)
		}
		c.readUntil(func(line string) bool { return !isHeartbeat(line) })
	}
	s.end()
	return c.lines
}

// Both processes write on the socket of a hand-over what they wrote at the recorded revision, byte for byte, because the other process may be
// of another version.
func TestRecordedLink(t *testing.T) {
	f := newFleet(t, peertest.Settings)
	before, socket := recordPredecessor(t, f)
	lists, addr := peertest.NewDiscovery(t, peertest.Catalog(1, true, peertest.Instance("s-1", "127.0.0.1:9", "up")))
	f.config = strings.Replace(f.config, `"discovery":"`, `"discovery":"`+addr+`","x":"`, 1)
	next := recordSuccessor(t, f, socket, lists)
	var got bytes.Buffer
	fmt.Fprintf(&got, "# the process in service\n%s# the next process\n%s", strings.Join(before, ""), strings.Join(next, ""))
	text := strings.ReplaceAll(got.String(), addr, "DISCOVERY")
	if os.Getenv("LINK_RECORD") != "" {
		if err := os.WriteFile(recordedLink, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(recordedLink)
	if err != nil || text != string(want) {
		t.Errorf("%v: written:\n%s\nwant:\n%s", err, text, want)
	}
}
