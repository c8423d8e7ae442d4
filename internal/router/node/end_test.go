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
	usual := newShutdownSchedule(began, 8*time.Second)
	require.Equal(t, time.Second, usual.longUntil.Sub(began))
	require.Equal(t, 3200*time.Millisecond, usual.closeIdle.Sub(began), "two checks of readiness, a second apart, have failed")
	require.Equal(t, 7500*time.Millisecond, usual.forceClose.Sub(began))
	short := newShutdownSchedule(began, time.Second)
	require.Equal(t, 500*time.Millisecond, short.closeIdle.Sub(began))
	require.Equal(t, 500*time.Millisecond, short.forceClose.Sub(began))
	require.Equal(t, began, newShutdownSchedule(began, 0).forceClose)
}

// While an answer is still in progress, idle connections are closed: a request that came on them might not be answered
// completely any more.
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
		t.Fatal("an answer is still in progress")
	default:
	}
	close(answer)
	_, err = http.ReadResponse(busy, nil)
	require.NoError(t, err)
	<-done
}

// From SIGTERM on the router answers that it is not ready, whatever is still open.
func TestReadinessEndsWithTheSignal(t *testing.T) {
	n := newNode(t, "")
	n.ready.Store(true)
	readiness := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, "/-/readiness", nil))
		return w.Code
	}
	require.Equal(t, http.StatusOK, readiness())
	n.ending.Store(true) // the first thing that end does
	require.Equal(t, http.StatusServiceUnavailable, readiness())
}
