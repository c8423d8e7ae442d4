package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// The conditions of a fit.
const (
	minSizes          = 4    // minimum number of sizes that a line is fitted on
	minRuns           = 3    // minimum number of runs at each of these sizes
	maxError          = 0.2  // largest error of a trusted prediction, as a fraction of the measured mean
	maxLinearExponent = 1.15 // a larger exponent counts as growth that is faster than linear

	machineEpsilon = 0x1p-52 // relative distance of two neighbouring float64 values
)

// Line is a straight line through the points of a series, Intercept + Slope × members, and how well it fits.
type Line struct {
	Key
	Intercept float64     `json:"base"`
	Slope     float64     `json:"each"`
	Sizes     []int       `json:"sizes"`    // the sizes that it was fitted on
	Spread    float64     `json:"spread"`   // root mean square of the residuals, divided by the mean
	Exponent  float64     `json:"exponent"` // of a fit of the logarithms of all sizes: 1 is linear
	Check     *Prediction `json:"check,omitempty"`
	Trusted   bool        `json:"believed"`
	Reason    string      `json:"why"` // why it is trusted or not
}

// Prediction compares the line with the runs at a size that it was not fitted on.
type Prediction struct {
	Size         int     `json:"size"`
	Predicted    float64 `json:"predicted"`
	MeasuredMean float64 `json:"seen"` // of the runs there
	MeasuredMin  float64 `json:"low"`
	MeasuredMax  float64 `json:"high"`
	Error        float64 `json:"error"` // of the prediction, as a fraction of the mean
}

// Predict returns the value of the line for a number of members.
func (l *Line) Predict(members float64) float64 { return l.Intercept + l.Slope*members }

// Superlinear reports whether the series grows faster than linear.
func (l *Line) Superlinear() bool { return l.Exponent > maxLinearExponent }

// Fit fits a line to each series that has enough sizes and runs up to FitUpTo, and checks it at the largest size above FitUpTo.
// If there is no larger size, the largest of all is held out for the check, provided that enough sizes remain for the fit.
func Fit(m *Measured) (all []Line) {
	keys, points := m.bySeries()
	for _, k := range keys {
		if l, ok := fit(k, points[k], m.FitUpTo); ok {
			all = append(all, l)
		}
	}
	return all
}

// fit fits a line to one series. ok is false if it has too few sizes or runs.
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
	l.Intercept, l.Slope = linearRegression(x, y)
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
	l.check(points[check], check)
	return l, true
}

// linearRegression fits a line by least squares. A coefficient that changes no value by more than the rounding error of the data
// is 0, so that the result does not depend on whether the processor rounds between a multiplication and an addition.
func linearRegression(x, y []float64) (intercept, slope float64) {
	intercept, slope = stat.LinearRegression(x, y, nil, false)
	largest := max(math.Abs(slices.Min(y)), math.Abs(slices.Max(y)))
	roundingError := float64(len(y)) * machineEpsilon * largest
	if math.Abs(slope)*(slices.Max(x)-slices.Min(x)) <= roundingError {
		intercept, slope = stat.Mean(y, nil), 0
	}
	if math.Abs(intercept) <= roundingError {
		intercept = 0
	}
	return intercept, slope
}

// check decides whether a line is trusted: its prediction at a larger size has an error of at most maxError, or lies between the
// smallest and the largest run.
func (l *Line) check(runs []float64, size int) {
	growth := fmt.Sprintf("grows with the power %.2f", l.Exponent)
	if l.Superlinear() {
		growth = fmt.Sprintf("grows faster than linear, with the power %.2f", l.Exponent)
	}
	if len(runs) == 0 {
		l.Reason = "no run above the sizes that it was fitted on checks it; it " + growth
		return
	}
	c := &Prediction{Size: size, Predicted: l.Predict(float64(size)), MeasuredMean: stat.Mean(runs, nil), MeasuredMin: slices.Min(runs),
		MeasuredMax: slices.Max(runs)}
	l.Check = c
	if c.MeasuredMean != 0 {
		c.Error = c.Predicted/c.MeasuredMean - 1
	} else if c.Predicted != 0 {
		c.Error = math.Copysign(1, c.Predicted)
	}
	withinRuns := c.Predicted >= c.MeasuredMin && c.Predicted <= c.MeasuredMax
	l.Trusted = math.Abs(c.Error) <= maxError || withinRuns
	errorAtSize := fmt.Sprintf("%+.0f%% at %s", 100*c.Error, number(float64(size)))
	switch {
	case !l.Trusted:
		l.Reason = "wrong by " + errorAtSize + "; it " + growth
	case math.Abs(c.Error) > maxError:
		l.Reason = "within the runs, " + errorAtSize + "; it " + growth
	default:
		l.Reason = errorAtSize + "; it " + growth
	}
}
