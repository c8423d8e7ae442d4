package evidence

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// side is a sidecar whose requests, processor time and memory are drawn at random.
type side struct {
	r     *rand.Rand
	now   Reading
	order rollout.Order // that it carries out before the next window
}

// serve counts a window of one class: about n requests, of which fractions fail and are refused, with times about a step.
func (s *side) serve(class, n int, failed, refused float64, step int) {
	c := &s.now.Classes[class]
	for range int(float64(n) * (0.5 + s.r.Float64())) {
		s.now.CPUTicks += uint64(s.r.IntN(7))
		s.now.ServerUse.Attempts++
		switch p := s.r.Float64(); {
		case p < failed:
			c.Failed++
			s.now.ServerUse.Attempts++
		case p < failed+refused:
			c.Refused++
		default:
			c.Served++
			c.Latency[max(0, step+int(3*s.r.NormFloat64()))]++
		}
	}
}

func (s *side) begin(release string, number uint64) {
	s.now = Reading{Process: agent.Process{PID: 1, StartTicks: number, Release: release}, Report: counts.Report{Classes: []counts.Class{{Name: "look"}, {Name: "book"}, {Name: "void"}}, ServerUse: &counts.ServerUse{}}, ResidentBytes: 18 << 20}
}

// load is what a sidecar serves in a window, about: requests of the smallest class, the fraction of them that fails, and the step of their
// times.
type load struct {
	requests int
	failed   float64
	step     int
}

// play simulates a complete change of 12 sidecars in 3 zones and 3 stages, with its control, to its end or pause: the state that the log
// keeps, the evidence and the judge, by windows of 2 s with a poll after each.
func play(t *testing.T, r *rand.Rand, rate func(zone, window int, release string) load) *rollout.Change {
	p := rollout.Plan{Application: "a", From: "old", To: "new", MaxConcurrent: 2, MaxUnavailable: 2, ProgressTimeout: 20 * time.Minute, Judge: rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.05},
		Stages: []rollout.Stage{{Selector: rollout.Selector{Count: 2}, ControlCount: 2}, {Selector: rollout.Selector{Count: 4}, ControlCount: 2}, {Selector: rollout.Selector{Share: 1}}}}
	var members []rollout.Member
	var now []rollout.Report
	sides := map[string]*side{}
	for i := range 12 {
		name := fmt.Sprintf("n%02d", i)
		members = append(members, rollout.Member{Name: name, Zone: string(rune('a' + i%3))})
		now = append(now, rollout.Report{Sidecar: name, Release: "old", Ready: true})
		sides[name] = &side{r: r}
		sides[name].begin("old", 0)
	}
	s, err := rollout.New(p, members, now)
	if err != nil {
		t.Fatal(err)
	}
	c, e := &rollout.Change{Name: "c", Members: members, State: s}, Evidence{}
	s.Apply(rollout.Event{})
	const window = 2 * time.Second
	for w := 0; w < 3000 && !s.Phase.Over() && s.Phase != rollout.Paused; w++ {
		read := map[string]Reading{}
		for i, m := range members {
			one := sides[m.Name]
			if o := one.order; o.Number != 0 {
				one.begin(o.Release, o.Number)
				one.order = rollout.Order{}
				s.Apply(rollout.Event{Report: &rollout.Report{Sidecar: m.Name, Release: o.Release, Ready: true, CompletedOrder: o.Number}})
			}
			l := rate(i%3, w, one.now.Process.Release)
			n, failed, step := l.requests, l.failed, l.step
			for class, part := range []int{10, 4, 2} {
				one.serve(class, n*part, failed, 0.002, step)
			}
			if r.IntN(10) == 0 { // it grows in bursts, and some of it is released
				one.now.ResidentBytes += uint64(r.IntN(2<<20)) - 1<<20
			}
			read[m.Name] = one.now
			read[m.Name] = Reading{one.now.Process, counts.Report{Classes: append([]counts.Class(nil), one.now.Classes...), ServerUse: &counts.ServerUse{Attempts: one.now.ServerUse.Attempts}}, one.now.CPUTicks, one.now.ResidentBytes}
		}
		v, err := e.Window(c, read, window)
		if err != nil {
			t.Fatal(err)
		}
		if v != nil {
			s.Apply(rollout.Event{Verdict: v})
		}
		s.Apply(rollout.Event{Elapsed: window})
		for _, o := range s.OpenOrders() {
			if one := sides[o.Sidecar]; one.now.Process.StartTicks != o.Number {
				one.order = o
			}
		}
	}
	return c
}

// Complete changes of equal releases are stopped no more often than planned, whatever happens to the servers meanwhile; hardly any change to a
// release that is worse by the smallest effect that matters completes. CHANGES in the environment says how many are simulated.
func TestCompleteChanges(t *testing.T) {
	n := 6
	fmt.Sscan(os.Getenv("CHANGES"), &n)
	for name, rate := range map[string]func(zone, window int, release string) load{
		"equal":                func(int, int, string) load { return load{2, 0.002, 12} },
		"equal, nothing fails": func(int, int, string) load { return load{1, 0, 12} },
		"equal, servers of a zone fail and are slow for a while": func(zone, w int, _ string) load {
			if zone == 1 && w > 20 && w < 60 {
				return load{2, 0.3, 16}
			}
			return load{2, 0.002, 12}
		},
		"equal, load doubles": func(_, w int, _ string) load {
			if w > 30 {
				return load{4, 0.01, 14}
			}
			return load{2, 0.002, 12}
		},
		"worse by the effect": func(_, _ int, release string) load {
			return load{2, map[string]float64{"old": 0.002, "new": 0.052}[release], 12}
		},
		"slower by an octave": func(_, _ int, release string) load {
			return load{2, 0.002, map[string]int{"old": 12, "new": 16}[release]}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, ends := rand.New(rand.NewPCG(11, uint64(len(name)))), map[string]int{}
			for range n {
				c := play(t, r, rate)
				if ends[c.State.Phase.String()]++; name[:5] == "equal" && c.State.Phase == rollout.RollingBack {
					t.Logf("%v in stage %d: %s", c.State.Phase, c.State.Stage, c.State.Reason)
				}
			}
			t.Logf("%d changes: %v", n, ends)
			if equal := name[:5] == "equal"; equal && ends["stopped"] > max(1, n*2/100) || !equal && ends["stopped"] < n*95/100 {
				t.Errorf("%v", ends)
			}
		})
	}
}
