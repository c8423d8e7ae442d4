package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Figure is a number with its sources. If measurements are missing, Value is a lower bound.
type Figure struct {
	Value   float64  `json:"value"`
	From    []string `json:"from,omitempty"`    // names of assumptions, slopes and points
	Missing []string `json:"missing,omitempty"` // what was not measured
	Error   float64  `json:"error,omitempty"`   // the largest relative error of the slopes among its sources, at their check
}

// union returns the distinct elements of both, in order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// with returns the figure with the sources, missing measurements and error of others added.
func (f Figure) with(others ...Figure) Figure {
	for _, o := range others {
		f.From, f.Missing, f.Error = union(f.From, o.From), union(f.Missing, o.Missing), max(f.Error, o.Error)
	}
	return f
}

// add returns the sum. A term without a measurement counts as 0, and the sum names what is missing.
func add(all ...Figure) Figure {
	sum := 0.0
	for _, f := range all {
		sum += f.Value
	}
	return Figure{Value: sum}.with(all...)
}

// mul returns the product. It is a lower bound if one of the factors is a lower bound.
func mul(all ...Figure) Figure {
	product := 1.0
	for _, f := range all {
		product *= f.Value
	}
	return Figure{Value: product}.with(all...)
}

// div returns the quotient. If the divisor is a lower bound or missing, the quotient is unknown: its value is 0.
func div(a, b Figure) Figure {
	f := Figure{}.with(a, b)
	if len(b.Missing) == 0 {
		f.Value = a.Value / b.Value
	}
	return f
}

// times multiplies by a number that has no source, such as a conversion of units.
func (f Figure) times(n float64) Figure { f.Value *= n; return f }

// inputs holds what figures are computed from: assumptions and measurements.
type inputs struct {
	assumptions *Assumptions
	lines       map[Key]Line
	points      map[Key]series
	// A cache of sizeWeightedMean by servers, services and largest: computing it takes long, and Sensitivities needs few
	// different results.
	weightedMeanSizes map[[3]float64]float64
}

func newInputs(a *Assumptions, m *Measured) *inputs {
	in := &inputs{assumptions: a, lines: map[Key]Line{}, weightedMeanSizes: map[[3]float64]float64{}}
	_, in.points = m.bySeries()
	if m != nil {
		for _, l := range Fit(m) {
			in.lines[l.Key] = l
		}
	}
	return in
}

// weightedMeanSize returns the mean, over all servers, of the size of the server's service.
func (in *inputs) weightedMeanSize() Figure {
	key := [3]float64{in.assumptions.Get("target.servers"), in.assumptions.Get("target.services"),
		in.assumptions.Get("shape.largest")}
	v, known := in.weightedMeanSizes[key]
	if !known {
		v = sizeWeightedMean(Sizes(key[0], key[1], key[2]))
		in.weightedMeanSizes[key] = v
	}
	return Figure{Value: v}.with(in.assumption("target.servers"), in.assumption("target.services"), in.assumption("shape.largest"))
}

// assumption returns an assumption as a figure.
func (in *inputs) assumption(name string) Figure {
	return Figure{Value: in.assumptions.Get(name), From: []string{name}}
}

// measured returns the value of a series at a size: the prediction of its line if that is trusted, otherwise the largest of the
// runs at that size or the next larger one. If there is no such run either, the figure is missing.
func (in *inputs) measured(workload, role, metric string, size Figure) Figure {
	k := Key{workload, role, metric}
	n := size.Value
	if l, ok := in.lines[k]; ok && l.Trusted {
		return Figure{Value: l.Predict(n), From: []string{"slope " + k.String()}, Error: math.Abs(l.Check.Error)}.with(size)
	}
	return in.observed(k, size)
}

// observed returns the largest value of the runs at a size or the next larger one. Without such a run the figure is missing.
func (in *inputs) observed(k Key, size Figure) Figure {
	if measuredSize := in.nextSize(k, size); measuredSize > 0 {
		return Figure{Value: slices.Max(in.points[k][measuredSize]),
			From: []string{fmt.Sprintf("point %s at %s", k, number(float64(measuredSize)))}}.with(size)
	}
	return Figure{Missing: []string{in.missingReason(k, size.Value)}}.with(size)
}

// inForce returns how long a change took until it was in force at the last member. The workloads have two names for this metric.
func (in *inputs) inForce(workload, role string, size Figure) Figure {
	if len(in.points[Key{workload, role, "in_force_s"}]) > 0 {
		return in.measured(workload, role, "in_force_s", size)
	}
	return in.measured(workload, role, "in_force_max_s", size)
}

// missingReason describes the measurement that is missing at a size.
func (in *inputs) missingReason(k Key, size float64) string {
	if l, ok := in.lines[k]; ok {
		return fmt.Sprintf("%s (its slope is not trusted: %s)", k, l.Reason)
	}
	if len(in.points[k]) > 0 && size > 0 {
		return fmt.Sprintf("%s at %s", k, number(size))
	}
	return k.String()
}
