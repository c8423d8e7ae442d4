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

// What each kind of end says of a server.
func TestJudgements(t *testing.T) {
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancelLate()
	req := &request{route: &routetable.Compiled{Aim: 300 * time.Millisecond}}
	broken, unsent := errors.Join(backend.ErrBroken), errors.Join(backend.ErrNotSent)
	for _, c := range []struct {
		name string
		ctx  context.Context
		took time.Duration
		err  error
		want judgement
	}{
		{"broken off", t.Context(), time.Second, broken, erred},
		{"not reached", t.Context(), time.Second, unsent, unreachable},
		{"no connection free", t.Context(), 0, backend.ErrNoConnection, saysNothing},
		{"the client went", gone, time.Second, broken, saysNothing},
		{"no answer in time", late, time.Second, broken, timedOut},
		{"hardly any time", late, 299 * time.Millisecond, broken, saysNothing},
	} {
		require.Equal(t, c.want, judgeError(c.ctx, req, c.took, c.err), c.name)
	}
	full, free := serverLoad{running: 4, slots: 4}, serverLoad{running: 3, slots: 4}
	require.Equal(t, unreachable, judgeRefusal(http.StatusMisdirectedRequest, free, true))
	require.Equal(t, refusedWork, judgeRefusal(http.StatusServiceUnavailable, free, true))
	require.Equal(t, saysNothing, judgeRefusal(http.StatusServiceUnavailable, full, true))
	require.Equal(t, saysNothing, judgeRefusal(http.StatusServiceUnavailable, free, false))
	require.Equal(t, succeeded, judgeAnswer(answered, http.StatusNotFound))
	require.Equal(t, erred, judgeAnswer(answered, http.StatusInternalServerError))
	require.Equal(t, erred, judgeAnswer(cutMidStream, http.StatusOK))
	require.Equal(t, saysNothing, judgeAnswer(expired, http.StatusOK))
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

// Ends of sends are counted for the home, and a server that the home ejects gets no more requests.
func TestReportsAndEjections(t *testing.T) {
	r := newRig(t)
	asked := 0
	r.server(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Request-Id", "id1")
		if asked++; asked%2 == 1 { // never so often in a row that it rests
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	r.server(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "id1") })
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
	before := asked
	for range 20 {
		r.do("/unsafe/x")
	}
	require.Equal(t, before, asked)
	r.gateway.SetEjections(nil, time.Hour)
	for range 20 {
		r.do("/unsafe/x")
	}
	require.Greater(t, asked, before, "it is back")
}

// A server that takes requests and says nothing is an error each time a request has waited for it to its end.
func TestAMuteServerIsNoted(t *testing.T) {
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
	r.add(listener.Addr().String())
	answer, _, err := r.do("/unsafe/x", "X-Request-Deadline", "250")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, answer.StatusCode)
	report, ok := r.gateway.TakeOutcomeReport()
	require.True(t, ok)
	require.Equal(t, outlier.Report{Servers: []string{"i0"}, Sent: []uint16{1}, Failed: []uint16{1}}, report)
}
