package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// net/http recovers the panic of a request: the requests after it must not wait for a lock that it held.
func TestAPanicInARequestStopsNoOtherRequest(t *testing.T) {
	r := newRig(t)
	for range 2 {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			w.Header().Set("X-Request-Id", got.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Load", "1/0/4")
		})
	}
	now := r.gateway.options.Now
	var untilPanic atomic.Int64
	r.gateway.options.Now = func() time.Duration {
		if untilPanic.Add(-1) == 0 {
			panic("injected")
		}
		return now()
	}
	client := &http.Client{Timeout: 10 * time.Second}
	panics := 0
	for call := int64(1); ; call++ {
		untilPanic.Store(call)
		response, err := client.Do(r.newRequest("/safe/"))
		if err == nil {
			require.NoError(t, response.Body.Close())
		}
		if untilPanic.Load() > 0 {
			break // the request made fewer calls
		}
		panics++
		response, err = client.Do(r.newRequest("/safe/"))
		require.NoError(t, err, "after a panic in call %d", call)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Greater(t, panics, 4)
}
