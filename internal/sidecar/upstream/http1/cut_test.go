package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/upstream"
)

// An answer that is cut at any byte, by an end or by a reset, is not served. A reset is no end: also where an answer says no length,
// and all of it has come.
func TestAnswersCutAtEachByte(t *testing.T) {
	for name, text := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\n\r\nhello",
		"interim":   "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				at := make(chan int, 1)
				p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
					c.Write([]byte(text)[:<-at])
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				bare := name == "no length" || name == "HTTP/1.0"
				body := len(text) - len("hello") // of a bare answer
				u := testPool(4)
				for cut := range len(text) + 1 {
					at <- cut
					got := u.at(p.Addr).Send(context.Background(), look())
					whole := cut == len(text) && !reset || bare && !reset && cut >= body
					if served := got.Result == upstream.Served; served && !whole || !served && whole && cut == len(text) {
						if !(reset && cut == len(text) && !bare) { // whole by its own word before the reset
							t.Errorf("%d of %d bytes: %v, %v", cut, len(text), got.Result, got.Err)
						}
					}
					if cut < len(text) && got.Result.NeverRan() {
						t.Errorf("%d of %d bytes: %v, though it may have run", cut, len(text), got.Result)
					}
				}
			})
		}
	}
}
