package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/outlier"
	"petrelhook/internal/router/routetable"
)

// Each kind of outcome of an attempt gives the right signal about the server's health.
func TestHealthSignals(t *testing.T) {
	clientGone, cancel := context.WithCancel(t.Context())
	cancel()
	deadlinePassed, cancelLate := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancelLate()
	req := &request{route: &routetable.CompiledRoute{TargetLatency: 300 * time.Millisecond}}
	broken, unsent := errors.Join(backend.ErrBroken), errors.Join(backend.ErrNotSent)
	for _, c := range []struct {
		name string
		ctx  context.Context
		took time.Duration
		err  error
		want healthSignal
	}{
		{"broken connection", t.Context(), time.Second, broken, failure},
		{"server not reached", t.Context(), time.Second, unsent, unreachable},
		{"no connection free", t.Context(), 0, backend.ErrNoConnection, noSignal},
		{"client disconnected", clientGone, time.Second, broken, noSignal},
		{"no response in time", deadlinePassed, time.Second, broken, timeout},
		{"hardly any time for the server", deadlinePassed, 299 * time.Millisecond, broken, noSignal},
	} {
		require.Equal(t, c.want, signalOfError(c.ctx, req, c.took, c.err), c.name)
	}
	full, free := serverLoad{running: 4, slots: 4}, serverLoad{running: 3, slots: 4}
	require.Equal(t, unreachable, signalOfRejection(http.StatusMisdirectedRequest, free, true))
	require.Equal(t, rejectedWithCapacity, signalOfRejection(http.StatusServiceUnavailable, free, true))
	require.Equal(t, noSignal, signalOfRejection(http.StatusServiceUnavailable, full, true))
	require.Equal(t, noSignal, signalOfRejection(http.StatusServiceUnavailable, free, false))
	require.Equal(t, success, signalOfResponse(completed, http.StatusNotFound))
	require.Equal(t, failure, signalOfResponse(completed, http.StatusInternalServerError))
	require.Equal(t, failure, signalOfResponse(brokenMidStream, http.StatusOK))
	require.Equal(t, noSignal, signalOfResponse(abandoned, http.StatusOK))
}

func TestParseLoad(t *testing.T) {
	load, ok := parseLoad("3, 0,8")
	require.True(t, ok)
	require.Equal(t, serverLoad{running: 3, slots: 8}, load)
	for _, bad := range []string{"", "1,2", "a,0,8", "1,b,8", "1,0,8.5", "1,0,8,9"} {
		_, ok := parseLoad(bad)
		require.False(t, ok, bad)
	}
}

// The outcomes of attempts are reported to the home, and a server that the home ejects gets no requests until the ejection ends.
func TestReportsAndEjections(t *testing.T) {
	r := newRig(t)
	requests := 0
	r.addServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "id1")
		if requests++; requests%2 == 1 { // never enough consecutive errors for a cooldown
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	r.addServer(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "id1") })
	for range 6 {
		r.do("/unsafe/x")
	}
	report, ok := r.gateway.TakeOutcomeReport()
	require.True(t, ok)
	counts := map[string][2]uint16{}
	for i, id := range report.Servers {
		counts[id] = [2]uint16{report.Sent[i], report.Failed[i]}
	}
	require.Equal(t, uint16(6), counts["i0"][0]+counts["i1"][0])
	require.Equal(t, (counts["i0"][0]+1)/2, counts["i0"][1])
	require.Zero(t, counts["i1"][1])

	r.gateway.SetEjections([]outlier.Ejection{{Server: "i0"}, {Server: "unknown"}}, time.Hour)
	before := requests
	for range 20 {
		r.do("/unsafe/x")
	}
	require.Equal(t, before, requests)
	r.gateway.SetEjections(nil, time.Hour)
	for range 20 {
		r.do("/unsafe/x")
	}
	require.Greater(t, requests, before, "the server is used again after its ejection")
}

// A server that accepts requests but never answers is recorded as failed for each request that has waited for it until the
// deadline.
func TestAServerThatNeverAnswersIsRecorded(t *testing.T) {
	r := newRig(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c)
		}
	}()
	r.addAddress(listener.Addr().String())
	response, _, err := r.do("/unsafe/x", "X-Request-Deadline", "250")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	report, ok := r.gateway.TakeOutcomeReport()
	require.True(t, ok)
	require.Equal(t, outlier.Report{Servers: []string{"i0"}, Sent: []uint16{1}, Failed: []uint16{1}}, report)
}
