package latency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestReasons(t *testing.T) {
	for _, c := range []struct {
		trace Trace
		want  Reason
	}{
		{Trace{First: 200 * ms}, InTime},
		{Trace{First: 251 * ms, Spent: [phases]time.Duration{Quota: 120 * ms, Server: 90 * ms}}, "late_quota"},
		{Trace{First: 251 * ms, Spent: [phases]time.Duration{Rerouted: 90 * ms, Server: 120 * ms}}, "late_server"},
		{Trace{First: 251 * ms}, "late_server"},
		{Trace{First: 20 * ms, Pause: 201 * ms}, LatePause},
		{Trace{First: 20 * ms, Pause: 201 * ms, Ended: LostBroken}, LostBroken},
	} {
		require.Equal(t, c.want, c.trace.Reason(250*ms, 200*ms), "%+v", c.trace)
	}
	require.Equal(t, InTime, (&Trace{First: time.Hour, Pause: time.Hour}).Reason(0, 0), "without objectives nothing is late")
}

func TestReports(t *testing.T) {
	totals := NewTotals()
	for i := range 100 {
		totals.Note("b", &Trace{First: time.Duration(i+1) * ms, Spent: [phases]time.Duration{Server: time.Duration(i+1) * ms}}, InTime)
	}
	totals.Note("a", &Trace{}, RefusedLimit)
	reports := totals.Reports()
	require.Len(t, reports, 2)
	require.Equal(t, map[Reason]int64{RefusedLimit: 1}, reports[0].Reasons)
	require.Zero(t, reports[0].First.Count)
	require.InDelta(t, 50, reports[1].First.P50, 5)
	require.InDelta(t, 99, reports[1].Spent["server"].P99, 8)
	require.NotContains(t, reports[1].Spent, "quota")
}

func TestRoutesAreBounded(t *testing.T) {
	totals := NewTotals()
	for i := range 10 * maxRoutes {
		totals.Note(fmt.Sprint(i), &Trace{First: time.Hour}, InTime)
	}
	reports := totals.Reports()
	require.Len(t, reports, maxRoutes+1)
	require.EqualValues(t, 9*maxRoutes, reports[0].Reasons[InTime])
}
