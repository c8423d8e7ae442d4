package evidence

import (
	"cmp"
	"maps"
	"slices"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// windowCounts holds the counts of new and control in one cell, added up over polls until both sides have finished requests.
type windowCounts struct {
	cellKey
	new, control counts.Class
}

// judgeWindow passes the cells in which both sides have counts to the judge, and compares usage. The judge is created when the
// first cell has counts of both sides.
func (e *Evidence) judgeWindow(c *rollout.Change, newCounts, controlCounts countsByCell) error {
	e.collect(newCounts, controlCounts)
	complete, classes := e.takeComplete()
	if e.judge == nil {
		if len(complete) == 0 {
			return nil
		}
		if err := e.newJudge(c, classes); err != nil {
			return err
		}
	}
	for _, class := range slices.Sorted(maps.Keys(complete)) {
		if err := e.addWindow(class, complete[class]); err != nil {
			return err
		}
	}
	return e.compareUsage(c.State.Plan.ProgressTimeout)
}

// collect adds the counts of a poll to the incomplete windows. Control counts are dropped until the same cell has new counts.
func (e *Evidence) collect(newCounts, controlCounts countsByCell) {
	for key, counted := range newCounts {
		w := e.incomplete[key]
		if w == nil {
			w = &windowCounts{cellKey: key}
			e.incomplete[key] = w
		}
		w.new = addClasses(w.new, counted)
	}
	for key, counted := range controlCounts {
		if w := e.incomplete[key]; w != nil {
			w.control = addClasses(w.control, counted)
		}
	}
}

// takeComplete removes the windows that have counts of both sides and returns them by class. classes is the number of classes
// that had a window.
func (e *Evidence) takeComplete() (complete map[string][]windowCounts, classes int) {
	complete, known := map[string][]windowCounts{}, map[string]bool{}
	keys := slices.SortedFunc(maps.Keys(e.incomplete), func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone))
	})
	for _, key := range keys {
		known[key.class] = true
		if w := e.incomplete[key]; finished(w.new) > 0 && finished(w.control) > 0 {
			complete[key.class] = append(complete[key.class], *w)
			delete(e.incomplete, key)
		}
	}
	return complete, len(known)
}

// newJudge creates the judge of a stage. The plan's rate of false stops is shared by the cells of all stages.
func (e *Evidence) newJudge(c *rollout.Change, classes int) (err error) {
	s, zones := c.State, map[string]bool{}
	for _, m := range c.Members {
		zones[m.Zone] = true
	}
	for _, r := range e.lastReadings { // classes that have no requests yet may have some later
		classes = max(classes, len(r.Classes))
	}
	rates, zoneCells := len(outcomeMetrics)+1, len(zones)+1 // one more rate for slow requests, one more zone for all zones together
	e.judge, err = judge.New(judge.Plan{FalseStopRate: s.Plan.Judge.FalseStopRate, MissedStopRate: s.Plan.Judge.MissedStopRate,
		MinEffect: s.Plan.Judge.MinEffect, MaxCells: (rates*classes*zoneCells + pairedMetrics) * len(s.Plan.Stages)})
	return err
}

// addWindow passes a window of a class to the judge: each zone by itself, and all zones together.
func (e *Evidence) addWindow(class string, zones []windowCounts) error {
	var slow []comparison // of each zone that has a bound
	for _, w := range zones {
		inZone, bounded, err := e.addZone(class, w)
		if err != nil {
			return err
		}
		if bounded {
			slow = append(slow, inZone)
		}
	}
	for _, m := range outcomeMetrics {
		var all []comparison
		for _, w := range zones {
			all = append(all, comparison{m.counts(w.new), m.counts(w.control)})
		}
		if err := e.addComparison(judge.Cell{Class: class, Zone: allZones, Metric: m.name}, weightByZone(all)); err != nil {
			return err
		}
	}
	// While no zone has a bound, the slow requests of the class have no counts, so that the class cannot be shown to be no worse.
	return e.addComparison(judge.Cell{Class: class, Zone: allZones, Metric: slowMetric}, weightByZone(slow))
}

// comparison holds the counts of one metric of new and control over the same time.
type comparison struct{ new, control judge.Counts }

func (e *Evidence) addComparison(cell judge.Cell, c comparison) error {
	return e.judge.Add(cell, c.new, c.control)
}

// addZone passes a window of a class in one zone to the judge. It returns the counts of slow requests. bounded is false as long
// as the requests that the bound is computed from are counted, which includes the window that completes them.
func (e *Evidence) addZone(class string, w windowCounts) (slow comparison, bounded bool, err error) {
	for _, m := range outcomeMetrics {
		cell := judge.Cell{Class: class, Zone: w.zone, Metric: m.name, Advisory: true}
		if err := e.addComparison(cell, comparison{m.counts(w.new), m.counts(w.control)}); err != nil {
			return comparison{}, false, err
		}
	}
	bound := e.slowBounds[w.cellKey]
	if bound == nil {
		bound = &slowBound{step: -1}
		e.slowBounds[w.cellKey] = bound
	}
	if bound.step < 0 {
		bound.add(w.control)
		return comparison{}, false, nil
	}
	slow = comparison{bound.slow(w.new), bound.slow(w.control)}
	cell := judge.Cell{Class: class, Zone: w.zone, Metric: slowMetric, Advisory: true}
	if err := e.addComparison(cell, slow); err != nil {
		return comparison{}, false, err
	}
	return slow, true, nil
}

// weightByZone sums up the zones of a class that have counts of both sides. Each zone's control is weighted so that the zone has
// the same share of the sum on both sides; the largest weight is 1.
func weightByZone(zones []comparison) (sum comparison) {
	maxRatio := 0.0
	for _, zone := range zones {
		if zone.control.Total > 0 {
			maxRatio = max(maxRatio, zone.new.Total/zone.control.Total)
		}
	}
	for _, zone := range zones {
		if zone.new.Total == 0 || zone.control.Total == 0 {
			continue
		}
		weight := zone.new.Total / zone.control.Total / maxRatio
		sum.new = judge.Counts{Hits: sum.new.Hits + zone.new.Hits, Total: sum.new.Total + zone.new.Total}
		sum.control = judge.Counts{Hits: sum.control.Hits + weight*zone.control.Hits, Total: sum.control.Total + weight*zone.control.Total}
	}
	return sum
}
