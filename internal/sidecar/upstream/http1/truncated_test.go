package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/upstream"
)

// A response that is truncated at any byte, by a close or a reset of the connection, is not served. A response without a length
// ends only with a close: after a reset it is not served, even if all of it has arrived.
func TestAnswersTruncatedAtEachByte(t *testing.T) {
	for name, text := range map[string]string{
		"a length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello",
		"HTTP/1.0":  "HTTP/1.0 200 OK\r\n\r\nhello",
		"interim":   "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				cuts := make(chan int, 1)
				p := peertest.NewPeer(t, func(c net.Conn, _ *http.Request, _ string) bool {
					c.Write([]byte(text)[:<-cuts])
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				withoutLength := name == "no length" || name == "HTTP/1.0"
				body := len(text) - len("hello") // where the body of a response without a length starts
				pool := testPool(4)
				for cut := range len(text) + 1 {
					cuts <- cut
					got := pool.endpointAt(p.Addr).Send(context.Background(), newCall())
					complete := cut == len(text) && !reset || withoutLength && !reset && cut >= body
					if served := got.Result == upstream.Served; served && !complete || !served && complete && cut == len(text) {
						if !reset || cut != len(text) || withoutLength { // otherwise the response was complete before the reset
							t.Errorf("%d of %d bytes: %v, %v", cut, len(text), got.Result, got.Err)
						}
					}
					if cut < len(text) && got.Result.NeverRan() {
						t.Errorf("%d of %d bytes: %v, though it may have been executed", cut, len(text), got.Result)
					}
				}
			})
		}
	}
}

// The kernel ends the connections of a killed server as the server would: a response without length looked complete.
func TestAResponseOfAKilledServerIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		killed, announced, full bool
		result                  upstream.Result
	}{
		"killed":                      {true, false, false, upstream.Reset},
		"left":                        {true, true, false, upstream.Served},
		"there":                       {false, false, false, upstream.Served},
		"there, ends new connections": {false, false, true, upstream.Served},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			e := testPool(1).endpointAt(listener.Addr().String())
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					t.Error(err)
				}
				if c.announced {
					e.Update("", false)
				}
				if c.killed {
					listener.Close()
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello")
				conn.Close()
				for c.full {
					refused, err := listener.Accept()
					if err != nil {
						return
					}
					refused.Close()
				}
			}()
			if got := e.Send(context.Background(), newCall()); got.Result != c.result {
				t.Errorf("%v, %v", got.Result, got.Err)
			}
		})
	}
}

// wrappedEnd is a connection whose end is reported as an error that wraps io.EOF.
type wrappedEnd struct{ net.Conn }

func (c wrappedEnd) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("cut short: %w", err)
	}
	return n, err
}

// A response without a length is complete only if its body ends with io.EOF itself. An error that wraps io.EOF means that it was
// truncated.
func TestWrappedEOFInResponse(t *testing.T) {
	addr := server(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhi")
		}
	})
	for wrapped, want := range map[bool]upstream.Result{false: upstream.Served, true: upstream.Reset} {
		pool := testPool(9)
		dial := pool.dial
		pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if wrapped && err == nil {
				c = wrappedEnd{c}
			}
			return c, err
		}
		if r := pool.endpointAt(addr).Send(t.Context(), newCall()); r.Result != want {
			t.Errorf("wrapped %v: %v (%v), want %v", wrapped, r.Result, r.Err, want)
		}
	}
}
