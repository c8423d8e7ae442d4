package capacity

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// measured is a run in which a primary spends 1,000 us/s and 100 for each sidecar, and 10 more for each draw.
func measuredRouters() *Measured {
	m := &Measured{FitUpTo: 400, Machine: "a test"}
	for _, size := range []int{60, 120, 240, 400, 630} {
		for run := 1; run <= 3; run++ {
			base := 1000 + 100*float64(size)
			m.Points = append(m.Points,
				Point{Workload: "heartbeats", Role: "primary", Metric: "cpu_us_s", Size: size, Run: run, Value: base},
				Point{Workload: "quota draws", Role: "primary", Metric: "cpu_us_s", Size: size, Run: run, Value: base + 10*5*float64(size)},
				Point{Workload: "heartbeats", Role: "sidecar", Metric: "bytes_out_s", Size: size, Run: run, Value: 38_000})
		}
	}
	return m
}

func find(rows []RouterRow, role, resource string) RouterRow {
	for _, r := range rows {
		if r.Role == role && strings.HasPrefix(r.Resource, resource) {
			return r
		}
	}
	return RouterRow{}
}

func TestRouterRows(t *testing.T) {
	rows := RouterRows(measuredRouters(), Router)
	heartbeats := find(rows, "primary", "processor, with servers")
	require.InDelta(t, 64_000, heartbeats.Value, 1)
	require.True(t, heartbeats.Line.Believed)
	require.Equal(t, "fits, 15.6 times", heartbeats.Verdict)
	require.Equal(t, "does not fit, by 2.0 times", find(rows, "sidecar", "bytes out").Verdict)
	require.InDelta(t, 64_000+710_000, find(rows, "primary", "processor, where each").Value, 10)
	require.Equal(t, "not measured", find(rows, "sidecar", "memory").Verdict)
}

// A line that missed what was seen at the size it was not fitted on speaks for nothing.
func TestALineThatMissedItsCheck(t *testing.T) {
	m := measuredRouters()
	for i := range m.Points {
		if m.Points[i].Size == 630 && m.Points[i].Role == "primary" {
			m.Points[i].Value *= 2
		}
	}
	row := find(RouterRows(m, Router), "primary", "processor, with servers")
	require.Equal(t, routerNotBelieved, row.Verdict)
}

func TestRouterPage(t *testing.T) {
	_, err := RouterPage("no marks", measuredRouters(), Router)
	require.ErrorContains(t, err, "marks")
	page, err := RouterPage("before\n"+routerBegin+"old\n"+routerEnd+"\nafter\n", measuredRouters(), Router)
	require.NoError(t, err)
	require.Contains(t, page, "before\n")
	require.Contains(t, page, "| primary |")
	require.NotContains(t, page, "old")
	again, err := RouterPage(page, measuredRouters(), Router)
	require.NoError(t, err)
	require.Equal(t, page, again)
}
