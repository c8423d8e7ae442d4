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
	CPU, Memory uint64 // ticks that it has used, bytes that it has resident
}

const everyZone = "*"

// Evidence is that of one change, as far as one driver has watched it.
type Evidence struct {
	change string
	stage  int
	judge  *judge.Judge
	last   map[string]Reading // by sidecar
	bounds map[place]*bound
	open   map[place]*pair // counted, and one side of it has nothing yet
	base   group           // what all had counted before anything moved
	since  group           // what the old ones that nobody touches have counted since
	spans  [2]span         // what was used since the last comparisons, short and long
	told   judge.Kind      // of the last tally
	untold time.Duration   // since that
}

type place struct{ class, zone string }

// pair is the counts of a window.
type pair struct {
	place
	new, control counts.Class
}

// group is counts by class and zone.
type group map[place]counts.Class

func (g group) add(at place, c counts.Class) {
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

func (g group) sum(more group) {
	for at, c := range more {
		g.add(at, c)
	}
}

func of(c counts.Class) float64 { return float64(c.Served + c.Refused + c.Failed) }

// metric is a rate: how many of how many.
type metric struct {
	name string
	of   func(counts.Class) judge.Counts
}

var ends = []metric{
	{"refused", func(c counts.Class) judge.Counts { return judge.Counts{Hit: float64(c.Refused), Of: of(c)} }},
	{"failed", func(c counts.Class) judge.Counts { return judge.Counts{Hit: float64(c.Failed), Of: of(c)} }},
}

// Window takes in what was read since the last one, some time ago, and says what holds now; nil: nothing does yet.
func (e *Evidence) Window(c *rollout.Change, read map[string]Reading, took time.Duration) (*rollout.Verdict, error) {
	s := c.State
	if s.Phase != rollout.Running {
		e.stage, e.since = 0, group{}
		return nil, nil
	}
	if s.Plan.Judge.None {
		return &rollout.Verdict{Stage: s.Stage, Fine: true, Why: "the plan has no judge"}, nil
	}
	if e.change != c.Name {
		e.base, e.since = group{}, group{}
	}
	if e.change != c.Name || e.stage != s.Stage {
		e.change, e.stage, e.judge = c.Name, s.Stage, nil
		e.last, e.bounds, e.open, e.spans = map[string]Reading{}, map[place]*bound{}, map[place]*pair{}, [2]span{}
		e.told, e.untold = judge.NotEnough, 0
	}
	steps := e.steps(read)
	among := func(release string, is func(rollout.Sidecar) bool) (group, use) { return total(s, steps, release, is) }
	if s.Settled < s.Plan.Before {
		all, _ := among(s.Plan.From, func(rollout.Sidecar) bool { return true })
		e.base.sum(all)
		return nil, nil
	}
	changed, control := s.Groups()
	is := func(names []string) func(rollout.Sidecar) bool {
		return func(one rollout.Sidecar) bool { return slices.Contains(names, one.Name) }
	}
	old := func(one rollout.Sidecar) bool { return one.Order == 0 && one.Alone == "" && !is(changed)(one) }
	if len(control) > 0 {
		old = is(control)
	} else if !slices.ContainsFunc(s.Sidecars(), func(one rollout.Sidecar) bool { return old(one) && one.Release == s.Plan.From }) {
		return &rollout.Verdict{Stage: s.Stage, Fine: true, Why: "none is left to compare with"}, nil
	}
	news, newsUsed := among(s.Plan.To, is(changed))
	olds, oldsUsed := among(s.Plan.From, old)
	for i := range e.spans {
		e.spans[i].add([2]use{newsUsed, oldsUsed}, took)
	}
	untouched, _ := among(s.Plan.From, func(one rollout.Sidecar) bool { return one.Order == 0 && one.Alone == "" && one.Control == 0 })
	e.since.sum(untouched)
	if err := e.judged(c, news, olds); err != nil || e.judge == nil {
		return nil, err
	}
	v := e.judge.Verdict()
	if v.Kind != judge.Worse {
		if why := e.before(s.Plan.Judge); why != "" {
			return &rollout.Verdict{Stage: s.Stage, Old: true, Why: why}, nil
		}
	}
	return &rollout.Verdict{Stage: s.Stage, Worse: v.Kind == judge.Worse, Fine: v.Kind == judge.NoWorse, Why: v.String(), Tally: e.tally(v.Kind, took, s.Plan.Patience)}, nil
}

// maxTally is how many cells a tally has.
const maxTally = 256

// tally is what a verdict was reached by, where it is another than before or the last tally is some time ago.
func (e *Evidence) tally(kind judge.Kind, took, patience time.Duration) (all []rollout.Counted) {
	if e.untold += took; kind == e.told && e.untold < patience/comparisons {
		return nil
	}
	e.told, e.untold = kind, 0
	cells := e.judge.Cells()
	slices.SortStableFunc(cells, func(a, b judge.Verdict) int { // what is worse, then what is waited for
		rank := func(v judge.Verdict) int {
			switch {
			case v.Kind == judge.Worse:
				return 0
			case !v.Cell.Part:
				return 1
			}
			return 2
		}
		return cmp.Compare(rank(a), rank(b))
	})
	for _, v := range cells[:min(len(cells), maxTally)] {
		all = append(all, rollout.Counted{Class: v.Cell.Class, Zone: v.Cell.Zone, Metric: v.Cell.Metric, Part: v.Cell.Part, Verdict: v.Kind.String(),
			New: v.Counts[0].Hit, NewOf: v.Counts[0].Of, Control: v.Counts[1].Hit, ControlOf: v.Counts[1].Of, Odds: v.Odds, Most: v.Most})
	}
	return all
}

// step is what one process has counted and used between two readings.
type step struct {
	release string
	classes []counts.Class
	use
}

// steps are those since the last readings.
func (e *Evidence) steps(read map[string]Reading) map[string]step {
	all := map[string]step{}
	for name, now := range read {
		was, known := e.last[name]
		e.last[name] = now
		if !known || was.Process != now.Process {
			continue
		}
		one := step{release: now.Process.Release, use: use{growth: float64(now.Memory) - float64(was.Memory), memory: float64(now.Memory),
			cpu: float64(now.CPU - was.CPU), windows: 1, untold: now.ServerUse == nil || was.ServerUse == nil}}
		if !one.untold {
			one.effort = counts.ServerUse{Attempts: now.ServerUse.Attempts - was.ServerUse.Attempts, Connections: now.ServerUse.Connections - was.ServerUse.Connections, HealthChecks: now.ServerUse.HealthChecks - was.ServerUse.HealthChecks}
		}
		for i, class := range now.Classes {
			if i < len(was.Classes) && was.Classes[i].Name == class.Name {
				d := since(class, was.Classes[i])
				one.classes = append(one.classes, d)
				one.requests += of(d)
			}
		}
		all[name] = one
	}
	return all
}

// total is what those of some sidecars have that run a release.
func total(s *rollout.State, steps map[string]step, release string, is func(rollout.Sidecar) bool) (all group, used use) {
	all = group{}
	for _, one := range s.Sidecars() {
		did, ok := steps[one.Name]
		if !ok || did.release != release || !is(one) {
			continue
		}
		memory := used.memory + did.memory
		used.add(did.use)
		used.memory = memory
		for _, c := range did.classes {
			all.add(place{c.Name, one.Zone}, c)
		}
	}
	return all, used
}

// since is what was counted since a reading of the same process.
func since(now, was counts.Class) counts.Class {
	now.Served -= was.Served
	now.Refused -= was.Refused
	now.Failed -= was.Failed
	for i := range now.Latency {
		now.Latency[i] -= was.Latency[i]
	}
	return now
}

// judged hands the judge what there is of both sides.
func (e *Evidence) judged(c *rollout.Change, news, olds group) error {
	classes := map[string]bool{}
	for at, n := range news {
		p := e.open[at]
		if p == nil {
			p = &pair{place: at}
			e.open[at] = p
		}
		p.new = sum(p.new, n)
	}
	for at, o := range olds {
		if p := e.open[at]; p != nil { // a zone where none is new has nothing to say
			p.control = sum(p.control, o)
		}
	}
	whole := map[string][]pair{}
	for _, at := range slices.SortedFunc(maps.Keys(e.open), func(a, b place) int { return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.zone, b.zone)) }) {
		classes[at.class] = true
		if p := e.open[at]; of(p.new) > 0 && of(p.control) > 0 {
			whole[at.class] = append(whole[at.class], *p)
			delete(e.open, at)
		}
	}
	if e.judge == nil {
		if len(whole) == 0 {
			return nil
		}
		if err := e.begin(c, len(classes)); err != nil {
			return err
		}
	}
	for _, class := range slices.Sorted(maps.Keys(whole)) {
		if err := e.add(class, whole[class]); err != nil {
			return err
		}
	}
	return e.compare(c.State.Plan.Patience)
}

func sum(a, b counts.Class) counts.Class {
	g := group{{}: a}
	g.add(place{}, b)
	return g[place{}]
}

// begin begins the judgement of a stage. Its cells, with those of all stages, share one rate of false stops.
func (e *Evidence) begin(c *rollout.Change, classes int) (err error) {
	s, zones := c.State, map[string]bool{}
	for _, m := range c.Members {
		zones[m.Zone] = true
	}
	for _, r := range e.last { // one that nobody has asked for yet may come
		classes = max(classes, len(r.Classes))
	}
	e.judge, err = judge.New(judge.Plan{FalseStop: s.Plan.Judge.FalseStops, Missed: s.Plan.Judge.MissedStops, Effect: s.Plan.Judge.Effect,
		Cells: ((len(ends)+1)*classes*(len(zones)+1) + pairs) * len(s.Plan.Stages)})
	return err
}

// add hands in a window of a class: each zone's by itself, and all together.
func (e *Evidence) add(class string, zones []pair) error {
	var slow []judge.Counts // of new and control, for each zone that has a bound
	for _, p := range zones {
		for _, m := range ends {
			if err := e.judge.Add(judge.Cell{Class: class, Zone: p.zone, Metric: m.name, Part: true}, m.of(p.new), m.of(p.control)); err != nil {
				return err
			}
		}
		b := e.bounds[p.place]
		if b == nil {
			b = &bound{step: -1}
			e.bounds[p.place] = b
		}
		if b.step < 0 {
			b.add(p.control)
			continue
		}
		n, o := b.slow(p.new), b.slow(p.control)
		if err := e.judge.Add(judge.Cell{Class: class, Zone: p.zone, Metric: "slow", Part: true}, n, o); err != nil {
			return err
		}
		slow = append(slow, n, o)
	}
	for _, m := range ends {
		var all []judge.Counts
		for _, p := range zones {
			all = append(all, m.of(p.new), m.of(p.control))
		}
		n, o := weighed(all)
		if err := e.judge.Add(judge.Cell{Class: class, Zone: everyZone, Metric: m.name}, n, o); err != nil {
			return err
		}
	}
	n, o := weighed(slow) // none yet: not judged, and so not fine
	return e.judge.Add(judge.Cell{Class: class, Zone: everyZone, Metric: "slow"}, n, o)
}

// weighed adds up zones, new and control in turn, with each zone's control weighed as its new is, at most as it is.
func weighed(zones []judge.Counts) (new, control judge.Counts) {
	most := 0.0
	for i := 0; i < len(zones); i += 2 {
		if zones[i+1].Of > 0 {
			most = max(most, zones[i].Of/zones[i+1].Of)
		}
	}
	for i := 0; i < len(zones); i += 2 {
		n, o := zones[i], zones[i+1]
		if n.Of == 0 || o.Of == 0 {
			continue
		}
		w := n.Of / o.Of / most
		new = judge.Counts{Hit: new.Hit + n.Hit, Of: new.Of + n.Of}
		control = judge.Counts{Hit: control.Hit + w*o.Hit, Of: control.Of + w*o.Of}
	}
	return new, control
}
