package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
)

// recordFirstEvents fills the samples of a route, so that its typical time to the first event is 10 ms.
func (r *rig) recordFirstEvents(route string) {
	r.gateway.mutex.Lock()
	defer r.gateway.mutex.Unlock()
	for range recentSamples {
		r.gateway.routeState(route).firstEvents.add(10 * time.Millisecond)
	}
}

// addStallingServers adds servers that answer a new request by one event and then stall, and a resumed one by the remaining
// events. It returns the number of requests of each kind.
func (r *rig) addStallingServers(n int) (started, resumed *atomic.Int64) {
	started, resumed = &atomic.Int64{}, &atomic.Int64{}
	for range n {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			io.Copy(io.Discard, got.Body) // net/http detects that the connection was closed only once the body is read
			if got.Header.Get("Last-Event-Id") != "" {
				resumed.Add(1)
				writeEvents(w, 2, 4)
				return
			}
			started.Add(1)
			writeEvents(w, 1, 1)
			<-got.Context().Done() // until the router closes the connection
		})
	}
	return started, resumed
}

func TestStalledStreamIsMigrated(t *testing.T) {
	r := newRig(t)
	started, resumed := r.addStallingServers(2)
	r.recordFirstEvents("paced")
	response, body, err := r.do("/paced/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", body)
	require.EqualValues(t, 1, started.Load())
	require.EqualValues(t, 1, resumed.Load())
	require.EqualValues(t, 1, r.gateway.Counters.Migrated.Load())
	require.Zero(t, r.gateway.Counters.Retried.Load(), "a migration is not counted as a retry too")
}

// A stream also migrates if it stalls before its first event, when the client has no part of the response yet.
func TestStreamThatStallsBeforeItsFirstEventIsMigrated(t *testing.T) {
	r := newRig(t)
	var requests atomic.Int64
	for range 2 {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			io.Copy(io.Discard, got.Body)
			if requests.Add(1) == 1 {
				<-got.Context().Done()
				return
			}
			writeEvents(w, 1, 2)
		})
	}
	r.recordFirstEvents("paced")
	_, body, err := r.do("/paced/x")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
}

// A stalled stream stays at its server if there is no other server, no attempt left, no permit of the retry budget, no sample of
// the route, or no gap target.
func TestStalledStreamIsNotMigrated(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		servers int
		samples bool
		budget  bool
	}{
		"no other server": {"/paced/x", 1, true, true},
		"no attempt left": {"/once/x", 2, true, true},
		"no retry budget": {"/paced/x", 2, true, false},
		"no samples":      {"/paced/x", 2, false, true},
		"no gap target":   {"/stream/x", 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			resume := make(chan struct{})
			var requests atomic.Int64
			for range c.servers {
				r.addServer(func(w http.ResponseWriter, got *http.Request) {
					requests.Add(1)
					writeEvents(w, 1, 1)
					<-resume
					writeEvents(w, 2, 2)
				})
			}
			if c.samples {
				for _, route := range []string{"paced", "once", "stream"} {
					r.recordFirstEvents(route)
				}
			}
			if !c.budget {
				r.gateway.mutex.Lock()
				for r.gateway.retryBudget.AcquireRetry("s", r.gateway.options.Now()) {
				}
				r.gateway.mutex.Unlock()
			}
			time.AfterFunc(250*time.Millisecond, func() { close(resume) }) // three times the gap target
			_, body, err := r.do(c.path)
			require.NoError(t, err)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			require.EqualValues(t, 1, requests.Load())
			require.Zero(t, r.gateway.Counters.Migrated.Load())
		})
	}
}

func TestStallTimeout(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 160*ms, stallTimeout(200*ms, 20*ms))
	require.Equal(t, 100*ms, stallTimeout(200*ms, 90*ms), "at least half of the target")
}

// The outcomes of requests are counted by route, and a request that missed its latency target is reported.
func TestMissedTargetsAreReported(t *testing.T) {
	r := newRig(t)
	missed := make(chan latency.Reason, 8)
	r.gateway.options.OnTargetMissed = func(route string, _ *latency.Trace, reason latency.Reason) {
		missed <- latency.Reason(route) + " " + reason
	}
	r.addServer(func(w http.ResponseWriter, got *http.Request) {
		writeEvents(w, 1, 1)
		if got.URL.Path == "/paced/slow" {
			<-time.After(120 * time.Millisecond)
		}
		writeEvents(w, 2, 2)
	})
	_, _, err := r.do("/paced/slow")
	require.NoError(t, err)
	require.EqualValues(t, "paced late_pause", <-missed)
	r.acquirer.empty.Store(true)
	r.do("/stream/x")
	require.EqualValues(t, "stream refused_limit", <-missed)
	r.acquirer.empty.Store(false)
	reports := r.gateway.LatencyReports()
	require.Len(t, reports, 2)
	require.Equal(t, "paced", reports[0].Route)
	require.EqualValues(t, 1, reports[0].Reasons[latency.LateGap])
	require.EqualValues(t, 1, reports[1].Reasons[latency.RefusedLimit])
	require.EqualValues(t, 1, reports[0].TimeToFirstByte.Count)
	require.Empty(t, missed)
}

// A timer that fires as its attempt ends must not access the request, which another goroutine uses without the lock by then.
func TestStoppedWatchdogDoesNotAccessTheRequest(t *testing.T) {
	r := newRig(t)
	r.addStallingServers(2)
	r.recordFirstEvents("paced")
	req := &request{route: r.gateway.Table().Route("a.example", "/paced/x"), service: "s", times: requestTimes{received: time.Now()}, placement: placement.Request{Tried: map[string]bool{}}}
	cancelled := false
	watchdog := r.gateway.startStallWatchdog(req, func(error) { cancelled = true })
	require.NotNil(t, watchdog.timer)
	watchdog.stop()
	watchdog.onStall()
	require.False(t, req.attempts.retryAcquired)
	require.False(t, cancelled)
}
