package capacity

import (
	"math"
	"strings"
	"testing"
)

// pointsFrom returns the points of a series, three runs at each size. value computes them from size and run.
func pointsFrom(k Key, sizes []int, value func(size, run int) float64) (all []Point) {
	for _, n := range sizes {
		for run := 1; run <= 3; run++ {
			all = append(all, Point{k.Workload, k.Role, k.Metric, n, run, value(n, run)})
		}
	}
	return all
}

var (
	renewalsKey = Key{"renewals", "leader", "cpu_us_s"}
	testSizes   = []int{500, 1000, 2000, 3000, 12000}
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

// The fit finds the line that the points lie on, and trusts it.
func TestLinearGrowthIsTrusted(t *testing.T) {
	all := Fit(&Measured{FitUpTo: 3000, Points: pointsFrom(renewalsKey, testSizes,
		func(n, _ int) float64 { return 700 + 40*float64(n) })})
	if len(all) != 1 {
		t.Fatal(all)
	}
	l := all[0]
	if !almostEqual(l.Intercept, 700) || !almostEqual(l.Slope, 40) || !almostEqual(l.Spread, 0) || !l.Trusted || l.Superlinear() || len(l.Sizes) != 4 {
		t.Errorf("%+v", l)
	}
	if l.Check == nil || l.Check.Size != 12000 || !almostEqual(l.Check.Error, 0) || !almostEqual(l.Check.Predicted, 480700) {
		t.Errorf("%+v", l.Check)
	}
}

// Quadratic growth is reported as faster than linear, and its line is not trusted.
func TestQuadraticGrowthIsNotTrusted(t *testing.T) {
	l := Fit(&Measured{FitUpTo: 3000, Points: pointsFrom(renewalsKey, testSizes,
		func(n, _ int) float64 { return float64(n) * float64(n) })})[0]
	if l.Trusted || !l.Superlinear() || !almostEqual(l.Exponent, 2) || !strings.Contains(l.Reason, "faster than linear") ||
		l.Check.Error > -maxError {
		t.Errorf("%+v %+v", l, l.Check)
	}
}

// A prediction is trusted up to an error of a fifth, and beyond it if the runs themselves differ by as much.
func TestPredictionsAreTrustedWithinTheirError(t *testing.T) {
	for _, c := range []struct {
		name     string
		measured [3]float64 // the three runs at the size 12,000, for which 12,000 is predicted
		trusted  bool
		reason   string
	}{
		{"a tenth", [3]float64{13200, 13200, 13200}, true, "-9% at 12,000"},
		{"just within", [3]float64{10001, 10001, 10001}, true, "+20% at 12,000"},
		{"a quarter too much", [3]float64{9600, 9600, 9600}, false, "wrong by +25%"},
		{"a quarter too little", [3]float64{16000, 16000, 16000}, false, "wrong by -25%"},
		{"within the runs", [3]float64{8000, 8000, 12001}, true, "within the runs, +29%"},
	} {
		points := pointsFrom(renewalsKey, testSizes, func(n, run int) float64 {
			if n == 12000 {
				return c.measured[run-1]
			}
			return float64(n)
		})
		l := Fit(&Measured{FitUpTo: 3000, Points: points})[0]
		if l.Trusted != c.trusted || !strings.Contains(l.Reason, c.reason) {
			t.Errorf("%s: %v: %s", c.name, l.Trusted, l.Reason)
		}
	}
}

// Too few sizes or runs give no line, and a line without a check is not trusted.
func TestTooFewPointsGiveNoLine(t *testing.T) {
	linear := func(n, _ int) float64 { return float64(n) }
	if all := Fit(&Measured{FitUpTo: 3000, Points: pointsFrom(renewalsKey, []int{500, 1000, 2000, 12000}, linear)}); all != nil {
		t.Errorf("three sizes: %+v", all)
	}
	points := pointsFrom(renewalsKey, testSizes, linear)
	points[3] = points[0] // the second size has two runs
	points[3].Run = 4
	if all := Fit(&Measured{FitUpTo: 3000, Points: points}); all != nil {
		t.Errorf("two runs at a size: %+v", all)
	}
	all := Fit(&Measured{FitUpTo: 3000, Points: pointsFrom(renewalsKey, testSizes[:4], linear)})
	if len(all) != 1 || all[0].Trusted || all[0].Check != nil || !strings.Contains(all[0].Reason, "no run above") {
		t.Errorf("no check: %+v", all)
	}
	// If no run is larger than FitUpTo, the largest of five sizes is held out.
	heldOut := Fit(&Measured{FitUpTo: 4000, Points: pointsFrom(renewalsKey, []int{500, 1000, 2000, 3000, 4000}, linear)})
	if len(heldOut) != 1 || !heldOut[0].Trusted || heldOut[0].Check.Size != 4000 || len(heldOut[0].Sizes) != 4 {
		t.Errorf("held out: %+v", heldOut)
	}
	quadratic := func(n, _ int) float64 { return float64(n) * float64(n) }
	heldOut = Fit(&Measured{FitUpTo: 4000, Points: pointsFrom(renewalsKey, []int{500, 1000, 2000, 3000, 4000}, quadratic)})
	if len(heldOut) != 1 || heldOut[0].Trusted {
		t.Errorf("held out, quadratic growth: %+v", heldOut)
	}
	if all := Fit(&Measured{FitUpTo: 3000, Points: pointsFrom(renewalsKey, testSizes,
		func(int, int) float64 { return 0 })}); !all[0].Trusted {
		t.Errorf("zero at every size: %+v", all[0])
	}
}

// Invalid files of points are rejected, with the position.
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
