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
)

// streams is how many long messages go both ways at once, and how long they are: STREAMS and STREAM_MB in the environment.
func streams() (n int, size int64) {
	mb := int64(4)
	n = 12
	fmt.Sscan(os.Getenv("STREAMS"), &n)
	fmt.Sscan(os.Getenv("STREAM_MB"), &mb)
	return n, mb << 20
}

// peak is the most memory that a process ever had, in bytes.
func (s *sidecar) peak() (bytes int64) {
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

// inChunks writes or reads n random bytes in chunks of 1 byte to 1 MiB, and returns their digest.
func inChunks(seed uint64, n int64, move func([]byte) (int, error)) (string, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	sum := sha256.New()
	buffer := make([]byte, 1<<20)
	rand.NewChaCha8([32]byte{byte(seed)}).Read(buffer)
	for left := n; left > 0; {
		piece := buffer[:min(left, int64(1)<<random.IntN(21))]
		moved, err := move(piece)
		sum.Write(piece[:moved])
		if left -= int64(moved); err != nil {
			return fmt.Sprintf("%x", sum.Sum(nil)), err
		}
	}
	return fmt.Sprintf("%x", sum.Sum(nil)), nil
}

// Long bodies and responses in chunks of any size, many at once and far more than the memory limit, with clients that pause and some that go
// away half way: each of the others gets its own response, and the process stays within its memory limit.
func TestLongMessagesInLittleMemory(t *testing.T) {
	const memory = 32
	n, size := streams()
	var mu sync.Mutex
	bodies := map[string]string{} // digests by id, as the server saw them
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		sum := sha256.New()
		if _, err := io.Copy(sum, req.Body); err != nil {
			return
		}
		mu.Lock()
		bodies[req.Header.Get("X-Trace-Id")] = fmt.Sprintf("%x", sum.Sum(nil))
		mu.Unlock()
		io.CopyN(w, rand.NewChaCha8([32]byte{byte(len(req.Header.Get("X-Trace-Id")))}), size)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	f := newFleet(t, peertest.Settings)
	f.config = strings.Replace(f.config, `"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, memory), 1)
	f.config = f.config[:strings.Index(f.config, `"known"`)] + fmt.Sprintf(`"known":%s,"settings":%s}`,
		peertest.Catalog(1, true, peertest.Instance("s-1", ln.Addr().String(), "up")), peertest.Settings)
	s := f.start()
	began := time.Now()
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			id := fmt.Sprint("long", i)
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * peertest.EventTimeout))
			framing, write := fmt.Sprint("Content-Length: ", size), c.Write
			if i%2 == 1 {
				framing = "Transfer-Encoding: chunked"
				write = func(p []byte) (int, error) {
					fmt.Fprintf(c, "%x\r\n", len(p))
					n, err := c.Write(p)
					io.WriteString(c, "\r\n")
					return n, err
				}
			}
			fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n%s\r\n\r\n", id, framing)
			if i%5 == 4 { // this client goes away half way
				inChunks(uint64(i), size/2, write)
				return
			}
			sent, err := inChunks(uint64(i), size, write)
			if i%2 == 1 {
				io.WriteString(c, "0\r\n\r\n")
			}
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%s: %+v, %v", id, resp, err)
				return
			}
			got := int64(0)
			if _, err := inChunks(uint64(i), size, func(p []byte) (int, error) {
				n, err := io.ReadFull(resp.Body, p)
				got += int64(n)
				return n, err
			}); err != nil || got != size {
				t.Errorf("%s: %d bytes of the answer, %v", id, got, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if bodies[id] != sent {
				t.Errorf("%s: the server had another body", id)
			}
		})
	}
	all.Wait()
	took, peak := time.Since(began), s.peak()
	t.Logf("%d messages of %d MB both ways in %v: %.1f MB of memory at most", n, size>>20, took.Round(time.Millisecond), float64(peak)/(1<<20))
	if peak > memory<<20 && !raced { // the race detector takes several times the memory
		t.Errorf("%d bytes of memory, of %d MB", peak, memory)
	}
	mu.Lock()
	defer mu.Unlock()
	for i := range n {
		if id := fmt.Sprint("long", i); i%5 == 4 && bodies[id] != "" {
			t.Errorf("%s: half a body passed for a whole one", id)
		}
	}
	s.end()
}
