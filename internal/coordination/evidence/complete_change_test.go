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

// simulatedSidecar is a sidecar whose requests, processor time and memory are drawn at random.
type simulatedSidecar struct {
	random    *rand.Rand
	reading   Reading
	nextOrder rollout.Order // carried out before the next window; zero: none
}

// serve adds the counts of one class in one window: about the given number of requests, of which the fraction failed fails and
// the fraction refused is refused. The latency of the others is distributed around a step of the histogram.
func (s *simulatedSidecar) serve(class, requests int, failed, refused float64, step int) {
	c := &s.reading.Classes[class]
	for range int(float64(requests) * (0.5 + s.random.Float64())) {
		s.reading.CPUTicks += uint64(s.random.IntN(7))
		s.reading.ServerUse.Attempts++
		switch p := s.random.Float64(); {
		case p < failed:
			c.Failed++
			s.reading.ServerUse.Attempts++
		case p < failed+refused:
			c.Refused++
		default:
			c.Served++
			c.Latency[max(0, step+int(3*s.random.NormFloat64()))]++
		}
	}
}

// startProcess replaces the process by a new one, whose counts are zero.
func (s *simulatedSidecar) startProcess(release string, number uint64) {
	s.reading = Reading{Process: agent.Process{PID: 1, StartTicks: number, Release: release}, Report: counts.Report{Classes: []counts.Class{{Name: "look"}, {Name: "book"}, {Name: "void"}}, ServerUse: &counts.ServerUse{}}, ResidentBytes: 18 << 20}
}

// load is what a sidecar serves in a window, before randomization.
type load struct {
	requests int     // of the smallest class, divided by its weight
	failed   float64 // fraction of the requests
	step     int     // step of the histogram around which the latency is distributed
}

// simulateChange simulates a change of 12 sidecars in 3 zones and 3 stages until it ends or pauses, with the replicated state of
// the change, the evidence and the judge. Each window lasts 2 s and ends with a poll. loadFor returns the load of a sidecar in a
// window.
func simulateChange(t *testing.T, random *rand.Rand, loadFor func(zone, windowIndex int, release string) load) *rollout.Change {
	plan := rollout.Plan{Application: "a", From: "old", To: "new", MaxConcurrent: 2, MaxUnavailable: 2, ProgressTimeout: 20 * time.Minute, Judge: rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.05},
		Stages: []rollout.Stage{{Selector: rollout.Selector{Count: 2}, ControlCount: 2}, {Selector: rollout.Selector{Count: 4}, ControlCount: 2}, {Selector: rollout.Selector{Share: 1}}}}
	var members []rollout.Member
	var reports []rollout.Report
	sidecars := map[string]*simulatedSidecar{}
	for i := range 12 {
		name := fmt.Sprintf("n%02d", i)
		members = append(members, rollout.Member{Name: name, Zone: string(rune('a' + i%3))})
		reports = append(reports, rollout.Report{Sidecar: name, Release: "old", Ready: true})
		sidecars[name] = &simulatedSidecar{random: random}
		sidecars[name].startProcess("old", 0)
	}
	state, err := rollout.New(plan, members, reports)
	if err != nil {
		t.Fatal(err)
	}
	change, evidence := &rollout.Change{Name: "c", Members: members, State: state}, Evidence{}
	state.Apply(rollout.Event{})
	const pollInterval = 2 * time.Second
	for windowIndex := 0; windowIndex < 3000 && !state.Phase.Over() && state.Phase != rollout.Paused; windowIndex++ {
		readings := map[string]Reading{}
		for i, m := range members {
			sidecar := sidecars[m.Name]
			if order := sidecar.nextOrder; order.Number != 0 {
				sidecar.startProcess(order.Release, order.Number)
				sidecar.nextOrder = rollout.Order{}
				state.Apply(rollout.Event{Report: &rollout.Report{Sidecar: m.Name, Release: order.Release, Ready: true, CompletedOrder: order.Number}})
			}
			offered := loadFor(i%3, windowIndex, sidecar.reading.Process.Release)
			n, failed, step := offered.requests, offered.failed, offered.step
			for class, weight := range []int{10, 4, 2} {
				sidecar.serve(class, n*weight, failed, 0.002, step)
			}
			if random.IntN(10) == 0 { // memory grows in bursts and is released in part
				sidecar.reading.ResidentBytes += uint64(random.IntN(2<<20)) - 1<<20
			}
			readings[m.Name] = sidecar.reading
			readings[m.Name] = Reading{sidecar.reading.Process, counts.Report{Classes: append([]counts.Class(nil), sidecar.reading.Classes...), ServerUse: &counts.ServerUse{Attempts: sidecar.reading.ServerUse.Attempts}}, sidecar.reading.CPUTicks, sidecar.reading.ResidentBytes}
		}
		verdict, err := evidence.Window(change, readings, pollInterval)
		if err != nil {
			t.Fatal(err)
		}
		if verdict != nil {
			state.Apply(rollout.Event{Verdict: verdict})
		}
		state.Apply(rollout.Event{Elapsed: pollInterval})
		for _, order := range state.OpenOrders() {
			if sidecar := sidecars[order.Sidecar]; sidecar.reading.Process.StartTicks != order.Number {
				sidecar.nextOrder = order
			}
		}
	}
	return change
}

// At most 2% of the changes to an equal release, or one, are stopped, even if servers fail or the load doubles meanwhile. At least
// 95% of the changes to a release that is worse by the plan's MinEffect, or slower by an octave, are stopped. The
// environment variable CHANGES sets the number of simulated changes.
func TestCompleteChanges(t *testing.T) {
	n := 6
	fmt.Sscan(os.Getenv("CHANGES"), &n)
	for name, rate := range map[string]func(zone, windowIndex int, release string) load{
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
				c := simulateChange(t, r, rate)
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
