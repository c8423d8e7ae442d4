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

// What each kind of end shows of a server's health.
func TestHealthSignals(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancelLate()
	req := &request{route: &routetable.Compiled{TargetLatency: 300 * time.Millisecond}}
	broken, unsent := errors.Join(backend.ErrBroken), errors.Join(backend.ErrNotSent)
	for _, c := range []struct {
		name string
		ctx  context.Context
		took time.Duration
		err  error
		want healthSignal
	}{
		{"broken off", t.Context(), time.Second, broken, failure},
		{"not reached", t.Context(), time.Second, unsent, unreachable},
		{"no connection free", t.Context(), 0, backend.ErrNoConnection, noSignal},
		{"the client went", gone, time.Second, broken, noSignal},
		{"no answer in time", late, time.Second, broken, timeout},
		{"hardly any time", late, 299 * time.Millisecond, broken, noSignal},
	} {
		require.Equal(t, c.want, signalOfError(c.ctx, req, c.took, c.err), c.name)
	}
	full, free := serverLoad{running: 4, slots: 4}, serverLoad{running: 3, slots: 4}
	require.Equal(t, unreachable, signalOfRejection(http.StatusMisdirectedRequest, free, true))
	require.Equal(t, rejectedWithCapacity, signalOfRejection(http.StatusServiceUnavailable, free, true))
	require.Equal(t, noSignal, signalOfRejection(http.StatusServiceUnavailable, full, true))
	require.Equal(t, noSignal, signalOfRejection(http.StatusServiceUnavailable, free, false))
	require.Equal(t, success, signalOfAnswer(answered, http.StatusNotFound))
	require.Equal(t, failure, signalOfAnswer(answered, http.StatusInternalServerError))
	require.Equal(t, failure, signalOfAnswer(brokenMidStream, http.StatusOK))
	require.Equal(t, noSignal, signalOfAnswer(expired, http.StatusOK))
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

// The outcomes of attempts are reported to the home, and a server that it ejects gets no more requests.
func TestReportsAndEjections(t *testing.T) {
	r := newRig(t)
	requests := 0
	r.addServer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "id1")
		if requests++; requests%2 == 1 { // never so many consecutive errors that a cooldown begins
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	r.addServer(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "id1") })
	for range 6 {
		r.do("/unsafe/x")
	}
	report, ok := r.gateway.TakeOutcomeReport()
	require.True(t, ok)
	sent := map[string][2]uint16{}
	for i, id := range report.Servers {
		sent[id] = [2]uint16{report.Sent[i], report.Failed[i]}
	}
	require.Equal(t, uint16(6), sent["i0"][0]+sent["i1"][0])
	require.Equal(t, (sent["i0"][0]+1)/2, sent["i0"][1])
	require.Zero(t, sent["i1"][1])

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
	require.Greater(t, requests, before, "it is back")
}

// A server that accepts requests and does not answer is an error each time a request has waited for it until its
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
	answer, _, err := r.do("/unsafe/x", "X-Request-Deadline", "250")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.StatusCode)
	report, ok := r.gateway.TakeOutcomeReport()
	require.True(t, ok)
	require.Equal(t, outlier.Report{Servers: []string{"i0"}, Sent: []uint16{1}, Failed: []uint16{1}}, report)
}
