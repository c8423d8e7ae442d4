package driver

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"petrelhook/internal/agent"
	"petrelhook/internal/counts"
	"petrelhook/internal/rollout"
)

// world is sidecars that count.
type world struct {
	change *rollout.Change
	e      Evidence
	counts map[string]*counts.Class
	began  map[string]uint64
	cpu    map[string]uint64
	memory map[string]uint64
}

// newWorld is a change in its first stage, all of whose sidecars are where they should be.
func newWorld(t *testing.T, control int) *world {
	var members []rollout.Member
	var now []rollout.Report
	w := &world{counts: map[string]*counts.Class{}, began: map[string]uint64{}, cpu: map[string]uint64{}, memory: map[string]uint64{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		members = append(members, rollout.Member{Name: name, Zone: string(rune('a' + i%2))})
		now = append(now, rollout.Report{Sidecar: name, Release: "old", Ready: true})
		w.counts[name], w.began[name] = &counts.Class{Name: "look"}, 1
	}
	p := rollout.Plan{Application: "a", From: "old", To: "new", AtOnce: 4, Unavailable: 4, Patience: 1000 * time.Second, Judge: defaultJudge,
		Stages: []rollout.Stage{{Select: rollout.Select{Count: 2}, Control: control}, {Select: rollout.Select{Share: 1}}}}
	p.Judge.Effect = 0.1
	s, err := rollout.New(p, members, now)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range s.Apply(rollout.Event{}) {
		s.Apply(rollout.Event{Report: &rollout.Report{Sidecar: o.Sidecar, Release: o.Release, Ready: true, Done: o.Number}})
	}
	w.change = &rollout.Change{Name: "c", Members: members, State: s}
	return w
}

// window has each sidecar count, and gives the verdict.
func (w *world) window(t *testing.T, count func(name, release string, c *counts.Class)) *rollout.Verdict {
	seen := map[string]Seen{}
	for _, s := range w.change.State.Sidecars() {
		count(s.Name, s.Release, w.counts[s.Name])
		text, _ := json.Marshal([]counts.Class{*w.counts[s.Name]})
		seen[s.Name] = Seen{Process: agent.Process{PID: 1, Began: w.began[s.Name], Release: s.Release}, Counts: text, CPU: w.cpu[s.Name], Memory: 20<<20 + w.memory[s.Name]}
	}
	v, err := w.e.Window(w.change, seen, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func serve(c *counts.Class, n, step int) {
	c.Served += uint64(n)
	for i := range n {
		c.Took[step+i%3] += 1
	}
}

// What is worse in one way is found, with what it is; what befalls both, what is slow because it is other, and a process that begins
// anew with its counts are no evidence.
func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		count   func(w *world, i int, name, release string, c *counts.Class)
		verdict string // "": fine
	}{
		"equal": {func(_ *world, _ int, _, _ string, c *counts.Class) { serve(c, 20, 10) }, ""},
		"better": {func(_ *world, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 12, "new": 8}[r])
		}, ""},
		"slow": {func(_ *world, _ int, _, r string, c *counts.Class) {
			serve(c, 20, map[string]int{"old": 10, "new": 14}[r])
		}, "worse: slow of class look in zone"},
		"failed": {func(_ *world, _ int, _, r string, c *counts.Class) {
			if serve(c, 18, 10); r == "new" {
				c.Failed += 3
			}
		}, "worse: failed of class look in zone"},
		"in one zone, where the other hides it": {func(_ *world, _ int, name, r string, c *counts.Class) {
			if serve(c, 14, 10); name == "n1" || name == "n4" { // the new one of zone b, the control of zone a
				c.Refused += 6
			} else {
				serve(c, 6, 10)
			}
		}, "worse: refused of class look in zone b"},
		"servers fail for both": {func(_ *world, i int, _, _ string, c *counts.Class) {
			if serve(c, 12, 10); i > 20 && i < 40 {
				c.Failed += 8
			} else {
				serve(c, 8, 10)
			}
		}, ""},
		"a process begins anew": {func(w *world, i int, name, _ string, c *counts.Class) {
			if i == 30 && name == "n0" { // all that the next one shows at first was counted at its start
				*c = counts.Class{Name: "look", Failed: 5000}
				w.began[name]++
			}
			serve(c, 20, 10)
		}, ""},
		"leaks": {func(w *world, _ int, name, r string, c *counts.Class) {
			if serve(c, 20, 10); r == "new" {
				w.memory[name] += 400 << 10
			}
		}, "worse: growth of memory"},
		"both grow": {func(w *world, i int, name, _ string, c *counts.Class) {
			serve(c, 20, 10)
			w.memory[name] += uint64(400<<10 + i%7)
		}, ""},
		"twice the processor": {func(w *world, _ int, name, r string, c *counts.Class) {
			serve(c, 20, 10)
			w.cpu[name] += map[string]uint64{"old": 10, "new": 20}[r]
		}, "worse: processor time"},
		"nobody asks": {func(*world, int, string, string, *counts.Class) {}, "none"},
	} {
		w := newWorld(t, 2)
		var v *rollout.Verdict
		for i := 0; i < 200 && (v == nil || !v.Worse); i++ {
			v = w.window(t, func(name, release string, k *counts.Class) { c.count(w, i, name, release, k) })
		}
		switch {
		case c.verdict == "none":
			if v != nil && (v.Fine || v.Worse) {
				t.Errorf("%s: %+v", name, v)
			}
		case v == nil || v.Fine != (c.verdict == "") || v.Worse == (c.verdict == "") || !strings.Contains(v.Why, c.verdict):
			t.Errorf("%s: %+v, want %q", name, v, c.verdict)
		}
	}
}

// Where a plan has none restarted all old ones are the control; in the last stage there is none.
func TestControl(t *testing.T) {
	w := newWorld(t, 0)
	var v *rollout.Verdict
	count := func(_, _ string, c *counts.Class) { serve(c, 20, 10) }
	for range 100 {
		v = w.window(t, count)
	}
	if v == nil || !v.Fine {
		t.Fatalf("%+v", v)
	}
	w.change.State.Apply(rollout.Event{Verdict: v})
	if v = w.window(t, count); w.change.State.Stage != 2 {
		t.Fatal("it waits in its first stage")
	}
	for _, s := range w.change.State.Sidecars() {
		w.change.State.Apply(rollout.Event{Report: &rollout.Report{Sidecar: s.Name, Release: "new", Ready: true, Done: s.Order}})
	}
	if v = w.window(t, count); v == nil || !v.Fine || !strings.Contains(v.Why, "none is left") {
		t.Errorf("%+v", v)
	}
}

// Slips in a plan's file are errors with their place.
func TestBadPlanFiles(t *testing.T) {
	good := "application: a\nfrom: x\nto: y\nagents: [\"127.0.0.1:1\"]\nstages:\n  - {count: 1}\n"
	if f, err := ParsePlan("p", []byte(good)); err != nil || f.Plan.Unavailable != 1 || f.Plan.Patience != defaultPatience {
		t.Fatal(f, err)
	}
	for text, want := range map[string]string{
		"":                                 "p:1:1: write fields",
		good + "x: 1\n":                    "p:7:1: x: unknown field",
		good + "at_once: many\n":           `p:7:10: at_once: "many"`,
		good + "patience: 1ms\n":           "p:7:11: patience: ",
		good + "judge: {effect: 2}\n":      "p:7:8: judge: effect: 2",
		good + "judge: 1\n":                "p:7:8: judge: write none, or fields",
		good + "to: z\n":                   "p:7:1: to: comes twice",
		good + "  - {cuont: 1}\n":          "p:7:6: stages[1].cuont: unknown field",
		good + "  - {least: long}\n":       "p:7:13: stages[1].least: ",
		"application: a\n":                 "p:1:1: application, from, to",
		"application: a\nfrom: x\nto: y\n": "p:1:1: agents: missing",
		strings.Replace(good, `["127.0.0.1:1"]`, "[here]", 1): `p:4:10: agents: "here" is no address`,
		strings.Replace(good, "\n  - {count: 1}", " all", 1):  "p:5:9: stages: write a list",
	} {
		if _, err := ParsePlan("p", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// The old ones do worse once the new are there: the change pauses, for it is not known why. What was as bad before is no news.
func TestTheTimeBefore(t *testing.T) {
	for name, c := range map[string]struct{ before, after uint64 }{"worse": {0, 6}, "as before": {6, 6}, "better": {6, 0}} {
		w := newWorld(t, 2)
		w.change.State.Plan.Before = time.Minute
		var v *rollout.Verdict
		count := func(failed uint64) func(string, string, *counts.Class) {
			return func(_, _ string, k *counts.Class) { serve(k, 14, 10); k.Failed += failed }
		}
		for range 20 {
			if v = w.window(t, count(c.before)); v != nil {
				t.Fatalf("%+v", v)
			}
		}
		w.change.State.Settled = time.Minute
		for i := 0; i < 60 && (v == nil || !v.Old); i++ {
			v = w.window(t, count(c.after))
		}
		if v == nil || v.Worse || v.Old != (name == "worse") || v.Old && !strings.Contains(v.Why, "failed of class look: 0.3000, before 0.0000") {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
