package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// What a tenant over its limit is granted goes to requests that can still meet their objective.
func TestLateTriesOfATenantOverItsLimitAreRefusedFirst(t *testing.T) {
	r := newRig(t)
	r.server(func(w http.ResponseWriter, _ *http.Request) {
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
	require.Equal(t, http.StatusTooManyRequests, status("3700"), "0.3 s of an objective of 0.2 s have passed")
	require.Equal(t, http.StatusOK, status("3900"))
	require.Equal(t, http.StatusOK, status("4000"))
}

func TestTheUsualDeadline(t *testing.T) {
	d := &recentTimes{}
	for range recentSamples - 1 {
		d.add(2000)
	}
	require.Zero(t, d.quantile(usualDeadline), "too little was seen")
	for range recentSamples {
		d.add(2000)
		d.add(2000)
		d.add(2000)
		d.add(1700)
		d.add(1700)
	}
	require.EqualValues(t, 2000, d.quantile(usualDeadline), "two of five tries are later ones")
	d.add(9000)
	require.EqualValues(t, 2000, d.quantile(usualDeadline), "and a few clients wait for long")
}
