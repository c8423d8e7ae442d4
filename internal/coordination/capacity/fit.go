package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// The bounds of a fit.
const (
	minSizes          = 4    // that a line is fitted on
	minRuns           = 3    // at each of them
	maxError          = 0.2  // part of what was seen by which a prediction may be wrong
	maxLinearExponent = 1.15 // exponent from which on growth is called faster than linear
)

// Line is a straight line through what was measured: Base + Each × members, and what speaks for it.
type Line struct {
	Key
	Intercept float64 `json:"base"`
	Slope     float64 `json:"each"`
	Sizes     []int   `json:"sizes"`    // that it was fitted on
	Spread    float64 `json:"spread"`   // root of the mean square of what it misses on them, over their mean
	Exponent  float64 `json:"exponent"` // of all sizes by logarithms: 1 is linear
	Check     *Check  `json:"check,omitempty"`
	Believed  bool    `json:"believed"`
	Reason    string  `json:"why"` // it is believed, or not
}

// Check is a prediction beside what was seen.
type Check struct {
	Size      int     `json:"size"`
	Predicted float64 `json:"predicted"`
	Seen      float64 `json:"seen"`  // the mean of the runs there
	Low       float64 `json:"low"`   // their least
	High      float64 `json:"high"`  // and their largest
	Error     float64 `json:"error"` // of the prediction, a part of what was seen
}

// Predict is what the line says for a number of members.
func (l *Line) Predict(members float64) float64 { return l.Intercept + l.Slope*members }

// Steep reports whether it grows faster than linear.
func (l *Line) Steep() bool { return l.Exponent > maxLinearExponent }

// Fit fits a line to each series that has enough sizes and runs up to FitUpTo, and checks it at the largest size above. Where there is
// none above, the largest is held out for the check, if enough are left.
func Fit(m *Measured) (all []Line) {
	keys, points := m.bySeries()
	for _, k := range keys {
		if l, ok := fit(k, points[k], m.FitUpTo); ok {
			all = append(all, l)
		}
	}
	return all
}

func fit(k Key, points series, upTo int) (Line, bool) {
	l := Line{Key: k}
	var x, y, logX, logY []float64
	sizes := slices.Sorted(maps.Keys(points))
	largest := sizes[len(sizes)-1]
	check := 0
	if largest > upTo || len(sizes) > minSizes {
		check = largest
	}
	for _, size := range sizes {
		if size <= upTo && size != check && len(points[size]) >= minRuns {
			l.Sizes = append(l.Sizes, size)
			for _, v := range points[size] {
				x, y = append(x, float64(size)), append(y, v)
			}
		}
		for _, v := range points[size] {
			if v > 0 {
				logX, logY = append(logX, math.Log(float64(size))), append(logY, math.Log(v))
			}
		}
	}
	if len(l.Sizes) < minSizes {
		return l, false
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		squares += math.Pow(y[i]-l.Predict(x[i]), 2)
	}
	if mean := math.Abs(stat.Mean(y, nil)); mean > 0 {
		l.Spread = math.Sqrt(squares/float64(len(x))) / mean
	}
	if len(logX) > 1 && slices.Min(logX) < slices.Max(logX) {
		_, l.Exponent = stat.LinearRegression(logX, logY, nil, false)
	}
	l.judge(points[check], check)
	return l, true
}

// judge says whether a line is believed: its prediction at a larger size is within a fifth of what was seen, or
// within the runs.
func (l *Line) judge(runs []float64, size int) {
	grows := fmt.Sprintf("grows with the power %.2f", l.Exponent)
	if l.Steep() {
		grows = fmt.Sprintf("grows faster than linear, with the power %.2f", l.Exponent)
	}
	if len(runs) == 0 {
		l.Reason = "no run above the sizes that it was fitted on checks it; it " + grows
		return
	}
	c := &Check{Size: size, Predicted: l.Predict(float64(size)), Seen: stat.Mean(runs, nil), Low: slices.Min(runs),
		High: slices.Max(runs)}
	l.Check = c
	if c.Seen != 0 {
		c.Error = c.Predicted/c.Seen - 1
	} else if c.Predicted != 0 {
		c.Error = math.Copysign(1, c.Predicted)
	}
	within := c.Predicted >= c.Low && c.Predicted <= c.High
	l.Believed = math.Abs(c.Error) <= maxError || within
	what := fmt.Sprintf("%+.0f%% at %s", 100*c.Error, number(float64(size)))
	switch {
	case !l.Believed:
		l.Reason = "wrong by " + what + "; it " + grows
	case math.Abs(c.Error) > maxError:
		l.Reason = "within the runs, " + what + "; it " + grows
	default:
		l.Reason = what + "; it " + grows
	}
}
