package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Figure is a number that knows where it comes from. Sums of figures of which some are missing are a least value.
type Figure struct {
	Value   float64  `json:"value"`
	From    []string `json:"from,omitempty"`    // assumptions, slopes and points, by name
	Missing []string `json:"missing,omitempty"` // what was not measured
	Error   float64  `json:"error,omitempty"`   // the largest of its slopes at their check
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// with carries over where others come from.
func (f Figure) with(others ...Figure) Figure {
	for _, o := range others {
		f.From, f.Missing, f.Error = union(f.From, o.From), union(f.Missing, o.Missing), max(f.Error, o.Error)
	}
	return f
}

// add is the sum of all; what is missing counts nothing, and is named.
func add(all ...Figure) Figure {
	sum := 0.0
	for _, f := range all {
		sum += f.Value
	}
	return Figure{Value: sum}.with(all...)
}

// mul is the product. Of factors of which some are least values it is one too.
func mul(all ...Figure) Figure {
	product := 1.0
	for _, f := range all {
		product *= f.Value
	}
	return Figure{Value: product}.with(all...)
}

// div is the quotient. Nothing is known of it where the divisor is a least value, or missing.
func div(a, b Figure) Figure {
	f := Figure{}.with(a, b)
	if len(b.Missing) == 0 {
		f.Value = a.Value / b.Value
	}
	return f
}

// times is a figure as many times; a number needs no source where it is a unit's, as 60 s a minute.
func (f Figure) times(n float64) Figure { f.Value *= n; return f }

// inputs is what figures are made of: assumptions and what was measured.
type inputs struct {
	assumptions *Assumptions
	lines       map[Key]Line
	points      map[Key]series
	// what seen gave for servers, services and largest: it takes long, and few of them differ
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

// weightedMeanSize is the mean size of a service as a server sees its own.
func (in *inputs) weightedMeanSize() Figure {
	of := [3]float64{in.assumptions.Get("target.servers"), in.assumptions.Get("target.services"),
		in.assumptions.Get("shape.largest")}
	v, known := in.weightedMeanSizes[of]
	if !known {
		v = sizeWeightedMean(Sizes(of[0], of[1], of[2]))
		in.weightedMeanSizes[of] = v
	}
	return Figure{Value: v}.with(in.assumption("target.servers"), in.assumption("target.services"), in.assumption("shape.largest"))
}

// assumption an assumption.
func (in *inputs) assumption(name string) Figure {
	return Figure{Value: in.assumptions.Get(name), From: []string{name}}
}

// measured is what was measured of a series for a size: by its line where that is believed, else what was seen at that size
// or the next larger one, the largest of the runs; else it is missing.
func (in *inputs) measured(workload, role, metric string, size Figure) Figure {
	k := Key{workload, role, metric}
	n := size.Value
	if l, ok := in.lines[k]; ok && l.Believed {
		return Figure{Value: l.Predict(n), From: []string{"slope " + k.String()}, Error: math.Abs(l.Check.Error)}.with(size)
	}
	return in.observed(k, size)
}

// observed is the point at a size or the next larger one.
func (in *inputs) observed(k Key, size Figure) Figure {
	if s := in.nextSize(k, size); s > 0 {
		return Figure{Value: slices.Max(in.points[k][s]),
			From: []string{fmt.Sprintf("point %s at %s", k, number(float64(s)))}}.with(size)
	}
	return Figure{Missing: []string{in.missingReason(k, size.Value)}}.with(size)
}

// inForce is when a change was in force at the last of the members, which workloads call by two names.
func (in *inputs) inForce(workload, role string, size Figure) Figure {
	if len(in.points[Key{workload, role, "in_force_s"}]) > 0 {
		return in.measured(workload, role, "in_force_s", size)
	}
	return in.measured(workload, role, "in_force_max_s", size)
}

func (in *inputs) missingReason(k Key, size float64) string {
	if l, ok := in.lines[k]; ok {
		return fmt.Sprintf("%s (its slope is not believed: %s)", k, l.Reason)
	}
	if len(in.points[k]) > 0 && size > 0 {
		return fmt.Sprintf("%s at %s", k, number(size))
	}
	return k.String()
}
