package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// The units of a tenant over its limit go to requests that can still meet their latency target.
func TestLateAttemptsOfATenantOverItsLimitAreRejectedFirst(t *testing.T) {
	r := newRig(t)
	r.addServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "id1")
		io.WriteString(w, "answer")
	})
	status := func(deadline string) int {
		answer, _, err := r.do("/safe/x", "X-Request-Deadline", deadline)
		require.NoError(t, err)
		return answer.StatusCode
	}
	for range recentSamples {
		require.Equal(t, http.StatusOK, status("4000"))
	}
	require.Equal(t, http.StatusOK, status("3700"), "the tenant is within its limit")
	r.acquirer.empty.Store(true)
	require.Equal(t, http.StatusTooManyRequests, status("4000"))
	r.acquirer.empty.Store(false)
	require.Equal(t, http.StatusTooManyRequests, status("3700"), "0.3 s of a latency target of 0.2 s have passed")
	require.Equal(t, http.StatusOK, status("3900"))
	require.Equal(t, http.StatusOK, status("4000"))
}

func TestTheUsualDeadline(t *testing.T) {
	d := &recentTimes{}
	for range recentSamples - 1 {
		d.add(2000)
	}
	require.Zero(t, d.usual(), "too few samples")
	for range recentSamples {
		d.add(2000)
		d.add(2000)
		d.add(2000)
		d.add(1700)
		d.add(1700)
	}
	require.EqualValues(t, 2000, d.usual(), "two of five attempts are later ones")
	d.add(9000)
	require.EqualValues(t, 2000, d.usual(), "and a few clients wait for long")
}
