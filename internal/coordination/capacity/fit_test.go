package capacity

import (
	"math"
	"strings"
	"testing"
)

// made returns a series of points whose values value computes from size and run.
func made(k Key, sizes []int, value func(size, run int) float64) (all []Point) {
	for _, n := range sizes {
		for run := 1; run <= 3; run++ {
			all = append(all, Point{k.Workload, k.Role, k.Metric, n, run, value(n, run)})
		}
	}
	return all
}

var (
	renewals = Key{"renewals", "leader", "cpu_us_s"}
	steps    = []int{500, 1000, 2000, 3000, 12000}
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

// A line is found as it was made, and is trusted.
func TestLinearGrowthIsTrusted(t *testing.T) {
	all := Fit(&Measured{FitUpTo: 3000, Points: made(renewals, steps,
		func(n, _ int) float64 { return 700 + 40*float64(n) })})
	if len(all) != 1 {
		t.Fatal(all)
	}
	l := all[0]
	if !near(l.Intercept, 700) || !near(l.Slope, 40) || !near(l.Spread, 0) || !l.Trusted || l.Steep() || len(l.Sizes) != 4 {
		t.Errorf("%+v", l)
	}
	if l.Check == nil || l.Check.Size != 12000 || !near(l.Check.Error, 0) || !near(l.Check.Predicted, 480700) {
		t.Errorf("%+v", l.Check)
	}
}

// Quadratic growth is reported as faster than linear, and its line is not trusted.
func TestQuadraticGrowthIsNotTrusted(t *testing.T) {
	l := Fit(&Measured{FitUpTo: 3000, Points: made(renewals, steps,
		func(n, _ int) float64 { return float64(n) * float64(n) })})[0]
	if l.Trusted || !l.Steep() || !near(l.Exponent, 2) || !strings.Contains(l.Reason, "faster than linear") ||
		l.Check.Error > -maxError {
		t.Errorf("%+v %+v", l, l.Check)
	}
}

// A prediction is trusted up to an error of a fifth, and beyond it if the runs themselves differ by as much.
func TestPredictionsAreTrustedWithinTheirError(t *testing.T) {
	for _, c := range []struct {
		name     string
		seen     [3]float64 // of 12,000 predicted
		believed bool
		why      string
	}{
		{"a tenth", [3]float64{13200, 13200, 13200}, true, "-9% at 12,000"},
		{"just within", [3]float64{10001, 10001, 10001}, true, "+20% at 12,000"},
		{"a quarter too much", [3]float64{9600, 9600, 9600}, false, "wrong by +25%"},
		{"a quarter too little", [3]float64{16000, 16000, 16000}, false, "wrong by -25%"},
		{"within the runs", [3]float64{8000, 8000, 12001}, true, "within the runs, +29%"},
	} {
		points := made(renewals, steps, func(n, run int) float64 {
			if n == 12000 {
				return c.seen[run-1]
			}
			return float64(n)
		})
		l := Fit(&Measured{FitUpTo: 3000, Points: points})[0]
		if l.Trusted != c.believed || !strings.Contains(l.Reason, c.why) {
			t.Errorf("%s: %v: %s", c.name, l.Trusted, l.Reason)
		}
	}
}

// Too few sizes or runs give no line, and a line without a check is not trusted.
func TestTooFewPointsGiveNoLine(t *testing.T) {
	line := func(n, _ int) float64 { return float64(n) }
	if all := Fit(&Measured{FitUpTo: 3000, Points: made(renewals, []int{500, 1000, 2000, 12000}, line)}); all != nil {
		t.Errorf("three sizes: %+v", all)
	}
	points := made(renewals, steps, line)
	points[3] = points[0] // the second size has two runs
	points[3].Run = 4
	if all := Fit(&Measured{FitUpTo: 3000, Points: points}); all != nil {
		t.Errorf("two runs at a size: %+v", all)
	}
	all := Fit(&Measured{FitUpTo: 3000, Points: made(renewals, steps[:4], line)})
	if len(all) != 1 || all[0].Trusted || all[0].Check != nil || !strings.Contains(all[0].Reason, "no run above") {
		t.Errorf("no check: %+v", all)
	}
	// If nothing ran above, the largest of five is held out.
	held := Fit(&Measured{FitUpTo: 4000, Points: made(renewals, []int{500, 1000, 2000, 3000, 4000}, line)})
	if len(held) != 1 || !held[0].Trusted || held[0].Check.Size != 4000 || len(held[0].Sizes) != 4 {
		t.Errorf("held out: %+v", held)
	}
	square := func(n, _ int) float64 { return float64(n) * float64(n) }
	held = Fit(&Measured{FitUpTo: 4000, Points: made(renewals, []int{500, 1000, 2000, 3000, 4000}, square)})
	if len(held) != 1 || held[0].Trusted {
		t.Errorf("held out, a square: %+v", held)
	}
	if all := Fit(&Measured{FitUpTo: 3000, Points: made(renewals, steps,
		func(int, int) float64 { return 0 })}); !all[0].Trusted {
		t.Errorf("nothing at all, at any size: %+v", all[0])
	}
}

// Invalid files of points are refused, with the place.
func TestBadPoints(t *testing.T) {
	const good = `{"fit_up_to": 3000, "points": [
 {"workload": "w", "role": "r", "metric": "m", "size": 5, "run": 1, "value": 2.5}]}`
	if m, err := ParseMeasured("f", []byte(good)); err != nil || len(m.Points) != 1 {
		t.Fatal(m, err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"size": 5`, `"size": 0`, "f: points[0]: size: 0; write 1 or more"},
		{`"run": 1`, `"run": 0`, "f: points[0]: run: 0; write 1 or more"},
		{`"role": "r"`, `"role": ""`, "f: points[0]: workload, role or metric is missing"},
		{`"value"`, `"worth"`, `unknown field "worth"`},
		{good, "", "f: EOF"},
	} {
		if _, err := ParseMeasured("f", []byte(strings.Replace(good, c.from, c.to, 1))); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v", c.from, c.to, err)
		}
	}
}
