package evidence

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
)

// byClass returns the counts of each class, summed over all zones.
func (c countsByCell) byClass() countsByCell {
	sums := countsByCell{}
	for key, counted := range c {
		sums.add(cellKey{class: key.class}, counted)
	}
	return sums
}

// baselineDifference compares the old sidecars that the change has not touched with all sidecars before the change. It returns a
// description of the first metric that is worse now; "": none is known to be worse.
func (e *Evidence) baselineDifference(config rollout.JudgeConfig) string {
	now, before := e.untouched.byClass(), e.baseline.byClass()
	alpha := config.FalseStopRate / float64((len(outcomeMetrics)+1)*len(now))
	for _, key := range slices.SortedFunc(maps.Keys(now), func(a, b cellKey) int { return cmp.Compare(a.class, b.class) }) {
		metrics := outcomeMetrics
		bound := slowBound{step: -1}
		if bound.add(before[key]); bound.step >= 0 {
			metrics = append(slices.Clip(outcomeMetrics), rateMetric{slowMetric, bound.slow})
		}
		for _, m := range metrics {
			nowCounts, beforeCounts := m.counts(now[key]), m.counts(before[key])
			if beforeCounts.Total < slowBoundSample || nowCounts.Total == 0 {
				continue
			}
			atLeast := judge.MinDifference(nowCounts, beforeCounts, alpha)
			nowRate, beforeRate := nowCounts.Hits/nowCounts.Total, beforeCounts.Hits/beforeCounts.Total
			if atLeast > 0 && nowRate > beforeRate+config.MinEffect {
				return fmt.Sprintf("old sidecars do worse than before the change: %s of class %s: %.4f, before %.4f (at least %.4f more)",
					m.name, key.class, nowRate, beforeRate, atLeast)
			}
		}
	}
	return ""
}
