package latency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func TestReasons(t *testing.T) {
	for _, test := range []struct {
		trace Trace
		want  Reason
	}{
		{Trace{TimeToFirstByte: 200 * ms}, InTime},
		{Trace{TimeToFirstByte: 251 * ms, PhaseTimes: [phaseCount]time.Duration{Quota: 120 * ms, Server: 90 * ms}}, "late_quota"},
		{Trace{TimeToFirstByte: 251 * ms, PhaseTimes: [phaseCount]time.Duration{Rerouted: 90 * ms, Server: 120 * ms}}, "late_server"},
		{Trace{TimeToFirstByte: 251 * ms}, "late_server"},
		{Trace{TimeToFirstByte: 20 * ms, MaxGap: 201 * ms}, LateGap},
		{Trace{TimeToFirstByte: 20 * ms, MaxGap: 201 * ms, FailureReason: LostBroken}, LostBroken},
	} {
		require.Equal(t, test.want, test.trace.Reason(250*ms, 200*ms), "%+v", test.trace)
	}
	require.Equal(t, InTime, (&Trace{TimeToFirstByte: time.Hour, MaxGap: time.Hour}).Reason(0, 0), "a request without targets is never late")
}

func TestReports(t *testing.T) {
	totals := NewTotals()
	for i := range 100 {
		totals.Add("b", &Trace{TimeToFirstByte: time.Duration(i+1) * ms, PhaseTimes: [phaseCount]time.Duration{Server: time.Duration(i+1) * ms}}, InTime)
	}
	totals.Add("a", &Trace{}, RefusedLimit)
	reports := totals.Reports()
	require.Len(t, reports, 2)
	require.Equal(t, map[Reason]int64{RefusedLimit: 1}, reports[0].Reasons)
	require.Zero(t, reports[0].TimeToFirstByte.Count)
	require.InDelta(t, 50, reports[1].TimeToFirstByte.P50, 5)
	require.InDelta(t, 99, reports[1].PhaseTimes["server"].P99, 8)
	require.NotContains(t, reports[1].PhaseTimes, "quota")
}

func TestRoutesAreBounded(t *testing.T) {
	totals := NewTotals()
	for i := range 10 * maxRoutes {
		totals.Add(fmt.Sprint(i), &Trace{TimeToFirstByte: time.Hour}, InTime)
	}
	reports := totals.Reports()
	require.Len(t, reports, maxRoutes+1)
	require.EqualValues(t, 9*maxRoutes, reports[0].Reasons[InTime])
}
