// Package evidence turns what sidecars have counted into windows of new and control, and asks package judge. It is pure: no clock, no I/O.
//
// Compared, in each class, are three rates: of requests that were refused, that failed, and that were slow, which is to take longer than
// a tenth of the control's first requests did; those that the bound is drawn from are not judged by it. And, of all together and in pairs,
// processor time, tries and new connections a request, probes, and the growth of memory over short times and longer ones, where the
// sidecars of both sides are asked about as much.
//
// The new are those of this stage that run the new release. The control are the old sidecars that were restarted beside them, or all
// that are left where the plan has none restarted. Zones are not alike: new is compared with control in each zone by itself, and over
// all zones only by what each zone adds to both, its control weighed as the zone's new ones are. A zone may show that the new is worse;
// that it is no worse has to be shown over all zones together, for most have too little traffic.
//
// Before is of another time: what the old sidecars do that nobody has touched, against what all did before anything moved. A
// difference says that something has changed, and not what; it pauses a change and stops none.
//
// Assumptions: a process is counted from its first reading on; machines of new and control are alike in processor and memory.
package evidence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// Reading is what is known of one sidecar's process.
type Reading struct {
	Process agent.Process
	counts.Report
	CPUTicks, ResidentBytes uint64 // ticks that it has used, bytes that it has resident
}

const allZones = "*"

// Evidence is that of one change, as far as one driver has watched it.
type Evidence struct {
	change         string
	stage          int
	judge          *judge.Judge
	lastReadings   map[string]Reading // by sidecar
	slowBounds     map[cellKey]*slowBound
	incomplete     map[cellKey]*windowCounts // counted, and one side of it has nothing yet
	baseline       countsByCell              // what all had counted before anything moved
	untouched      countsByCell              // what the old ones that nobody touches have counted since
	usageSpans     [2]usageSpan              // what was used since the last comparisons, short and long
	lastKind       judge.Kind                // of the last tally
	sinceLastCells time.Duration             // since that
}

type cellKey struct{ class, zone string }

// windowCounts is the counts of a window.
type windowCounts struct {
	cellKey
	new, control counts.Class
}

// countsByCell is counts by class and zone.
type countsByCell map[cellKey]counts.Class

func (g countsByCell) add(at cellKey, c counts.Class) {
	sum := g[at]
	sum.Name = c.Name
	sum.Served += c.Served
	sum.Refused += c.Refused
	sum.Failed += c.Failed
	for i, n := range c.Latency {
		sum.Latency[i] += n
	}
	g[at] = sum
}

func (g countsByCell) addAll(more countsByCell) {
	for at, c := range more {
		g.add(at, c)
	}
}

func finished(c counts.Class) float64 { return float64(c.Served + c.Refused + c.Failed) }

// rateMetric is a rate: how many of how many.
type rateMetric struct {
	name   string
	counts func(counts.Class) judge.Counts
}

var outcomeMetrics = []rateMetric{
	{"refused", func(c counts.Class) judge.Counts { return judge.Counts{Hits: float64(c.Refused), Total: finished(c)} }},
	{"failed", func(c counts.Class) judge.Counts { return judge.Counts{Hits: float64(c.Failed), Total: finished(c)} }},
}

// Window takes in what was read since the last one, some time ago, and says what holds now; nil: nothing does yet.
func (e *Evidence) Window(c *rollout.Change, readings map[string]Reading, elapsed time.Duration) (*rollout.Verdict, error) {
	s := c.State
	if s.Phase != rollout.Running {
		e.stage, e.untouched = 0, countsByCell{}
		return nil, nil
	}
	if s.Plan.Judge.Disabled {
		return &rollout.Verdict{Stage: s.Stage, NoWorse: true, Reason: "the plan has no judge"}, nil
	}
	if e.change != c.Name {
		e.baseline, e.untouched = countsByCell{}, countsByCell{}
	}
	if e.change != c.Name || e.stage != s.Stage {
		e.change, e.stage, e.judge = c.Name, s.Stage, nil
		e.lastReadings, e.slowBounds, e.incomplete, e.usageSpans = map[string]Reading{}, map[cellKey]*slowBound{}, map[cellKey]*windowCounts{}, [2]usageSpan{}
		e.lastKind, e.sinceLastCells = judge.NotEnough, 0
	}
	increments := e.increments(readings)
	among := func(release string, is func(rollout.Sidecar) bool) (countsByCell, usage) {
		return sumOver(s, increments, release, is)
	}
	if s.BaselineElapsed < s.Plan.BaselinePeriod {
		all, _ := among(s.Plan.From, func(rollout.Sidecar) bool { return true })
		e.baseline.addAll(all)
		return nil, nil
	}
	changed, control := s.Groups()
	is := func(names []string) func(rollout.Sidecar) bool {
		return func(one rollout.Sidecar) bool { return slices.Contains(names, one.Name) }
	}
	old := func(one rollout.Sidecar) bool {
		return one.OpenOrder == 0 && one.AbandonedReason == "" && !is(changed)(one)
	}
	if len(control) > 0 {
		old = is(control)
	} else if !slices.ContainsFunc(s.Sidecars(), func(one rollout.Sidecar) bool { return old(one) && one.Release == s.Plan.From }) {
		return &rollout.Verdict{Stage: s.Stage, NoWorse: true, Reason: "none is left to compare with"}, nil
	}
	newCounts, newUsage := among(s.Plan.To, is(changed))
	controlCounts, controlUsage := among(s.Plan.From, old)
	for i := range e.usageSpans {
		e.usageSpans[i].add([2]usage{newUsage, controlUsage}, elapsed)
	}
	untouched, _ := among(s.Plan.From, func(one rollout.Sidecar) bool {
		return one.OpenOrder == 0 && one.AbandonedReason == "" && one.ControlStage == 0
	})
	e.untouched.addAll(untouched)
	if err := e.judgeWindow(c, newCounts, controlCounts); err != nil || e.judge == nil {
		return nil, err
	}
	v := e.judge.Verdict()
	if v.Kind != judge.Worse {
		if why := e.baselineDifference(s.Plan.Judge); why != "" {
			return &rollout.Verdict{Stage: s.Stage, BaselineWorse: true, Reason: why}, nil
		}
	}
	return &rollout.Verdict{Stage: s.Stage, Worse: v.Kind == judge.Worse, NoWorse: v.Kind == judge.NoWorse, Reason: v.String(), Cells: e.cellResults(v.Kind, elapsed, s.Plan.EvidenceTimeout)}, nil
}

// maxCells is how many cells a tally has.
const maxCells = 256

// cellResults is what a verdict was reached by, where it is another than before or the last tally is some time ago.
func (e *Evidence) cellResults(kind judge.Kind, took, evidenceTimeout time.Duration) (results []rollout.CellResult) {
	if e.sinceLastCells += took; kind == e.lastKind && e.sinceLastCells < evidenceTimeout/comparisonsPerTimeout {
		return nil
	}
	e.lastKind, e.sinceLastCells = kind, 0
	cells := e.judge.Cells()
	slices.SortStableFunc(cells, func(a, b judge.Verdict) int { // what is worse, then what is waited for
		rank := func(v judge.Verdict) int {
			switch {
			case v.Kind == judge.Worse:
				return 0
			case !v.Cell.Advisory:
				return 1
			}
			return 2
		}
		return cmp.Compare(rank(a), rank(b))
	})
	for _, v := range cells[:min(len(cells), maxCells)] {
		results = append(results, rollout.CellResult{Class: v.Cell.Class, Zone: v.Cell.Zone, Metric: v.Cell.Metric, Advisory: v.Cell.Advisory, Verdict: v.Kind.String(),
			NewHits: v.Counts[0].Hits, NewTotal: v.Counts[0].Total, ControlHits: v.Counts[1].Hits, ControlTotal: v.Counts[1].Total, Odds: v.Odds, MaxDifference: v.MaxDifference})
	}
	return results
}

// increment is what one process has counted and used between two readings.
type increment struct {
	release string
	classes []counts.Class
	usage
}

// increments are those since the last readings.
func (e *Evidence) increments(read map[string]Reading) map[string]increment {
	all := map[string]increment{}
	for name, now := range read {
		before, known := e.lastReadings[name]
		e.lastReadings[name] = now
		if !known || before.Process != now.Process {
			continue
		}
		delta := increment{release: now.Process.Release, usage: usage{growthBytes: float64(now.ResidentBytes) - float64(before.ResidentBytes), memoryBytes: float64(now.ResidentBytes),
			cpuTicks: float64(now.CPUTicks - before.CPUTicks), sidecarWindows: 1, effortMissing: now.ServerUse == nil || before.ServerUse == nil}}
		if !delta.effortMissing {
			delta.effort = counts.ServerUse{Attempts: now.ServerUse.Attempts - before.ServerUse.Attempts, Connections: now.ServerUse.Connections - before.ServerUse.Connections, HealthChecks: now.ServerUse.HealthChecks - before.ServerUse.HealthChecks}
		}
		for i, class := range now.Classes {
			if i < len(before.Classes) && before.Classes[i].Name == class.Name {
				d := difference(class, before.Classes[i])
				delta.classes = append(delta.classes, d)
				delta.requests += finished(d)
			}
		}
		all[name] = delta
	}
	return all
}

// sumOver is what those of some sidecars have that run a release.
func sumOver(s *rollout.State, steps map[string]increment, release string, selected func(rollout.Sidecar) bool) (totals countsByCell, used usage) {
	totals = countsByCell{}
	for _, sidecar := range s.Sidecars() {
		delta, ok := steps[sidecar.Name]
		if !ok || delta.release != release || !selected(sidecar) {
			continue
		}
		memory := used.memoryBytes + delta.memoryBytes
		used.add(delta.usage)
		used.memoryBytes = memory
		for _, c := range delta.classes {
			totals.add(cellKey{c.Name, sidecar.Zone}, c)
		}
	}
	return totals, used
}

// difference is what was counted since a reading of the same process.
func difference(now, before counts.Class) counts.Class {
	now.Served -= before.Served
	now.Refused -= before.Refused
	now.Failed -= before.Failed
	for i := range now.Latency {
		now.Latency[i] -= before.Latency[i]
	}
	return now
}

// judgeWindow hands the judge what there is of both sides.
func (e *Evidence) judgeWindow(c *rollout.Change, newCounts, controlCounts countsByCell) error {
	classes := map[string]bool{}
	for at, n := range newCounts {
		p := e.incomplete[at]
		if p == nil {
			p = &windowCounts{cellKey: at}
			e.incomplete[at] = p
		}
		p.new = addClasses(p.new, n)
	}
	for at, o := range controlCounts {
		if p := e.incomplete[at]; p != nil { // a zone where none is new has nothing to say
			p.control = addClasses(p.control, o)
		}
	}
	complete := map[string][]windowCounts{}
	for _, at := range slices.SortedFunc(maps.Keys(e.incomplete), func(a, b cellKey) int { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone)) }) {
		classes[at.class] = true
		if p := e.incomplete[at]; finished(p.new) > 0 && finished(p.control) > 0 {
			complete[at.class] = append(complete[at.class], *p)
			delete(e.incomplete, at)
		}
	}
	if e.judge == nil {
		if len(complete) == 0 {
			return nil
		}
		if err := e.newJudge(c, len(classes)); err != nil {
			return err
		}
	}
	for _, class := range slices.Sorted(maps.Keys(complete)) {
		if err := e.addWindow(class, complete[class]); err != nil {
			return err
		}
	}
	return e.compareUsage(c.State.Plan.EvidenceTimeout)
}

func addClasses(a, b counts.Class) counts.Class {
	g := countsByCell{{}: a}
	g.add(cellKey{}, b)
	return g[cellKey{}]
}

// newJudge begins the judgement of a stage. Its cells, with those of all stages, share one rate of false stops.
func (e *Evidence) newJudge(c *rollout.Change, classes int) (err error) {
	s, zones := c.State, map[string]bool{}
	for _, m := range c.Members {
		zones[m.Zone] = true
	}
	for _, r := range e.lastReadings { // one that nobody has asked for yet may come
		classes = max(classes, len(r.Classes))
	}
	e.judge, err = judge.New(judge.Plan{FalseStopRate: s.Plan.Judge.FalseStopRate, MissedStopRate: s.Plan.Judge.MissedStopRate, MinEffect: s.Plan.Judge.MinEffect,
		MaxCells: ((len(outcomeMetrics)+1)*classes*(len(zones)+1) + pairedMetrics) * len(s.Plan.Stages)})
	return err
}

// addWindow hands in a window of a class: each zone's by itself, and all together.
func (e *Evidence) addWindow(class string, zones []windowCounts) error {
	var slow []judge.Counts // of new and control, for each zone that has a bound
	for _, p := range zones {
		for _, m := range outcomeMetrics {
			if err := e.judge.Add(judge.Cell{Class: class, Zone: p.zone, Metric: m.name, Advisory: true}, m.counts(p.new), m.counts(p.control)); err != nil {
				return err
			}
		}
		b := e.slowBounds[p.cellKey]
		if b == nil {
			b = &slowBound{step: -1}
			e.slowBounds[p.cellKey] = b
		}
		if b.step < 0 {
			b.add(p.control)
			continue
		}
		n, o := b.slow(p.new), b.slow(p.control)
		if err := e.judge.Add(judge.Cell{Class: class, Zone: p.zone, Metric: "slow", Advisory: true}, n, o); err != nil {
			return err
		}
		slow = append(slow, n, o)
	}
	for _, m := range outcomeMetrics {
		var all []judge.Counts
		for _, p := range zones {
			all = append(all, m.counts(p.new), m.counts(p.control))
		}
		n, o := weightByZone(all)
		if err := e.judge.Add(judge.Cell{Class: class, Zone: allZones, Metric: m.name}, n, o); err != nil {
			return err
		}
	}
	n, o := weightByZone(slow) // none yet: not judged, and so not fine
	return e.judge.Add(judge.Cell{Class: class, Zone: allZones, Metric: "slow"}, n, o)
}

// weightByZone adds up zones, new and control in turn, with each zone's control weighed as its new is, at most as it is.
func weightByZone(zones []judge.Counts) (new, control judge.Counts) {
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
		w := n.Total / o.Total / maxRatio
		new = judge.Counts{Hits: new.Hits + n.Hits, Total: new.Total + n.Total}
		control = judge.Counts{Hits: control.Hits + w*o.Hits, Total: control.Total + w*o.Total}
	}
	return new, control
}
