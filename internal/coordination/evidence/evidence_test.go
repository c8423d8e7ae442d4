package evidence

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// simulatedFleet holds the counts of simulated sidecars in a change. Its maps are by sidecar.
type simulatedFleet struct {
	change     *rollout.Change
	evidence   Evidence
	counts     map[string]*counts.Class
	startTicks map[string]uint64
	cpuTicks   map[string]uint64
	grownBytes map[string]uint64
	attempts   map[string]uint64 // nil: this version does not report its use of servers
}

func (fleet *simulatedFleet) serverUse(name string) *counts.ServerUse {
	if fleet.attempts == nil {
		return nil
	}
	return &counts.ServerUse{Attempts: fleet.attempts[name], Connections: 7, HealthChecks: 7}
}

// newSimulatedFleet returns a change in its first stage, all of whose orders are completed.
func newSimulatedFleet(t *testing.T, first rollout.Stage) *simulatedFleet {
	var members []rollout.Member
	var now []rollout.Report
	fleet := &simulatedFleet{counts: map[string]*counts.Class{}, startTicks: map[string]uint64{}, cpuTicks: map[string]uint64{}, grownBytes: map[string]uint64{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		members = append(members, rollout.Member{Name: name, Zone: string(rune('a' + i%2))})
		now = append(now, rollout.Report{Sidecar: name, Release: "old", Ready: true})
		fleet.counts[name], fleet.startTicks[name] = &counts.Class{Name: "look"}, 1
	}
	p := rollout.Plan{Application: "a", From: "old", To: "new", MaxConcurrent: 4, MaxUnavailable: 4, ProgressTimeout: 1000 * time.Second, Judge: rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.1},
		Stages: []rollout.Stage{first, {Selector: rollout.Selector{Share: 1}}}}
	s, err := rollout.New(p, members, now)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range s.Apply(rollout.Event{}) {
		s.Apply(rollout.Event{Report: &rollout.Report{Sidecar: o.Sidecar, Release: o.Release, Ready: true, CompletedOrder: o.Number}})
	}
	fleet.change = &rollout.Change{Name: "c", Members: members, State: s}
	return fleet
}

// pollWindow calls count for each sidecar, adds the readings to the evidence and returns the verdict.
func (fleet *simulatedFleet) pollWindow(t *testing.T, count func(name, release string, c *counts.Class)) *rollout.Verdict {
	readings := map[string]Reading{}
	for _, s := range fleet.change.State.Sidecars() {
		count(s.Name, s.Release, fleet.counts[s.Name])
		readings[s.Name] = Reading{Process: agent.Process{PID: 1, StartTicks: fleet.startTicks[s.Name], Release: s.Release}, Report: counts.Report{Classes: []counts.Class{*fleet.counts[s.Name]}, ServerUse: fleet.serverUse(s.Name)}, CPUTicks: fleet.cpuTicks[s.Name], ResidentBytes: 20<<20 + fleet.grownBytes[s.Name]}
	}
	v, err := fleet.evidence.Window(fleet.change, readings, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func serve(c *counts.Class, n, step int) {
	c.Served += uint64(n)
	for i := range n {
		c.Latency[step+i%3] += 1
	}
}

// failingZoneA makes a third of all requests in zone a fail, whichever release serves them.
func failingZoneA(_ *simulatedFleet, _ int, name, _ string, c *counts.Class) {
	if serve(c, 20, 10); (name[1]-'0')%2 == 0 {
		c.Failed += 10
	}
}

// A release that is worse in one metric is found, and the verdict names the metric. Faults that affect both sides, a difference
// in load, and a restarted process, whose counts start over, are no evidence against the new release.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		count   func(fleet *simulatedFleet, i int, name, release string, c *counts.Class)
		verdict string // "": no worse
		stage   rollout.Stage
	}{
		"a zone where requests of both releases fail": {failingZoneA, "", rollout.Stage{Selector: rollout.Selector{Count: 1}, ControlCount: 1}},
		"the same, no control restarted":              {failingZoneA, "", rollout.Stage{Selector: rollout.Selector{Count: 1}}},
		"the same, most new sidecars in that zone":    {failingZoneA, "", rollout.Stage{Selector: rollout.Selector{Names: []string{"n0", "n2", "n1"}}}},
		"equal": {func(_ *simulatedFleet, _ int, _, _ string, c *counts.Class) { serve(c, 20, 10) }, "", rollout.Stage{}},
		"better": {func(_ *simulatedFleet, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 12, "new": 8}[r])
		}, "", rollout.Stage{}},
		"slow": {func(_ *simulatedFleet, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 10, "new": 14}[r])
		}, "worse: slow of class look in zone", rollout.Stage{}},
		"failed": {func(_ *simulatedFleet, _ int, _, r string, c *counts.Class) {
			if serve(c, 18, 10); r == "new" {
				c.Failed += 3
			}
		}, "worse: failed of class look in zone", rollout.Stage{}},
		"refused in one zone, hidden by the other zone in the sum": {func(_ *simulatedFleet, _ int, name, r string, c *counts.Class) {
			if serve(c, 14, 10); name == "n1" || name == "n4" { // the new sidecar of zone b, the control of zone a
				c.Refused += 6
			} else {
				serve(c, 6, 10)
			}
		}, "worse: refused of class look in zone b", rollout.Stage{}},
		"servers fail for both": {func(_ *simulatedFleet, i int, _, _ string, c *counts.Class) {
			if serve(c, 12, 10); i > 20 && i < 40 {
				c.Failed += 8
			} else {
				serve(c, 8, 10)
			}
		}, "", rollout.Stage{}},
		"a process is restarted": {func(fleet *simulatedFleet, i int, name, _ string, c *counts.Class) {
			if i == 30 && name == "n0" { // the first counts of the new process are those of its start
				*c = counts.Class{Name: "look", Failed: 5000}
				fleet.startTicks[name]++
			}
			serve(c, 20, 10)
		}, "", rollout.Stage{}},
		"memory leak": {func(fleet *simulatedFleet, _ int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" {
				fleet.grownBytes[name] += 400 << 10
			}
		}, "worse: growth of memory", rollout.Stage{}},
		"memory of both sides grows": {func(fleet *simulatedFleet, i int, name, _ string, c *counts.Class) {
			serve(c, 20, 10)
			fleet.grownBytes[name] += uint64(400<<10 + i%7)
		}, "", rollout.Stage{}},
		"memory grows in bursts": {func(fleet *simulatedFleet, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" && i%4 == 3 {
				fleet.grownBytes[name] += 3 << 20
			}
		}, "worse: growth of memory", rollout.Stage{}},
		"memory grows slowly": {func(fleet *simulatedFleet, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" {
				fleet.grownBytes[name] += 100 << 10
			}
		}, "worse: growth of memory over longer times", rollout.Stage{}},
		"twice the attempts, with equal outcomes": {func(fleet *simulatedFleet, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); i == 0 {
				fleet.attempts = map[string]uint64{}
			}
			fleet.attempts[name] += map[string]uint64{"old": 20, "new": 40}[r]
		}, "worse: tries of class * in zone *", rollout.Stage{}},
		"the new sidecars have a tenth of the traffic": {func(fleet *simulatedFleet, i int, name, r string, c *counts.Class) {
			n := map[string]int{"old": 40, "new": 4}[r]
			serve(c, n, 10)
			fleet.cpuTicks[name] += uint64(40 + n)
			fleet.grownBytes[name] += uint64(i%7) << 10
			if r == "new" {
				fleet.grownBytes[name] += 400 << 10 // with less traffic, memory takes longer to stop growing after the start
			}
		}, "", rollout.Stage{}},
		"a version that does not report attempts": {func(fleet *simulatedFleet, _ int, _, r string, c *counts.Class) {
			serve(c, 20, 10)
			fleet.attempts = map[string]map[string]uint64{"new": {"n0": 1 << 30}}[r]
		}, "", rollout.Stage{}},
		"twice the processor time": {func(fleet *simulatedFleet, _ int, name, r string, c *counts.Class) {
			serve(c, 20, 10)
			fleet.cpuTicks[name] += map[string]uint64{"old": 10, "new": 20}[r]
		}, "worse: processor time", rollout.Stage{}},
		"failed, with requests of only one side in each window": {func(_ *simulatedFleet, i int, _, r string, c *counts.Class) {
			if r == "old" && i%2 == 0 {
				c.Served++
			} else if r == "new" && i%2 == 1 {
				c.Failed++
			}
		}, "worse: failed of class look", rollout.Stage{}},
		"no requests": {func(*simulatedFleet, int, string, string, *counts.Class) {}, "none", rollout.Stage{}},
	} {
		if len(c.stage.Selector.Names) == 0 && c.stage.Selector.Count == 0 {
			c.stage = rollout.Stage{Selector: rollout.Selector{Count: 2}, ControlCount: 2}
		}
		fleet := newSimulatedFleet(t, c.stage)
		var v *rollout.Verdict
		for i := 0; i < 200 && (v == nil || !v.Worse); i++ {
			v = fleet.pollWindow(t, func(name, release string, k *counts.Class) { c.count(fleet, i, name, release, k) })
		}
		switch {
		case c.verdict == "none":
			if v != nil && (v.NoWorse || v.Worse) {
				t.Errorf("%s: %+v", name, v)
			}
		case v == nil || v.NoWorse != (c.verdict == "") || v.Worse == (c.verdict == "") || !strings.Contains(v.Reason, c.verdict):
			t.Errorf("%s: %+v, want %q", name, v, c.verdict)
		}
	}
}

// If the plan restarts no sidecars for the control, all old sidecars are the control. In the last stage no old sidecar is left,
// and the verdict is that the new release is no worse.
func TestControl(t *testing.T) {
	fleet := newSimulatedFleet(t, rollout.Stage{Selector: rollout.Selector{Count: 2}})
	var v *rollout.Verdict
	count := func(_, _ string, c *counts.Class) { serve(c, 20, 10) }
	for range 100 {
		v = fleet.pollWindow(t, count)
	}
	if v == nil || !v.NoWorse {
		t.Fatalf("%+v", v)
	}
	fleet.change.State.Apply(rollout.Event{Verdict: v})
	if fleet.pollWindow(t, count); fleet.change.State.Stage != 2 {
		t.Fatal("the change is still in its first stage")
	}
	for _, s := range fleet.change.State.Sidecars() {
		fleet.change.State.Apply(rollout.Event{Report: &rollout.Report{Sidecar: s.Name, Release: "new", Ready: true, CompletedOrder: s.OpenOrder}})
	}
	if v = fleet.pollWindow(t, count); v == nil || !v.NoWorse || !strings.Contains(v.Reason, "none is left") {
		t.Errorf("%+v", v)
	}
}

// If the untouched old sidecars do worse than before the change, the verdict is BaselineWorse: the change pauses, because the
// reason is unknown. Failures that were as frequent before the change, or that only restarted sidecars have, give no such
// verdict.
func TestBaseline(t *testing.T) {
	for name, c := range map[string]struct {
		before, after uint64
		restarted     bool // only the sidecars that this change restarted fail requests
	}{"worse": {0, 6, false}, "as before": {6, 6, false}, "better": {6, 0, false}, "restarted only": {0, 6, true}} {
		fleet := newSimulatedFleet(t, rollout.Stage{Selector: rollout.Selector{Count: 2}, ControlCount: 2})
		fleet.change.State.Plan.BaselinePeriod = time.Minute
		var v *rollout.Verdict
		count := func(failed uint64) func(string, string, *counts.Class) {
			return func(name, _ string, k *counts.Class) {
				if serve(k, 14, 10); !c.restarted || name != "n2" && name != "n3" {
					k.Failed += failed
				}
			}
		}
		for range 20 {
			if v = fleet.pollWindow(t, count(c.before)); v != nil {
				t.Fatalf("%+v", v)
			}
		}
		fleet.change.State.BaselineElapsed = time.Minute
		for i := 0; i < 60 && (v == nil || !v.BaselineWorse); i++ {
			v = fleet.pollWindow(t, count(c.after))
		}
		if v == nil || v.Worse || v.BaselineWorse != (name == "worse") || v.BaselineWorse && !strings.Contains(v.Reason, "failed of class look: 0.3000, before 0.0000") {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
