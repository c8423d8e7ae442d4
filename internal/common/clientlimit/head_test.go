package clientlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
)

// noLimits are the limits of a server without a configuration.
func noLimits() RequestLimits { return RequestLimits{} }

// startHeadServer starts a server that answers with the memory which is reserved while it handles a request, and with the length of the body.
func startHeadServer(t *testing.T, memory *Memory) (address string) {
	t.Helper()
	server := &http.Server{MaxHeaderBytes: 256 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, memory.Reserved(), " ", n)
	})}
	Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(NewListener(listener, unlimited, memory, noLimits)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// requireRefused waits for the response to a head for which there is no memory, and for the end of its connection.
func requireRefused(t *testing.T, in *bufio.Reader) {
	t.Helper()
	response, _ := peertest.ReadResponse(t, in)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	_, err := in.ReadByte()
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// dialHeadServer opens a connection and writes a text.
func dialHeadServer(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, in := peertest.Dial(t, address)
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
	return conn, in
}

// head returns the start of a request whose head has a field of so many bytes.
func head(fieldBytes, bodyBytes int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nX-Long: %s", bodyBytes, strings.Repeat("h", fieldBytes))
}

const endOfHead = "\r\n\r\n"

func TestLongHeadsThatArriveTogetherStayWithinTheMemory(t *testing.T) {
	const longHead = 100 << 10
	memory := NewMemory(400 << 10)
	address := startHeadServer(t, memory)
	first, in := dialHeadServer(t, address, head(longHead, 0))
	peertest.Eventually(t, "the first head is counted", func() bool { return memory.Reserved() >= memoryPerHeadByte*longHead-uncountedHeadMemory })
	for range 3 {
		_, rejected := dialHeadServer(t, address, head(2*longHead, 0))
		requireRefused(t, rejected)
		require.LessOrEqual(t, memory.Reserved(), memory.limit)
	}
	_, err := io.WriteString(first, endOfHead)
	require.NoError(t, err)
	response, body := peertest.ReadResponse(t, in)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NotEqual(t, "0 0", body, "the memory stays reserved while the request is handled")
	peertest.Eventually(t, "all memory is released", func() bool { return memory.Reserved() == 0 })
}

// A kept connection whose requests have long bodies reserves nothing for these, and its memory is counted anew for each head.
func TestBodiesAndEarlierRequestsAreNoPartOfAHead(t *testing.T) {
	const bodyBytes = 1 << 20
	memory := NewMemory(1) // byte
	conn, in := dialHeadServer(t, startHeadServer(t, memory), "")
	for range 20 {
		_, err := io.WriteString(conn, head(2<<10, bodyBytes)+endOfHead+strings.Repeat("b", bodyBytes))
		require.NoError(t, err)
		response, body := peertest.ReadResponse(t, in)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, fmt.Sprint("0 ", bodyBytes), body)
	}
	_, err := io.WriteString(conn, head(100<<10, 0))
	require.NoError(t, err)
	requireRefused(t, in) // a later head is counted too, and there is no memory
}

// net/http closes one direction of a connection whose request it has not read completely, so that no reset overtakes its response.
func TestOneDirectionOfACountedConnectionCanBeClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, in := peertest.Dial(t, listener.Addr().String())
	conn, err := NewListener(listener, unlimited, NewMemory(0), noLimits).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	closer, ok := conn.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, closer.CloseWrite())
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(client, "x")
	require.NoError(t, err)
	n, err := conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Equal(t, 1, n)
}
