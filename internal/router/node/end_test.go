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

func TestScheduleOfAnEnd(t *testing.T) {
	began := time.Now()
	usual := newSchedule(began, 8*time.Second)
	require.Equal(t, time.Second, usual.longUntil.Sub(began))
	require.Equal(t, 3200*time.Millisecond, usual.closed.Sub(began), "two misses of readiness, a second apart, have passed")
	require.Equal(t, 7500*time.Millisecond, usual.by.Sub(began))
	short := newSchedule(began, time.Second)
	require.Equal(t, 500*time.Millisecond, short.closed.Sub(began))
	require.Equal(t, 500*time.Millisecond, short.by.Sub(began))
	require.Equal(t, began, newSchedule(began, 0).by)
}

// While an answer is still on its way, connections that rest are closed: what came on them might not be answered whole any more.
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
	request := func(path string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
	_, resting := request("/rest")
	_, err = http.ReadResponse(resting, nil)
	require.NoError(t, err)
	_, busy := request("/work")
	<-working

	done := (&servers{front: front}).shutdown(time.Now().Add(time.Minute))
	_, err = resting.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	select {
	case <-done:
		t.Fatal("an answer is still on its way")
	default:
	}
	close(answer)
	_, err = http.ReadResponse(busy, nil)
	require.NoError(t, err)
	<-done
}

// From SIGTERM on the platform is told that this sidecar is not ready, whatever is open still.
func TestReadinessEndsWithTheSignal(t *testing.T) {
	n := newNode(t, "")
	n.ready.Store(true)
	ask := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, httptest.NewRequest(http.MethodGet, "/-/readiness", nil))
		return w.Code
	}
	require.Equal(t, http.StatusOK, ask())
	n.ending.Store(true) // the first that end does
	require.Equal(t, http.StatusServiceUnavailable, ask())
}
