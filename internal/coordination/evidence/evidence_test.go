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

// world is simulated sidecars that count requests.
type world struct {
	change   *rollout.Change
	evidence Evidence
	counts   map[string]*counts.Class
	began    map[string]uint64
	cpu      map[string]uint64
	memory   map[string]uint64
	tries    map[string]uint64 // nil: this version does not report them
}

func (w *world) effort(name string) *counts.ServerUse {
	if w.tries == nil {
		return nil
	}
	return &counts.ServerUse{Attempts: w.tries[name], Connections: 7, HealthChecks: 7}
}

// newWorld returns a change in its first stage, all of whose orders were carried out.
func newWorld(t *testing.T, first rollout.Stage) *world {
	var members []rollout.Member
	var now []rollout.Report
	w := &world{counts: map[string]*counts.Class{}, began: map[string]uint64{}, cpu: map[string]uint64{}, memory: map[string]uint64{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		members = append(members, rollout.Member{Name: name, Zone: string(rune('a' + i%2))})
		now = append(now, rollout.Report{Sidecar: name, Release: "old", Ready: true})
		w.counts[name], w.began[name] = &counts.Class{Name: "look"}, 1
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
	w.change = &rollout.Change{Name: "c", Members: members, State: s}
	return w
}

// window has each sidecar count, and returns the verdict.
func (w *world) window(t *testing.T, count func(name, release string, c *counts.Class)) *rollout.Verdict {
	read := map[string]Reading{}
	for _, s := range w.change.State.Sidecars() {
		count(s.Name, s.Release, w.counts[s.Name])
		read[s.Name] = Reading{Process: agent.Process{PID: 1, StartTicks: w.began[s.Name], Release: s.Release}, Report: counts.Report{Classes: []counts.Class{*w.counts[s.Name]}, ServerUse: w.effort(s.Name)}, CPUTicks: w.cpu[s.Name], ResidentBytes: 20<<20 + w.memory[s.Name]}
	}
	v, err := w.evidence.Window(w.change, read, 10*time.Second)
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

// zoneA has a third of all requests in zone a fail, whichever release serves them.
func zoneA(_ *world, _ int, name, _ string, c *counts.Class) {
	if serve(c, 20, 10); (name[1]-'0')%2 == 0 {
		c.Failed += 10
	}
}

// What is worse in one way is found and named; what happens to both sides, work that is slower by nature, and a process that starts its
// counts over are no evidence.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		count   func(w *world, i int, name, release string, c *counts.Class)
		verdict string // "": no worse
		stage   rollout.Stage
	}{
		"a zone where all fail more": {zoneA, "", rollout.Stage{Selector: rollout.Selector{Count: 1}, ControlCount: 1}},
		"the same, no control":       {zoneA, "", rollout.Stage{Selector: rollout.Selector{Count: 1}}},
		"the same, more of the new":  {zoneA, "", rollout.Stage{Selector: rollout.Selector{Names: []string{"n0", "n2", "n1"}}}},
		"equal":                      {func(_ *world, _ int, _, _ string, c *counts.Class) { serve(c, 20, 10) }, "", rollout.Stage{}},
		"better": {func(_ *world, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 12, "new": 8}[r])
		}, "", rollout.Stage{}},
		"slow": {func(_ *world, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 10, "new": 14}[r])
		}, "worse: slow of class look in zone", rollout.Stage{}},
		"failed": {func(_ *world, _ int, _, r string, c *counts.Class) {
			if serve(c, 18, 10); r == "new" {
				c.Failed += 3
			}
		}, "worse: failed of class look in zone", rollout.Stage{}},
		"in one zone, where the other hides it": {func(_ *world, _ int, name, r string, c *counts.Class) {
			if serve(c, 14, 10); name == "n1" || name == "n4" { // the new one of zone b, the control of zone a
				c.Refused += 6
			} else {
				serve(c, 6, 10)
			}
		}, "worse: refused of class look in zone b", rollout.Stage{}},
		"servers fail for both": {func(_ *world, i int, _, _ string, c *counts.Class) {
			if serve(c, 12, 10); i > 20 && i < 40 {
				c.Failed += 8
			} else {
				serve(c, 8, 10)
			}
		}, "", rollout.Stage{}},
		"a process begins anew": {func(w *world, i int, name, _ string, c *counts.Class) {
			if i == 30 && name == "n0" { // the first counts of the next process are of its start
				*c = counts.Class{Name: "look", Failed: 5000}
				w.began[name]++
			}
			serve(c, 20, 10)
		}, "", rollout.Stage{}},
		"leaks": {func(w *world, _ int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" {
				w.memory[name] += 400 << 10
			}
		}, "worse: growth of memory", rollout.Stage{}},
		"both grow": {func(w *world, i int, name, _ string, c *counts.Class) {
			serve(c, 20, 10)
			w.memory[name] += uint64(400<<10 + i%7)
		}, "", rollout.Stage{}},
		"grows in bursts": {func(w *world, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" && i%4 == 3 {
				w.memory[name] += 3 << 20
			}
		}, "worse: growth of memory", rollout.Stage{}},
		"grows slowly": {func(w *world, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" {
				w.memory[name] += 100 << 10
			}
		}, "worse: growth of memory over longer times", rollout.Stage{}},
		"tries twice, and the class says nothing": {func(w *world, i int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); i == 0 {
				w.tries = map[string]uint64{}
			}
			w.tries[name] += map[string]uint64{"old": 20, "new": 40}[r]
		}, "worse: tries of class * in zone *", rollout.Stage{}},
		"the new have a tenth of the traffic": {func(w *world, i int, name, r string, c *counts.Class) {
			n := map[string]int{"old": 40, "new": 4}[r]
			serve(c, n, 10)
			w.cpu[name] += uint64(40 + n)
			w.memory[name] += uint64(i%7) << 10
			if r == "new" {
				w.memory[name] += 400 << 10 // it grows more slowly while it warms up
			}
		}, "", rollout.Stage{}},
		"of a version that tells no tries": {func(w *world, _ int, _, r string, c *counts.Class) {
			serve(c, 20, 10)
			w.tries = map[string]map[string]uint64{"new": {"n0": 1 << 30}}[r]
		}, "", rollout.Stage{}},
		"twice the processor": {func(w *world, _ int, name, r string, c *counts.Class) {
			serve(c, 20, 10)
			w.cpu[name] += map[string]uint64{"old": 10, "new": 20}[r]
		}, "worse: processor time", rollout.Stage{}},
		"failed, and never asked in one window": {func(_ *world, i int, _, r string, c *counts.Class) {
			if r == "old" && i%2 == 0 {
				c.Served++
			} else if r == "new" && i%2 == 1 {
				c.Failed++
			}
		}, "worse: failed of class look", rollout.Stage{}},
		"nobody asks": {func(*world, int, string, string, *counts.Class) {}, "none", rollout.Stage{}},
	} {
		if len(c.stage.Selector.Names) == 0 && c.stage.Selector.Count == 0 {
			c.stage = rollout.Stage{Selector: rollout.Selector{Count: 2}, ControlCount: 2}
		}
		w := newWorld(t, c.stage)
		var v *rollout.Verdict
		for i := 0; i < 200 && (v == nil || !v.Worse); i++ {
			v = w.window(t, func(name, release string, k *counts.Class) { c.count(w, i, name, release, k) })
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

// If a plan has none restarted, all old sidecars are the control; in the last stage there is none.
func TestControl(t *testing.T) {
	w := newWorld(t, rollout.Stage{Selector: rollout.Selector{Count: 2}})
	var v *rollout.Verdict
	count := func(_, _ string, c *counts.Class) { serve(c, 20, 10) }
	for range 100 {
		v = w.window(t, count)
	}
	if v == nil || !v.NoWorse {
		t.Fatalf("%+v", v)
	}
	w.change.State.Apply(rollout.Event{Verdict: v})
	if w.window(t, count); w.change.State.Stage != 2 {
		t.Fatal("it waits in its first stage")
	}
	for _, s := range w.change.State.Sidecars() {
		w.change.State.Apply(rollout.Event{Report: &rollout.Report{Sidecar: s.Name, Release: "new", Ready: true, CompletedOrder: s.OpenOrder}})
	}
	if v = w.window(t, count); v == nil || !v.NoWorse || !strings.Contains(v.Reason, "none is left") {
		t.Errorf("%+v", v)
	}
}

// The old sidecars do worse once there are new ones: the change pauses, because the reason is unknown. What was as bad before has no effect.
func TestBaseline(t *testing.T) {
	for name, c := range map[string]struct {
		before, after uint64
		restarted     bool // it happens to those alone that this change has restarted
	}{"worse": {0, 6, false}, "as before": {6, 6, false}, "better": {6, 0, false}, "cold": {0, 6, true}} {
		w := newWorld(t, rollout.Stage{Selector: rollout.Selector{Count: 2}, ControlCount: 2})
		w.change.State.Plan.BaselinePeriod = time.Minute
		var v *rollout.Verdict
		count := func(failed uint64) func(string, string, *counts.Class) {
			return func(name, _ string, k *counts.Class) {
				if serve(k, 14, 10); !c.restarted || name != "n2" && name != "n3" {
					k.Failed += failed
				}
			}
		}
		for range 20 {
			if v = w.window(t, count(c.before)); v != nil {
				t.Fatalf("%+v", v)
			}
		}
		w.change.State.BaselineElapsed = time.Minute
		for i := 0; i < 60 && (v == nil || !v.BaselineWorse); i++ {
			v = w.window(t, count(c.after))
		}
		if v == nil || v.Worse || v.BaselineWorse != (name == "worse") || v.BaselineWorse && !strings.Contains(v.Reason, "failed of class look: 0.3000, before 0.0000") {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
