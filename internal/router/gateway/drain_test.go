package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// From rejectLongFrom on, a draining router rejects a request that may still be in progress at its deadline, and serves the
// others.
func TestWhatMayOutlastADrainIsRejected(t *testing.T) {
	r := newRig(t)
	ran := 0
	r.addServer(func(w http.ResponseWriter, got *http.Request) {
		ran++
		w.Header().Set("X-Request-Id", "id1")
		io.WriteString(w, "answer")
	})
	now := time.Now()
	r.gateway.Drain(now.Add(time.Hour), now.Add(2*time.Second))
	response, _, err := r.do("/stream/x") // its deadline is in 4 s
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "rejectLongFrom has not been reached")
	require.True(t, response.Close)

	r.gateway.Drain(now, now.Add(2*time.Second))
	response, _, err = r.do("/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0.010", response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	require.Equal(t, 1, ran)

	r.gateway.Drain(now, now.Add(time.Hour))
	response, _, err = r.do("/unsafe/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "the request ends before the drain does")
}
