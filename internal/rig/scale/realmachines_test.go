package scale

import (
	"strings"
	"testing"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/rehearse"
)

// The version in force at a real sidecar only grows: an older one is an error, a newer one is recorded once.
func TestInForceNeverGoesBack(t *testing.T) {
	m := &realMachines{all: []*realMachine{{name: "r00"}, {name: "r01"}}, changed: make(chan struct{})}
	for _, revision := range []distribute.Revision{0, 3, 3, 5} {
		m.observe(0, revision)
	}
	m.observe(1, 5)
	all, err := m.await(t.Context(), 5, 4)
	if err != nil || len(all) != 2 || all[0].Revision != 5 || all[0].Member != 0 || all[1].Member != 1 || len(m.all[0].adoptions) != 2 {
		t.Errorf("%v: %+v", err, all)
	}
	before := m.changed
	m.observe(1, 4)
	select {
	case <-before:
	default:
		t.Error("waiters were not notified")
	}
	if _, err := m.await(t.Context(), 9, 0); err == nil || err.Error() != "r01: revision 4 is in force after 5" {
		t.Error(err)
	}
}

// A run in which real sidecars broke a rule, or lost a request, has failed.
func TestJudge(t *testing.T) {
	calls := func(all ...audit.Result) (out rehearse.Outcome) {
		for _, r := range all {
			out.Records.Calls = append(out.Records.Calls, audit.Call{Result: r})
		}
		return out
	}
	broken := calls(audit.Served)
	broken.Audit.Breaches = []audit.Breach{{}}
	for want, out := range map[string]rehearse.Outcome{
		"":                                   calls(audit.Served, audit.Refused, audit.Failed),
		"rules were broken":                  broken,
		"of 2 calls of real sidecars 1 were": calls(audit.Served, audit.Lost),
		"0 were lost and 1 did not reach":    calls(audit.Unreached),
	} {
		if err := judge(&out); want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Calls count by the time for which they were scheduled, those that were served with their latency.
func TestLatencies(t *testing.T) {
	began := time.Now()
	v := &serving{began: began, operations: []load.Operation{
		{ScheduledAt: 0, Latency: time.Second, Result: audit.Served}, {ScheduledAt: time.Second, Latency: 3 * time.Second, Result: audit.Served},
		{ScheduledAt: 1500 * time.Millisecond, Latency: time.Second, Result: audit.Refused}, {ScheduledAt: 1900 * time.Millisecond, Latency: 2 * time.Second, Result: audit.Served},
		{ScheduledAt: 2 * time.Second, Latency: time.Second, Result: audit.Served},
	}}
	served, others := v.latencies(began.Add(time.Second), began.Add(2*time.Second))
	if len(served) != 2 || served[0] != 2 || served[1] != 3 || others != 1 {
		t.Errorf("%v, %d", served, others)
	}
}

// A hollow member whose median cost differs by a fifth from that of a real one is a finding.
func TestCompareCosts(t *testing.T) {
	var points []capacity.Point
	add := func(role, metric string, values ...float64) {
		for i, v := range values {
			points = append(points, capacity.Point{Workload: Publishing, Role: role, Metric: metric, Size: 250, Run: i + 1, Value: v})
		}
	}
	add("agent", "told_messages", 2, 2, 9)
	add("member", "told_messages", 1.5, 1.5, 1.6)
	add("agent", "told_cpu_us", 100)
	add("member", "told_cpu_us", 81)
	add("member", "told_bytes_in", 500) // not measured of real ones
	if got := compareCosts(points); len(got) != 1 || got[0] != "publish: told_messages of a hollow member is 1.5, and of a real agent 2" {
		t.Errorf("%q", got)
	}
}
