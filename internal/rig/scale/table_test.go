package scale

import (
	"strings"
	"testing"

	"petrelhook/internal/coordination/capacity"
)

func TestTable(t *testing.T) {
	m := &capacity.Measured{Machine: "8 processors", Commit: "c", Seed: 3, Findings: []string{"looks of 9: no"}}
	for run, v := range []float64{5_000_000, 1, 1_234_567} {
		m.Points = append(m.Points,
			capacity.Point{Workload: "w", Role: "leader", Metric: "a", Size: 10, Run: run + 1, Value: v},
			capacity.Point{Workload: "w", Role: "member", Metric: "b", Size: 10, Run: run + 1, Value: 0.25},
			capacity.Point{Workload: "w", Role: "leader", Metric: "c", Size: 20, Run: run + 1, Value: 2})
	}
	var b strings.Builder
	if err := WriteText(&b, m); err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(b.String()) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"8 processors; c; seed 3", "w, leader: 10 20", "a 1,234,567 -", "c - 2.00", "w, member: 10 20", "b 0.2500 -", "found: looks of 9: no"}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("%q", got)
	}
}
