package capacity

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
)

// For the workloads "calls" and "chain", the size of a measured point is the depth of a chain of calls. The name of the metric
// begins with the class of the calls, if the metric depends on the class, and ends with the load of the run:
// look_added_p99_us_at_250_s, once_attempts_call_fail_50_pc. Package internal/rig/chain produces these points.

// measuredAtRate returns the largest value of a metric of calls, over all classes and runs, at a depth and a rate. The depth and
// the rate are each rounded up to the next measured one.
func (in *inputs) measuredAtRate(metric string, depth, rate Figure) Figure {
	pattern := regexp.MustCompile(`^(?:[a-z]+_)?` + metric + `_at_([0-9.]+)_s$`)
	chosenRate := math.Inf(1)
	var keys []Key
	for _, k := range slices.SortedFunc(maps.Keys(in.points), byName) {
		m := pattern.FindStringSubmatch(k.Metric)
		if m == nil || k.Workload != "calls" || k.Role != "sidecar" || in.nextSize(k, depth) == 0 {
			continue
		}
		if r, err := strconv.ParseFloat(m[1], 64); err != nil || r < rate.Value*(1-1e-9) || r > chosenRate {
			continue
		} else if r < chosenRate {
			chosenRate, keys = r, nil
		}
		keys = append(keys, k)
	}
	missing := fmt.Sprintf("calls/sidecar/%s at %s calls a second, depth %s", metric, number(rate.Value),
		number(depth.Value))
	return in.largest(keys, missing, depth).with(rate)
}

// measuredWithFailures returns a metric of runs in which a fraction of the requests to the leaf fails, at a depth or the next
// larger one that was measured: the largest value of all fractions, classes and runs.
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

// byName compares the keys of two series by name.
func byName(a, b Key) int {
	if a.String() < b.String() {
		return -1
	}
	return 1
}

// nextSize returns the smallest measured size of a series that is at least minSize; 0: there is none.
func (in *inputs) nextSize(k Key, minSize Figure) int {
	for _, s := range slices.Sorted(maps.Keys(in.points[k])) {
		if float64(s) >= minSize.Value*(1-1e-9) {
			return s
		}
	}
	return 0
}

// largest returns the largest value of the series at a size or the next larger one. missing describes the measurement that the
// figure lacks if no series has such a size.
func (in *inputs) largest(all []Key, missing string, size Figure) Figure {
	f := Figure{Missing: []string{missing}}
	for _, k := range all {
		if candidate := in.observed(k, size); len(f.Missing) > 0 || candidate.Value > f.Value {
			f = candidate
		}
	}
	return f.with(size)
}
