package wiring

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"petrelhook/internal/common/peertest"
)

// deterministicBody returns a reader of size bytes. The bytes are the same for each reader, whatever the sizes of its reads.
func deterministicBody(size int64) io.Reader { return io.LimitReader(&deterministicReader{}, size) }

type deterministicReader struct{ last byte }

func (c *deterministicReader) Read(p []byte) (int, error) {
	for i := range p {
		c.last = c.last*5 + 1
		p[i] = c.last
	}
	return len(p), nil
}

func digest(r io.Reader) (sum string, size int64) {
	h := sha256.New()
	size, _ = io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil)), size
}

// newLongServer starts a server that reads each body as it arrives and answers with a deterministicBody. The query of the request gives the
// framing and the size of the response. onBody is called with the digest and the size of each body of a POST request.
func newLongServer(t *testing.T, onBody func(sum string, size int64)) (addr string) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		sum, size := digest(req.Body)
		if req.Method == http.MethodPost {
			onBody(sum, size)
		}
		if req.URL.Query().Get("framing") == "length" {
			w.Header().Set("Content-Length", req.URL.Query().Get("size"))
		}
		var want int64
		fmt.Sscan(req.URL.Query().Get("size"), &want)
		io.Copy(w, io.LimitReader(deterministicBody(1<<40), want))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// Bodies and responses of 32 MB pass through a complete sidecar unchanged, in both framings and several at once.
func TestLongMessagesBothWays(t *testing.T) {
	const size = 32 << 20
	want, _ := digest(deterministicBody(size))
	var mu sync.Mutex
	bodies := 0
	r := newRigWithServers(t, newLongServer(t, func(sum string, n int64) {
		mu.Lock()
		defer mu.Unlock()
		if bodies++; sum != want || n != size {
			t.Errorf("a server got %d bytes, digest %s", n, sum)
		}
	}))
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			chunked, framing := i%2 == 0, []string{"length", "chunks"}[i/2%2]
			req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/once?framing=%s&size=%d", r.addr, framing, size), deterministicBody(size))
			if err != nil {
				t.Error(err)
				return
			}
			if req.ContentLength = size; chunked {
				req.ContentLength = -1
			}
			for name, value := range map[string]string{"X-Trace-Id": fmt.Sprint("t", i), "X-Qos": "once", "X-Expires-In": "9000m"} {
				req.Header.Set(name, value)
			}
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err != nil {
				t.Errorf("%d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			if sum, n := digest(resp.Body); resp.StatusCode != 200 || sum != want || n != size {
				t.Errorf("%d: status %d, %d bytes, digest %s", i, resp.StatusCode, n, sum)
			}
		})
	}
	clients.Wait()
	if bodies != 6 {
		t.Errorf("%d bodies", bodies)
	}
	peertest.Eventually(t, "the tables are empty", func() bool { return r.sidecar.core.Stats().Requests == 0 })
}

// A server that closes the connection before the last byte of a body has not executed the request. The body cannot be sent again, so the
// request is rejected with a status that says that it was not executed.
func TestAServerThatClosesDuringALongBody(t *testing.T) {
	addr := peertest.NewRaw(t, func(c net.Conn) {
		io.ReadFull(c, make([]byte, 300_000))
		c.(*net.TCPConn).SetLinger(0)
	})
	r := newRigWithServers(t, addr)
	c, in := r.open()
	io.WriteString(c, strings.Replace(onceRequest("t"), "Content-Length: 0", "Content-Length: 1000000", 1))
	io.WriteString(c, strings.Repeat("x", 400_000))
	if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// If a server rejects a request before its body has arrived, another server gets the complete body.
func TestALongBodyIsRetriedAtAnotherServer(t *testing.T) {
	const size = 500_000
	want, _ := digest(deterministicBody(size))
	rejected := make(chan struct{}, 10)
	full := peertest.NewRaw(t, func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil && req.Method == http.MethodPost {
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
			rejected <- struct{}{}
		}
	})
	headsRead, sums := make(chan struct{}, 10), make(chan string, 10)
	available := peertest.NewRaw(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			headsRead <- struct{}{}
			sum, _ := digest(req.Body)
			sums <- sum
			io.WriteString(c, peertest.OKResponse)
		}
	})
	r := newRigWithServers(t, full, available)
	for i := range 6 { // the first attempts alternate between the two servers
		c, in := r.open()
		io.WriteString(c, strings.Replace(onceRequest(fmt.Sprint("t", i)), "Content-Length: 0", fmt.Sprint("Content-Length: ", size), 1))
		peertest.Wait(t, headsRead) // if the full server got the request first, it has rejected it by now
		io.Copy(c, deterministicBody(size))
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 || peertest.Wait(t, sums) != want {
			t.Fatalf("request %d: status %d", i, resp.StatusCode)
		}
	}
	if len(rejected) == 0 {
		t.Error("the first server was never asked")
	}
}
