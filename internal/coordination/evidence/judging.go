package evidence

import (
	"cmp"
	"maps"
	"slices"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// windowCounts are the counts of new and control in one cell, of as many polls as both sides need to have some.
type windowCounts struct {
	cellKey
	new, control counts.Class
}

// judgeWindow adds the counts of a poll to the judge, where both sides have some, and compares usage. The judge is made when the first cell
// has counts of both sides.
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

// collect adds counts to the incomplete windows. A zone without new sidecars has none.
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

// takeComplete removes the windows that have counts of both sides and returns them by class, with the number of classes that have any.
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

// newJudge begins the judgement of a stage. Its cells share one rate of false stops with those of all stages.
func (e *Evidence) newJudge(c *rollout.Change, classes int) (err error) {
	s, zones := c.State, map[string]bool{}
	for _, m := range c.Members {
		zones[m.Zone] = true
	}
	for _, r := range e.lastReadings { // classes without a request so far may have some later
		classes = max(classes, len(r.Classes))
	}
	rates, places := len(outcomeMetrics)+1, len(zones)+1 // with slow requests, and with all zones together
	e.judge, err = judge.New(judge.Plan{FalseStopRate: s.Plan.Judge.FalseStopRate, MissedStopRate: s.Plan.Judge.MissedStopRate,
		MinEffect: s.Plan.Judge.MinEffect, MaxCells: (rates*classes*places + pairedMetrics) * len(s.Plan.Stages)})
	return err
}

// addWindow adds a window of a class to the judge: each zone by itself, and all together.
func (e *Evidence) addWindow(class string, zones []windowCounts) error {
	var slow []judge.Counts // of new and control, for each zone that has a bound
	for _, w := range zones {
		counted, err := e.addZone(class, w)
		if err != nil {
			return err
		}
		slow = append(slow, counted...)
	}
	for _, m := range outcomeMetrics {
		var all []judge.Counts
		for _, w := range zones {
			all = append(all, m.counts(w.new), m.counts(w.control))
		}
		newCounts, controlCounts := weightByZone(all)
		if err := e.judge.Add(judge.Cell{Class: class, Zone: allZones, Metric: m.name}, newCounts, controlCounts); err != nil {
			return err
		}
	}
	newCounts, controlCounts := weightByZone(slow) // without any bound yet there are none, so that no worse is not shown
	return e.judge.Add(judge.Cell{Class: class, Zone: allZones, Metric: slowMetric}, newCounts, controlCounts)
}

// addZone adds a window of a class in one zone to the judge. It returns the slow requests of new and control, or nothing while the requests
// that the bound is drawn from are counted.
func (e *Evidence) addZone(class string, w windowCounts) ([]judge.Counts, error) {
	for _, m := range outcomeMetrics {
		cell := judge.Cell{Class: class, Zone: w.zone, Metric: m.name, Advisory: true}
		if err := e.judge.Add(cell, m.counts(w.new), m.counts(w.control)); err != nil {
			return nil, err
		}
	}
	bound := e.slowBounds[w.cellKey]
	if bound == nil {
		bound = &slowBound{step: -1}
		e.slowBounds[w.cellKey] = bound
	}
	if bound.step < 0 {
		bound.add(w.control)
		return nil, nil
	}
	newCounts, controlCounts := bound.slow(w.new), bound.slow(w.control)
	cell := judge.Cell{Class: class, Zone: w.zone, Metric: slowMetric, Advisory: true}
	if err := e.judge.Add(cell, newCounts, controlCounts); err != nil {
		return nil, err
	}
	return []judge.Counts{newCounts, controlCounts}, nil
}

// weightByZone sums up zones, given as new and control of one after the other. Each zone's control is weighted as its new counts are, by at
// most 1.
func weightByZone(zones []judge.Counts) (newSum, controlSum judge.Counts) {
	maxRatio := 0.0
	for i := 0; i < len(zones); i += 2 {
		if zones[i+1].Total > 0 {
			maxRatio = max(maxRatio, zones[i].Total/zones[i+1].Total)
		}
	}
	for i := 0; i < len(zones); i += 2 {
		n, o := zones[i], zones[i+1]
		if n.Total == 0 || o.Total == 0 {
			continue
		}
		weight := n.Total / o.Total / maxRatio
		newSum = judge.Counts{Hits: newSum.Hits + n.Hits, Total: newSum.Total + n.Total}
		controlSum = judge.Counts{Hits: controlSum.Hits + weight*o.Hits, Total: controlSum.Total + weight*o.Total}
	}
	return newSum, controlSum
}
