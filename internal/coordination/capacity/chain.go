package capacity

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
)

// The size of a point of calls is the depth of the chain. The metric begins with the class of the calls, if it matters, and ends with the
// load of the run, as look_added_p99_us_at_250_s or once_attempts_call_fail_50_pc; see internal/rig/chain.

// measuredAtRate returns a metric of calls at a depth and at a rate, or at the next larger rate: the largest of the classes and runs.
func (in *inputs) measuredAtRate(metric string, depth, rate Figure) Figure {
	name := regexp.MustCompile(`^(?:[a-z]+_)?` + metric + `_at_([0-9.]+)_s$`)
	chosen := math.Inf(1) // the rate
	var best []Key
	for _, k := range slices.SortedFunc(maps.Keys(in.points), byName) {
		m := name.FindStringSubmatch(k.Metric)
		if m == nil || k.Workload != "calls" || k.Role != "sidecar" || in.nextSize(k, depth) == 0 {
			continue
		}
		if r, err := strconv.ParseFloat(m[1], 64); err != nil || r < rate.Value*(1-1e-9) || r > chosen {
			continue
		} else if r < chosen {
			chosen, best = r, nil
		}
		best = append(best, k)
	}
	what := fmt.Sprintf("calls/sidecar/%s at %s calls a second, depth %s", metric, number(rate.Value),
		number(depth.Value))
	return in.largest(best, what, depth).with(rate)
}

// measuredWithFailures returns a metric of runs in which a fraction of the leaf's requests failed, at a depth or the next larger one: the
// largest of the fractions, classes and runs.
func (in *inputs) measuredWithFailures(metric string, depth Figure) Figure {
	name := regexp.MustCompile(`^(?:[a-z]+_)?` + metric + `_fail_[0-9.]+_pc$`)
	var all []Key
	for _, k := range slices.SortedFunc(maps.Keys(in.points), byName) {
		if k.Workload == "chain" && k.Role == "leaf" && name.MatchString(k.Metric) {
			all = append(all, k)
		}
	}
	return in.largest(all, fmt.Sprintf("chain/leaf/%s at depth %s", metric, number(depth.Value)), depth)
}

// byName orders series by name.
func byName(a, b Key) int {
	if a.String() < b.String() {
		return -1
	}
	return 1
}

// nextSize returns the smallest size of a series' points that is at least minSize; 0: there is none.
func (in *inputs) nextSize(k Key, minSize Figure) int {
	for _, s := range slices.Sorted(maps.Keys(in.points[k])) {
		if float64(s) >= minSize.Value*(1-1e-9) {
			return s
		}
	}
	return 0
}

// largest returns the largest value of some series at a size. what names what is missing if there is none.
func (in *inputs) largest(all []Key, what string, size Figure) Figure {
	f := Figure{Missing: []string{what}}
	for _, k := range all {
		if one := in.observed(k, size); len(f.Missing) > 0 || one.Value > f.Value {
			f = one
		}
	}
	return f.with(size)
}
