package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/racedetector"
)

// longMessageLoad returns how many long messages are sent each way at once, and their size in bytes. STREAMS and STREAM_MB in the environment
// override the number and the size in MiB.
func longMessageLoad() (n int, size int64) {
	sizeMB := int64(4)
	n = 12
	fmt.Sscan(os.Getenv("STREAMS"), &n)
	fmt.Sscan(os.Getenv("STREAM_MB"), &sizeMB)
	return n, sizeMB << 20
}

// peakMemory returns the peak resident memory of a process in bytes.
func (s *sidecar) peakMemory() (bytes int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Pid))
	if err != nil {
		s.f.t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			fmt.Sscan(rest, &bytes)
		}
	}
	return bytes << 10
}

// transferInChunks writes or reads n bytes by calls of transfer with chunks of 1 byte to 1 MiB, and returns their digest. The sizes of the
// chunks, and the bytes to write, are random and determined by the seed.
func transferInChunks(seed uint64, n int64, transfer func([]byte) (int, error)) (string, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	sum := sha256.New()
	buffer := make([]byte, 1<<20)
	rand.NewChaCha8([32]byte{byte(seed)}).Read(buffer)
	for left := n; left > 0; {
		piece := buffer[:min(left, int64(1)<<random.IntN(21))]
		transferred, err := transfer(piece)
		sum.Write(piece[:transferred])
		if left -= int64(transferred); err != nil {
			return fmt.Sprintf("%x", sum.Sum(nil)), err
		}
	}
	return fmt.Sprintf("%x", sum.Sum(nil)), nil
}

// digestServer records the digests of the bodies that it has read completely, and answers with a long response.
type digestServer struct {
	addr         string
	responseSize int64

	mu     sync.Mutex
	bodies map[string]string // digests by trace ID
}

func newDigestServer(t *testing.T, responseSize int64) *digestServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &digestServer{addr: listener.Addr().String(), responseSize: responseSize, bodies: map[string]string{}}
	server := &http.Server{Handler: d}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *digestServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	sum := sha256.New()
	if _, err := io.Copy(sum, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Trace-Id")
	d.mu.Lock()
	d.bodies[id] = fmt.Sprintf("%x", sum.Sum(nil))
	d.mu.Unlock()
	io.CopyN(w, rand.NewChaCha8([32]byte{byte(len(id))}), d.responseSize)
}

// body returns the digest of the body of a request, or "" if the body was not read completely.
func (d *digestServer) body(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bodies[id]
}

// longClient sends one long request on a connection of its own and reads the long response. Every second client sends its body chunked.
type longClient struct {
	number int
	size   int64 // of the body and of the response
}

func (c longClient) id() string { return fmt.Sprint("long", c.number) }

// disconnects reports whether the client disconnects in the middle of its body.
func (c longClient) disconnects() bool { return c.number%5 == 4 }

func (c longClient) isChunked() bool { return c.number%2 == 1 }

// exchange sends the request, and checks the response and the body that the server got.
func (c longClient) exchange(t *testing.T, addr string, server *digestServer) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * peertest.EventTimeout))
	if c.disconnects() {
		c.send(conn, c.size/2)
		return
	}
	sent, err := c.send(conn, c.size)
	if c.isChunked() {
		io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		t.Errorf("%s: %v", c.id(), err)
		return
	}
	if !c.readResponse(t, conn) {
		return
	}
	if server.body(c.id()) != sent {
		t.Errorf("%s: the server got another body", c.id())
	}
}

// send writes the request's head and bodySize bytes of its body, and returns the digest of these bytes.
func (c longClient) send(conn net.Conn, bodySize int64) (digest string, err error) {
	framing, write := fmt.Sprint("Content-Length: ", c.size), conn.Write
	if c.isChunked() {
		framing, write = "Transfer-Encoding: chunked", func(p []byte) (int, error) { return writeChunk(conn, p) }
	}
	fmt.Fprintf(conn, "POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n%s\r\n\r\n", c.id(), framing)
	return transferInChunks(uint64(c.number), bodySize, write)
}

// writeChunk writes p as one chunk of a chunked body, and returns how many bytes of p it has written.
func writeChunk(conn net.Conn, p []byte) (n int, err error) {
	fmt.Fprintf(conn, "%x\r\n", len(p))
	n, err = conn.Write(p)
	io.WriteString(conn, "\r\n")
	return n, err
}

// readResponse reads the response in chunks of random sizes, and checks its status and size. It reports whether there was a response with
// the status 200.
func (c longClient) readResponse(t *testing.T, conn net.Conn) bool {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%s: %+v, %v", c.id(), resp, err)
		return false
	}
	got := int64(0)
	_, err = transferInChunks(uint64(c.number), c.size, func(p []byte) (int, error) {
		n, err := io.ReadFull(resp.Body, p)
		got += int64(n)
		return n, err
	})
	if err != nil || got != c.size {
		t.Errorf("%s: %d bytes of the answer, %v", c.id(), got, err)
	}
	return true
}

// Clients send long bodies and read long responses in chunks of random sizes, many at once and together far larger than the memory limit. Some
// clients disconnect in the middle of their body. Each of the others gets its complete response, and the process stays within its memory
// limit.
func TestLongMessagesWithinTheMemoryLimit(t *testing.T) {
	const memoryMB = 32
	n, size := longMessageLoad()
	server := newDigestServer(t, size)
	f := newFleet(t, peertest.Settings)
	f.config = strings.Replace(f.config, `"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, memoryMB), 1)
	f.setServers(peertest.Instance("s-1", server.addr, "up"))
	s := f.start()

	began := time.Now()
	var clients sync.WaitGroup
	for i := range n {
		clients.Go(func() { longClient{number: i, size: size}.exchange(t, f.listen, server) })
	}
	clients.Wait()
	took, peakMemory := time.Since(began), s.peakMemory()
	t.Logf("%d messages of %d MB both ways in %v: %.1f MB of memory at most", n, size>>20, took.Round(time.Millisecond), float64(peakMemory)/(1<<20))
	if peakMemory > memoryMB<<20 && !racedetector.Enabled { // the race detector takes several times the memory
		t.Errorf("%d bytes of memory, of %d MB", peakMemory, memoryMB)
	}
	for i := range n {
		if c := (longClient{number: i, size: size}); c.disconnects() && server.body(c.id()) != "" {
			t.Errorf("%s: the server read a truncated body as a complete one", c.id())
		}
	}
	s.end()
}
