package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/peertest"
)

// startUpload sends the head of an upload and the beginning of its body.
func (r *rig) startUpload(head, bodyStart string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	_, err = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\n%s\r\n\r\n%s", head, bodyStart)
	require.NoError(r.t, err)
	return conn
}

func (r *rig) waitReserved(bytes int64) {
	r.t.Helper()
	peertest.Eventually(r.t, fmt.Sprint(bytes, " bytes are reserved"), func() bool { return r.gateway.options.Memory.Reserved() == bytes })
}

// limitMemory limits the memory of requests that begin from now on.
func (r *rig) limitMemory(bytes int64) { r.gateway.options.Memory = clientlimit.NewMemory(bytes) }

func TestBodiesThatAreBeingReadCountAgainstTheMemoryLimit(t *testing.T) {
	for name, c := range map[string]struct {
		head, bodyStart string
		reserved        int64
	}{
		"a known length":    {"Content-Length: 900", "x", 900},
		"an unknown length": {"Transfer-Encoding: chunked", "1\r\nx\r\n", 512},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addServer(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "id1") })
			r.limitMemory(c.reserved + 3)
			upload := r.startUpload(c.head, c.bodyStart)
			r.waitReserved(c.reserved)
			response, text, _ := r.do("/safe/") // 4 bytes
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Contains(t, text, "no memory")
			require.NoError(t, upload.Close())
			r.waitReserved(0)
			response, _, _ = r.do("/safe/")
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// responseBytes is the size of a response for which the memory of these tests does not suffice.
const responseBytes = 100_000

// addLargeServer adds a server that announces a response of responseBytes and sends a part of it. It returns the number of its calls.
func (r *rig) addLargeServer(sent int) *atomic.Int64 {
	var calls atomic.Int64
	r.addServer(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("X-Request-Id", "id1")
		w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", sent)) // the client may have disconnected
	})
	return &calls
}

func TestAResponseForWhichNoMemoryIsLeftIsPassedOn(t *testing.T) {
	r := newRig(t)
	r.addLargeServer(responseBytes)
	r.limitMemory(2000)
	response, text, err := r.do("/unsafe/")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, text, responseBytes)
	r.waitReserved(0)
}

// Guards against a server that counts as failed because this router has no memory for its events.
func TestAnEventForWhichNoMemoryIsLeftIsNoFailureOfItsServer(t *testing.T) {
	r := newRig(t)
	r.addScriptedServers(script{{Text: numbered(1, 1) + "id: 2\ndata: " + strings.Repeat("x", responseBytes) + "\n\n"}})
	r.limitMemory(2000)
	_, text, err := r.do("/once/")
	require.Error(t, err)
	require.Equal(t, numbered(1, 1), text)
	_, reported := r.gateway.TakeOutcomeReport()
	require.False(t, reported)
}

func TestATruncatedResponseThatIsPassedOnLooksTruncated(t *testing.T) {
	r := newRig(t)
	calls := r.addLargeServer(responseBytes / 2)
	otherCalls := r.addLargeServer(responseBytes / 2)
	r.limitMemory(2000)
	_, _, err := r.do("/safe/")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, int64(1), calls.Load()+otherCalls.Load(), "no other server can complete it")
	r.waitReserved(0)
}
