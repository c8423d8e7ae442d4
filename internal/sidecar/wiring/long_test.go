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

// blob yields the same bytes at every call, however it is read.
func blob(size int64) io.Reader { return io.LimitReader(&counting{}, size) }

type counting struct{ n byte }

func (c *counting) Read(p []byte) (int, error) {
	for i := range p {
		c.n = c.n*5 + 1
		p[i] = c.n
	}
	return len(p), nil
}

func digest(r io.Reader) (sum string, size int64) {
	h := sha256.New()
	size, _ = io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil)), size
}

// longServer reads each body as it comes, and answers with a blob, framed as the request's path says.
func longServer(t *testing.T, got func(sum string, size int64)) (addr string) {
	t.Helper()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		sum, size := digest(req.Body)
		if req.Method == http.MethodPost {
			got(sum, size)
		}
		if req.URL.Query().Get("framing") == "length" {
			w.Header().Set("Content-Length", req.URL.Query().Get("size"))
		}
		var want int64
		fmt.Sscan(req.URL.Query().Get("size"), &want)
		io.Copy(w, io.LimitReader(blob(1<<40), want))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// Through a complete sidecar, bodies and responses of up to 32 MB arrive unchanged, in both framings and many at once.
func TestLongMessagesBothWays(t *testing.T) {
	const size = 32 << 20
	want, _ := digest(blob(size))
	var mu sync.Mutex
	bodies := 0
	r := newRigWithServers(t, longServer(t, func(sum string, n int64) {
		mu.Lock()
		defer mu.Unlock()
		if bodies++; sum != want || n != size {
			t.Errorf("a server got %d bytes, digest %s", n, sum)
		}
	}))
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() {
			chunked, framing := i%2 == 0, []string{"length", "chunks"}[i/2%2]
			req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/once?framing=%s&size=%d", r.addr, framing, size), blob(size))
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
	all.Wait()
	if bodies != 6 {
		t.Errorf("%d bodies", bodies)
	}
	peertest.Eventually(t, "the tables are empty", func() bool { return r.sidecar.core.Stats().Requests == 0 })
}

// A server that closes the connection before the last byte of a body has not executed the request. The body cannot be sent again: the
// request is refused, and executed nowhere.
func TestALongBodyWhoseServerGoes(t *testing.T) {
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

// Where a server rejects a request before its body has come, another server gets the complete body.
func TestALongBodyGoesToAnother(t *testing.T) {
	const size = 500_000
	want, _ := digest(blob(size))
	turned := make(chan struct{}, 10)
	full := peertest.NewRaw(t, func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil && req.Method == http.MethodPost {
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
			turned <- struct{}{}
		}
	})
	heads, sums := make(chan struct{}, 10), make(chan string, 10)
	well := peertest.NewRaw(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			heads <- struct{}{}
			sum, _ := digest(req.Body)
			sums <- sum
			io.WriteString(c, peertest.OKResponse)
		}
	})
	r := newRigWithServers(t, full, well)
	for i := range 6 { // one of the two in turn
		c, in := r.open()
		io.WriteString(c, strings.Replace(onceRequest(fmt.Sprint("t", i)), "Content-Length: 0", fmt.Sprint("Content-Length: ", size), 1))
		peertest.Wait(t, heads) // whoever turned it away has done so
		io.Copy(c, blob(size))
		if resp, _ := peertest.ReadResponse(t, in); resp.StatusCode != 200 || peertest.Wait(t, sums) != want {
			t.Fatalf("request %d: status %d", i, resp.StatusCode)
		}
	}
	if len(turned) == 0 {
		t.Error("the first server was never asked")
	}
}
