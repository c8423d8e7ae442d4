package wiring

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"petrelhook/internal/common/peertest"
)

// BenchmarkSmallRequest measures a request of the usual size through a complete sidecar, on a connection that stays open. The measurement
// includes the client and the server, which run in the same process.
func BenchmarkSmallRequest(b *testing.B) {
	addr := peertest.NewRaw(b, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, peertest.OKResponse)
		}
	})
	t := &testing.T{}
	r := newRigWithServers(t, addr)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	b.ReportAllocs()
	epoch := time.Now().UnixNano()
	for i := range b.N {
		fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %d-%d\r\nX-Qos: once\r\nX-Expires-In: 90m\r\nContent-Length: 212\r\n\r\n%212d", epoch, i, i)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	r.stop()
}
