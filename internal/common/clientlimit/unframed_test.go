package clientlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/common/sock"
)

// Guards against a response without length that breaks off while a part of it is on its way, and then ends like a complete one.
func TestAnUnframedResponseThatIsStillOnItsWayIsReset(t *testing.T) {
	for name, complete := range map[string]bool{"broken": false, "complete": true} {
		t.Run(name, func(t *testing.T) {
			const bufferBytes, responseBytes = 256 << 10, 64 << 10 // less than the server's, more than the client's
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			sock.SetBuffers(inner, bufferBytes)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				markComplete := Unframed(r.Context())
				_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
				if !complete {
					panic(http.ErrAbortHandler)
				}
				markComplete()
			})}
			Attach(server)
			closed := make(chan struct{})
			attached := server.ConnState
			server.ConnState = func(conn net.Conn, state http.ConnState) {
				attached(conn, state)
				if state == http.StateClosed {
					close(closed)
				}
			}
			go func() { _ = server.Serve(NewListener(inner, 8, NewMemory(0), noLimits)) }()
			t.Cleanup(func() { _ = server.Close() })

			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			}}
			conn, err := dialer.Dial("tcp", inner.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			require.NoError(t, err)
			peertest.Wait(t, closed)
			received, err := io.ReadAll(conn)
			require.Equal(t, complete, err == nil, "%v after %d bytes", err, len(received))
		})
	}
}
