package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// While a tenant is over its limit, a request that has already missed its latency target is rejected, and its units go to
// requests that can still meet theirs.
func TestLateAttemptsOfATenantOverItsLimitAreRejectedFirst(t *testing.T) {
	r := newRig(t)
	r.addServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "id1")
		io.WriteString(w, "answer")
	})
	status := func(deadline string) int {
		response, _, err := r.do("/safe/x", "X-Request-Deadline", deadline)
		require.NoError(t, err)
		return response.StatusCode
	}
	for range recentSamples {
		require.Equal(t, http.StatusOK, status("4000"))
	}
	require.Equal(t, http.StatusOK, status("3700"), "the tenant is within its limit")
	r.acquirer.empty.Store(true)
	require.Equal(t, http.StatusTooManyRequests, status("4000"))
	r.acquirer.empty.Store(false)
	require.Equal(t, http.StatusTooManyRequests, status("3700"), "0.3 s have passed, and the latency target is 0.2 s")
	require.Equal(t, http.StatusOK, status("3900"))
	require.Equal(t, http.StatusOK, status("4000"))
}

func TestTypicalTimeout(t *testing.T) {
	timeouts := &recentDurations{}
	for range recentSamples - 1 {
		timeouts.add(2000)
	}
	require.Zero(t, timeouts.typical(), "too few samples")
	for range recentSamples {
		timeouts.add(2000)
		timeouts.add(2000)
		timeouts.add(2000)
		timeouts.add(1700)
		timeouts.add(1700)
	}
	require.EqualValues(t, 2000, timeouts.typical(), "two of five attempts are retries")
	timeouts.add(9000)
	require.EqualValues(t, 2000, timeouts.typical(), "a single longer timeout does not change the value")
}
