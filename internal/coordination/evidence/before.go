package evidence

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// slowBoundSample is from how many requests a bound is drawn.
const slowBoundSample = 100

// slowBound is the step of time that a tenth of some requests took longer than.
type slowBound struct {
	took     [counts.Buckets]uint64
	requests uint64
	step     int // once known; -1
}

func (b *slowBound) add(c counts.Class) {
	for i, n := range c.Latency {
		b.took[i] += n
		b.requests += n
	}
	if b.step >= 0 || b.requests < slowBoundSample {
		return
	}
	above := b.requests
	for i, n := range b.took {
		if above -= n; above*10 <= b.requests {
			b.step = i
			return
		}
	}
}

// slow is how many of those served took longer than the bound.
func (b *slowBound) slow(c counts.Class) judge.Counts {
	k := judge.Counts{Total: float64(c.Served)}
	for _, n := range c.Latency[b.step+1:] {
		k.Hits += float64(n)
	}
	return k
}

// baselineDifference says how the old sidecars that nobody has touched do worse than all did before the change; "": it is not known that they do.
func (e *Evidence) baselineDifference(p rollout.JudgeConfig) string {
	now, was := countsByCell{}, countsByCell{} // by class, over all zones
	for from, to := range map[*countsByCell]countsByCell{&e.untouched: now, &e.baseline: was} {
		for at, c := range *from {
			to.add(cellKey{class: at.class}, c)
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(now), func(a, b cellKey) int { return cmp.Compare(a.class, b.class) }) {
		all := outcomeMetrics
		b := slowBound{step: -1}
		if b.add(was[at]); b.step >= 0 {
			all = append(slices.Clip(outcomeMetrics), rateMetric{"slow", b.slow})
		}
		for _, m := range all {
			n, o := m.counts(now[at]), m.counts(was[at])
			if o.Total < slowBoundSample || n.Total == 0 {
				continue
			}
			least := judge.MinDifference(n, o, p.FalseStopRate/float64((len(outcomeMetrics)+1)*len(now)))
			if a, b := n.Hits/n.Total, o.Hits/o.Total; least > 0 && a > b+p.MinEffect {
				return fmt.Sprintf("old sidecars do worse than before the change: %s of class %s: %.4f, before %.4f (at least %.4f more)", m.name, at.class, a, b, least)
			}
		}
	}
	return ""
}
