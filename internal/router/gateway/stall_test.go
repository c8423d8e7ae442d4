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

// recordFirstEvents records that first events of a route usually take 10 ms.
func (r *rig) recordFirstEvents(route string) {
	r.gateway.mutex.Lock()
	defer r.gateway.mutex.Unlock()
	for range recentSamples {
		r.gateway.routeState(route).firstEvents.add(10 * time.Millisecond)
	}
}

// addStallingServers adds servers each of which sends an event and then nothing to a new request, and the remaining
// events to a resumed one.
func (r *rig) addStallingServers(n int) (begun, resumed *atomic.Int64) {
	begun, resumed = &atomic.Int64{}, &atomic.Int64{}
	for range n {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			io.Copy(io.Discard, got.Body) // otherwise the end of the connection is not noticed
			if got.Header.Get("Last-Event-Id") != "" {
				resumed.Add(1)
				events(w, 2, 4)
				return
			}
			begun.Add(1)
			events(w, 1, 1)
			<-got.Context().Done() // the router has left
		})
	}
	return begun, resumed
}

func TestAStreamThatStallsGoesOnAtAnotherServer(t *testing.T) {
	r := newRig(t)
	begun, resumed := r.addStallingServers(2)
	r.recordFirstEvents("paced")
	answer, body, err := r.do("/paced/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", body)
	require.EqualValues(t, 1, begun.Load())
	require.EqualValues(t, 1, resumed.Load())
	require.EqualValues(t, 1, r.gateway.Counters.Migrated.Load())
	require.Zero(t, r.gateway.Counters.Retried.Load(), "it is counted once")
}

// A server that stalls before the first event is left too; the client has no part of the answer then.
func TestAStreamThatDoesNotBegin(t *testing.T) {
	r := newRig(t)
	var requests atomic.Int64
	for range 2 {
		r.addServer(func(w http.ResponseWriter, got *http.Request) {
			io.Copy(io.Discard, got.Body)
			if requests.Add(1) == 1 {
				<-got.Context().Done()
				return
			}
			events(w, 1, 2)
		})
	}
	r.recordFirstEvents("paced")
	_, body, err := r.do("/paced/x")
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
}

// Where there is no other server, no attempt, no permit of the budget or no sample of the route, a stream stays at its
// server.
func TestAStreamThatStays(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		servers int
		usual   bool
		budget  bool
	}{
		"no other server":   {"/paced/x", 1, true, true},
		"no attempt":        {"/once/x", 2, true, true},
		"no budget":         {"/paced/x", 2, true, false},
		"no samples so far": {"/paced/x", 2, false, true},
		"no gap target":     {"/stream/x", 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			goOn := make(chan struct{})
			var requests atomic.Int64
			for range c.servers {
				r.addServer(func(w http.ResponseWriter, got *http.Request) {
					requests.Add(1)
					events(w, 1, 1)
					<-goOn
					events(w, 2, 2)
				})
			}
			if c.usual {
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
			time.AfterFunc(250*time.Millisecond, func() { close(goOn) }) // three times the gap target
			_, body, err := r.do(c.path)
			require.NoError(t, err)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			require.EqualValues(t, 1, requests.Load())
			require.Zero(t, r.gateway.Counters.Migrated.Load())
		})
	}
}

func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	require.Equal(t, 160*ms, patience(200*ms, 20*ms))
	require.Equal(t, 100*ms, patience(200*ms, 90*ms), "half of the gap target at the least")
}

// The outcomes of requests are counted by route, and those that missed their latency target are reported with their phases.
func TestMissedRequestsAreAccountedFor(t *testing.T) {
	r := newRig(t)
	missed := make(chan latency.Reason, 8)
	r.gateway.options.OnTargetMissed = func(route string, _ *latency.Trace, why latency.Reason) { missed <- latency.Reason(route) + " " + why }
	r.addServer(func(w http.ResponseWriter, got *http.Request) {
		events(w, 1, 1)
		if got.URL.Path == "/paced/slow" {
			<-time.After(120 * time.Millisecond)
		}
		events(w, 2, 2)
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

// A timer that fires as its attempt ends does not access the request: by then another goroutine uses it without the
// lock.
func TestAStoppedWatchLeavesTheRequestAlone(t *testing.T) {
	r := newRig(t)
	r.addStallingServers(2)
	r.recordFirstEvents("paced")
	req := &request{route: r.gateway.Table().Route("a.example", "/paced/x"), service: "s", times: requestTimes{received: time.Now()}, placement: placement.Request{Tried: map[string]bool{}}}
	cancelled := false
	w := r.gateway.watchStall(req, func(error) { cancelled = true })
	require.NotNil(t, w.timer)
	w.stop()
	w.onStall()
	require.False(t, req.attempts.retryAcquired)
	require.False(t, cancelled)
}
