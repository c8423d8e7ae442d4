package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShutdownSchedule(t *testing.T) {
	began := time.Now()
	schedule := newShutdownSchedule(began, 8*time.Second)
	require.Equal(t, time.Second, schedule.rejectLongAt.Sub(began))
	require.Equal(t, 3200*time.Millisecond, schedule.closeIdleAt.Sub(began), "two readiness probes, a second apart, have failed")
	require.Equal(t, 7500*time.Millisecond, schedule.forceCloseAt.Sub(began))
	shortSchedule := newShutdownSchedule(began, time.Second)
	require.Equal(t, 500*time.Millisecond, shortSchedule.closeIdleAt.Sub(began))
	require.Equal(t, 500*time.Millisecond, shortSchedule.forceCloseAt.Sub(began))
	require.Equal(t, began, newShutdownSchedule(began, 0).forceCloseAt)
}

// Idle connections are closed while a response is still in progress on another one: a request that came on them later
// might not be answered completely.
func TestIdleConnectionsAreClosedBeforeTheLastAnswerEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	working, answer := make(chan struct{}), make(chan struct{})
	front := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/work" {
			close(working)
			<-answer
		}
	})}
	go front.Serve(listener)
	request := func(path string) *bufio.Reader {
		t.Helper()
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		return bufio.NewReader(c)
	}
	idle := request("/rest")
	_, err = http.ReadResponse(idle, nil)
	require.NoError(t, err)
	busy := request("/work")
	<-working

	done := (&listeners{front: front}).shutdown(time.Now().Add(time.Minute))
	_, err = idle.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	select {
	case <-done:
		t.Fatal("a response is still in progress")
	default:
	}
	close(answer)
	_, err = http.ReadResponse(busy, nil)
	require.NoError(t, err)
	<-done
}

// After SIGTERM the router fails readiness probes at once, whatever connections are still open.
func TestReadinessEndsWithTheSignal(t *testing.T) {
	n := newNode(t, "")
	n.ready.Store(true)
	readinessCode := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, "/-/readiness", nil))
		return w.Code
	}
	require.Equal(t, http.StatusOK, readinessCode())
	n.shuttingDown.Store(true) // the first statement of gracefulShutdown
	require.Equal(t, http.StatusServiceUnavailable, readinessCode())
}
