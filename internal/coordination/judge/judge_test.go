package judge

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// draw returns counts of n simulated requests, each of which is a hit with probability p.
func draw(r *rand.Rand, n int, p float64) (c Counts) {
	c.Total = float64(n)
	for range n {
		if r.Float64() < p {
			c.Hits++
		}
	}
	return c
}

// change is a simulated change of a release over classes, zones and windows, judged after each window.
type change struct {
	classes, zones, windows      int
	newRequests, controlRequests int // requests per window and cell
	rate                         func(window, class, zone int, new bool) float64
}

var plan = Plan{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.02, MaxCells: 18}

// judge simulates a change until it is judged to be worse or all windows are over, and returns the last verdict and the number of
// windows. A verdict of NoWorse does not end the simulation.
func (c change) judge(t testing.TB, r *rand.Rand, p Plan) (v Verdict, at int) {
	j, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	for w := range c.windows {
		for class := range c.classes {
			for zone := range c.zones {
				cell := Cell{Class: fmt.Sprint("c", class), Zone: fmt.Sprint("z", zone), Metric: "failed"}
				err := j.Add(cell, draw(r, c.newRequests, c.rate(w, class, zone, true)), draw(r, c.controlRequests, c.rate(w, class, zone, false)))
				if err != nil {
					t.Fatal(err)
				}
			}
		}
		if v = j.Verdict(); v.Kind == Worse {
			return v, w + 1
		}
	}
	return v, c.windows
}

// changes returns how many changes a test simulates: defaultCount, or the value of the environment variable CHANGES.
func changes(defaultCount int) int {
	n := defaultCount
	fmt.Sscan(os.Getenv("CHANGES"), &n)
	return n
}

func constantRate(p float64) func(int, int, int, bool) float64 {
	return func(int, int, int, bool) float64 { return p }
}

// Equal releases that are judged after every window are stopped no more often than planned, also when the rates of both change together.
// The log shows how many were judged to be no worse.
func TestEqualReleases(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]change{
		"quiet":                    {3, 3, 120, 20, 40, constantRate(0.002)},
		"nothing fails":            {3, 3, 120, 20, 40, constantRate(0)},
		"much fails":               {3, 3, 120, 20, 40, constantRate(0.3)},
		"few requests":             {3, 3, 120, 1, 1, constantRate(0.02)},
		"one has half the traffic": {3, 3, 120, 60, 5, constantRate(0.01)},
		"servers fail for a while": {3, 3, 120, 20, 40, func(w, _, zone int, _ bool) float64 {
			if zone == 1 && w > 30 && w < 60 {
				return 0.4
			}
			return 0.002
		}},
	} {
		n, stopped, noWorse := changes(150), 0, 0
		for range n {
			v, _ := c.judge(t, r, plan)
			switch v.Kind {
			case Worse:
				stopped++
			case NoWorse:
				noWorse++
			}
		}
		if allowed := max(2, 3*n/100); stopped > allowed {
			t.Errorf("%s: %d of %d stopped", name, stopped, n)
		}
		t.Logf("%s: %d of %d stopped, %d said to be no worse", name, stopped, n, noWorse)
	}
}

// Worse releases are stopped even if only one class in one zone is worse, and the sooner the larger the effect. They are judged to be no
// worse no more often than planned.
func TestWorseReleases(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	worseInOneCell := func(base, more float64) func(int, int, int, bool) float64 {
		return func(_, class, zone int, new bool) float64 {
			if new && class == 1 && zone == 2 {
				return base + more
			}
			return base
		}
	}
	last := 1 << 30
	for _, c := range []struct {
		more    float64
		windows int
	}{{0.02, 600}, {0.05, 300}, {0.2, 120}, {1 - 0.002, 30}} {
		n, stopped, wrong, sum := changes(60), 0, 0, 0
		for range n {
			v, at := change{3, 3, c.windows, 20, 40, worseInOneCell(0.002, c.more)}.judge(t, r, plan)
			if v.Kind == Worse && v.Cell == (Cell{Class: "c1", Zone: "z2", Metric: "failed"}) {
				stopped++
				sum += at
			}
			if v.Kind == NoWorse {
				wrong++
			}
		}
		mean := sum / max(stopped, 1)
		t.Logf("worse by %.3f: %d of %d stopped, after %d windows of 20 requests; %d said to be no worse", c.more, stopped, n, mean, wrong)
		if stopped < n*95/100 || wrong > n*5/100 || mean > last {
			t.Errorf("worse by %.3f: %d of %d stopped after %d windows, %d said to be no worse", c.more, stopped, n, mean, wrong)
		}
		last = mean
	}
}

// A release that becomes worse after 3,000 equal windows is detected about as soon after that as one that is worse from the start.
func TestWorseLate(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	windowsToDetect := func(equal int) int {
		sum := 0
		const n = 40
		for range n {
			v, at := change{1, 1, equal + 400, 20, 40, func(w, _, _ int, new bool) float64 {
				if new && w >= equal {
					return 0.1
				}
				return 0.002
			}}.judge(t, r, plan)
			if v.Kind != Worse {
				at = equal + 400
			}
			sum += at - equal
		}
		return sum / n
	}
	fromStart, late := windowsToDetect(0), windowsToDetect(3000)
	t.Logf("worse by 0.1: detected after %d windows from the start, and after %d if 3,000 equal ones came before", fromStart, late)
	if late > 4*fromStart {
		t.Errorf("detected after %d windows from the start, but after %d if 3,000 equal ones came before", fromStart, late)
	}
}

// Very little traffic is not enough evidence for either verdict, and a larger ClusterSize reduces the evidence.
func TestLittleEvidence(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 100 {
		if v, _ := (change{1, 1, 6, 1, 1, constantRate(0.01)}).judge(t, r, plan); v.Kind != NotEnough {
			t.Fatalf("%v", v)
		}
	}
	evidence := func(clusterSize float64) float64 {
		p := plan
		p.ClusterSize = clusterSize
		j, _ := New(p)
		for range 10 {
			j.Add(Cell{}, Counts{10, 100}, Counts{2, 100})
		}
		return j.Verdict().Odds
	}
	if single, clustered := evidence(1), evidence(10); clustered >= single/10 {
		t.Errorf("odds %g, but in clusters %g", single, clustered)
	}
	if j, _ := New(plan); j.Verdict().Kind != NotEnough {
		t.Error("a verdict other than NotEnough without a window")
	}
}

// Invalid plans and counts are rejected, and the error of a plan names the field.
func TestBadInput(t *testing.T) {
	for want, change := range map[string]func(*Plan){
		"false_stop_rate: 0;":  func(p *Plan) { p.FalseStopRate = 0 },
		"missed_stop_rate: 1;": func(p *Plan) { p.MissedStopRate = 1 },
		"min_effect: -1;":      func(p *Plan) { p.MinEffect = -1 },
		"cells: 0;":            func(p *Plan) { p.MaxCells = 0 },
		"cluster_size: 0.5;":   func(p *Plan) { p.ClusterSize = 0.5 },
	} {
		p := plan
		change(&p)
		if _, err := New(p); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	p := plan
	p.MaxCells = 1
	j, _ := New(p)
	if err := j.Add(Cell{Class: "a", Zone: "b", Metric: "c"}, Counts{2, 1}, Counts{0, 1}); !errors.Is(err, ErrInvalidCounts) {
		t.Errorf("2 of 1: %v", err)
	}
	if j.Add(Cell{Class: "a", Zone: "b", Metric: "c"}, Counts{0, 1}, Counts{0, 1}); !errors.Is(j.Add(Cell{Class: "a", Zone: "b", Metric: "d"}, Counts{0, 1}, Counts{0, 1}), ErrTooManyCells) {
		t.Error("a cell beyond MaxCells was accepted")
	}
}
