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

// boundOf is from how many requests a bound is drawn.
const boundOf = 100

// bound is the step of time that a tenth of some requests took longer than.
type bound struct {
	took [counts.Buckets]uint64
	of   uint64
	step int // once known; -1
}

func (b *bound) add(c counts.Class) {
	for i, n := range c.Latency {
		b.took[i] += n
		b.of += n
	}
	if b.step >= 0 || b.of < boundOf {
		return
	}
	above := b.of
	for i, n := range b.took {
		if above -= n; above*10 <= b.of {
			b.step = i
			return
		}
	}
}

// slow is how many of those served took longer than the bound.
func (b *bound) slow(c counts.Class) judge.Counts {
	k := judge.Counts{Of: float64(c.Served)}
	for _, n := range c.Latency[b.step+1:] {
		k.Hit += float64(n)
	}
	return k
}

// before says how the old sidecars that nobody has touched do worse than all did before the change; "": it is not known that they do.
func (e *Evidence) before(p rollout.Judgement) string {
	now, was := group{}, group{} // by class, over all zones
	for from, to := range map[*group]group{&e.since: now, &e.base: was} {
		for at, c := range *from {
			to.add(place{class: at.class}, c)
		}
	}
	for _, at := range slices.SortedFunc(maps.Keys(now), func(a, b place) int { return cmp.Compare(a.class, b.class) }) {
		all := ends
		b := bound{step: -1}
		if b.add(was[at]); b.step >= 0 {
			all = append(slices.Clip(ends), metric{"slow", b.slow})
		}
		for _, m := range all {
			n, o := m.of(now[at]), m.of(was[at])
			if o.Of < boundOf || n.Of == 0 {
				continue
			}
			least := judge.Least(n, o, p.FalseStops/float64((len(ends)+1)*len(now)))
			if a, b := n.Hit/n.Of, o.Hit/o.Of; least > 0 && a > b+p.Effect {
				return fmt.Sprintf("old sidecars do worse than before the change: %s of class %s: %.4f, before %.4f (at least %.4f more)", m.name, at.class, a, b, least)
			}
		}
	}
	return ""
}
