package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that may outlast a draining router is rejected, with a promise, from rejectLongFrom on; the others are
// served.
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
	answer, _, err := r.do("/stream/x") // its deadline is 4 s away
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode, "the drain has just begun")
	require.True(t, answer.Close)

	r.gateway.Drain(now, now.Add(2*time.Second))
	answer, _, err = r.do("/stream/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "0.010", answer.Header.Get("Retry-After"))
	require.True(t, answer.Close)
	require.Equal(t, 1, ran)

	r.gateway.Drain(now, now.Add(time.Hour))
	answer, _, err = r.do("/unsafe/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode, "it ends in time")
}
