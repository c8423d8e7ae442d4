package driver

import (
	"encoding/json"
	"fmt"
	"time"

	"petrelhook/internal/agent"
	"petrelhook/internal/counts"
	"petrelhook/internal/judge"
	"petrelhook/internal/rollout"
)

// Evidence turns what sidecars have counted into windows, and asks the judge. It is pure. What is compared, in each class, in each zone
// that has sidecars of both and over all zones together: how many requests were refused, failed, and slow. Slow is a time of which a
// tenth of the control's first requests took more; the bound is drawn from windows that are then not judged by it. A zone by itself may
// show that the new is worse; that it is no worse has to be shown over all zones together.
//
// A process is counted from its first reading on. The new are those of this stage that run the new release; the control are the old
// sidecars that were restarted beside them, or all that are left where the plan has none restarted.
type Evidence struct {
	change string
	stage  int
	judge  *judge.Judge
	last   map[string]reading // by sidecar
	bounds map[bound]*quantile
	base   group  // what all had counted before anything moved
	olds   group  // what the old ones have since
	lately [2]use // since the last comparison of what the new and the control have used
	since  time.Duration
}

// use is what some sidecars have used.
type use struct {
	growth, memory float64 // of the bytes resident, and those
	cpu, requests  float64
}

type reading struct {
	process     agent.Process
	classes     map[string]counts.Class
	cpu, memory uint64
}

type bound struct{ class, zone string }

// quantile finds the step that a tenth of some requests took more than.
type quantile struct {
	took [counts.Steps]uint64
	of   uint64
	step int // once known; -1
}

const (
	boundOf   = 100 // requests of the control from which the bound is drawn
	everyZone = "*"
	metrics   = 3

	// What is used is compared some times in the plan's patience, and worse is what is larger by these parts: of the memory that there
	// is, and of the processor time a request.
	comparisons = 100
	growthPart  = 0.01
	cpuPart     = 0.25
)

func (q *quantile) add(c counts.Class) {
	for i, n := range c.Took {
		q.took[i] += n
		q.of += n
	}
	if q.step >= 0 || q.of < boundOf {
		return
	}
	above := q.of
	for i, n := range q.took {
		if above -= n; above*10 <= q.of {
			q.step = i
			return
		}
	}
}

// group is the counts of a window, by class.
type group map[string]counts.Class

func (g group) add(c counts.Class) {
	sum := g[c.Name]
	sum.Name = c.Name
	sum.Served += c.Served
	sum.Refused += c.Refused
	sum.Failed += c.Failed
	for i, n := range c.Took {
		sum.Took[i] += n
	}
	g[c.Name] = sum
}

func (g group) sum(more group) {
	for _, c := range more {
		g.add(c)
	}
}

// Window takes in what was seen since the last one, and says what holds now; nil: the stage is not watched yet.
// took is how long the window was.
func (e *Evidence) Window(c *rollout.Change, seen map[string]Seen, took time.Duration) (*rollout.Verdict, error) {
	s := c.State
	if s.Phase != rollout.Running {
		e.stage, e.olds = 0, group{}
		return nil, nil
	}
	if s.Plan.Judge.None {
		return &rollout.Verdict{Stage: s.Stage, Fine: true, Why: "the plan has no judge"}, nil
	}
	changed, control := s.Groups()
	if len(control) == 0 {
		control = old(s)
	}
	if e.change != c.Name {
		e.base, e.olds = group{}, group{}
	}
	if e.change != c.Name || e.stage != s.Stage {
		e.change, e.stage, e.judge = c.Name, s.Stage, nil
		e.last, e.bounds, e.lately, e.since = map[string]reading{}, map[bound]*quantile{}, [2]use{}, 0
	}
	zone := map[string]string{}
	for _, m := range c.Members {
		zone[m.Name] = m.Zone
	}
	if s.Settled < s.Plan.Before {
		e.base.sum(e.groups(names(s), zone, seen, s.Plan.From, &use{})[everyZone])
		return nil, nil
	}
	news, olds := e.groups(changed, zone, seen, s.Plan.To, &e.lately[0]), e.groups(control, zone, seen, s.Plan.From, &e.lately[1])
	if len(control) == 0 {
		return &rollout.Verdict{Stage: s.Stage, Fine: true, Why: "none is left to compare with"}, nil
	}
	if e.judge == nil {
		classes := len(news[everyZone])
		if classes == 0 || len(olds[everyZone]) == 0 {
			return nil, nil
		}
		zones := map[string]bool{}
		for _, z := range zone {
			zones[z] = true
		}
		p := judge.Plan{FalseStop: s.Plan.Judge.FalseStops, Missed: s.Plan.Judge.MissedStops, Effect: s.Plan.Judge.Effect,
			Cells: metrics * max(classes, len(olds[everyZone])) * (len(zones) + 1) * len(s.Plan.Stages)}
		p.Cells += 2 * len(s.Plan.Stages)
		var err error
		if e.judge, err = judge.New(p); err != nil {
			return nil, err
		}
	}
	for z, classes := range news {
		for class, n := range classes {
			if o, both := olds[z][class]; both {
				if err := e.add(class, z, n, o); err != nil {
					return nil, err
				}
			}
		}
	}
	if e.since += took; e.since >= s.Plan.Patience/comparisons {
		if err := e.compare(); err != nil {
			return nil, err
		}
		e.lately, e.since = [2]use{}, 0
	}
	v := e.judge.Verdict()
	if e.olds.sum(olds[everyZone]); v.Kind != judge.Worse {
		if why := e.before(s.Plan.Judge); why != "" {
			return &rollout.Verdict{Stage: s.Stage, Old: true, Why: why}, nil
		}
	}
	return &rollout.Verdict{Stage: s.Stage, Worse: v.Kind == judge.Worse, Fine: v.Kind == judge.NoWorse, Why: v.String()}, nil
}

// before says how the old ones do worse than all did before the change; "": it is not known that they do.
func (e *Evidence) before(p rollout.Judgement) string {
	for class, now := range e.olds {
		was := e.base[class]
		of := func(c counts.Class, hit uint64) judge.Counts {
			return judge.Counts{Hit: float64(hit), Of: float64(c.Served + c.Refused + c.Failed)}
		}
		q := quantile{step: -1}
		q.add(was)
		for _, m := range []struct {
			metric      string
			now, before judge.Counts
		}{
			{"refused", of(now, now.Refused), of(was, was.Refused)}, {"failed", of(now, now.Failed), of(was, was.Failed)},
			{"slow", slow(now, q.step), slow(was, q.step)},
		} {
			if m.before.Of < boundOf || m.metric == "slow" && q.step < 0 {
				continue
			}
			least := judge.Least(m.now, m.before, p.FalseStops/float64(metrics*len(e.olds)))
			if rate, was := m.now.Hit/max(m.now.Of, 1), m.before.Hit/m.before.Of; least > 0 && rate > was+p.Effect {
				return fmt.Sprintf("old sidecars do worse than before the change: %s of class %s: %.4f, before %.4f (at least %.4f more)", m.metric, class, rate, was, least)
			}
		}
	}
	return ""
}

// names are all sidecars of a change.
func names(s *rollout.State) (all []string) {
	for _, c := range s.Sidecars() {
		all = append(all, c.Name)
	}
	return all
}

// compare compares what the new and the control have used in the same time.
func (e *Evidence) compare() error {
	n, o := e.lately[0], e.lately[1]
	if n.memory == 0 || o.memory == 0 {
		return nil
	}
	at := judge.Cell{Class: everyZone, Zone: everyZone, Metric: "growth of memory"}
	if err := e.judge.Pair(at, n.growth/n.memory > o.growth/o.memory+growthPart); err != nil {
		return err
	}
	if n.requests == 0 || o.requests == 0 || o.cpu == 0 {
		return nil
	}
	at.Metric = "processor time"
	return e.judge.Pair(at, n.cpu/n.requests > (1+cpuPart)*o.cpu/o.requests)
}

// old are the sidecars that run the release before and have no order.
func old(s *rollout.State) (names []string) {
	for _, c := range s.Sidecars() {
		if c.Release == s.Plan.From && c.Order == 0 && c.Alone == "" {
			names = append(names, c.Name)
		}
	}
	return names
}

// groups are the counts of a window by zone, and of all zones; of processes that run a release.
func (e *Evidence) groups(names []string, zone map[string]string, seen map[string]Seen, release string, used *use) map[string]group {
	all := map[string]group{}
	used.memory = 0
	for _, name := range names {
		now := seen[name]
		var classes []counts.Class
		if now.Process.Release != release || json.Unmarshal(now.Counts, &classes) != nil {
			continue
		}
		was, known := e.last[name]
		known = known && was.process == now.Process
		own := reading{now.Process, map[string]counts.Class{}, now.CPU, now.Memory}
		if known {
			used.growth += float64(now.Memory) - float64(was.memory)
			used.cpu += float64(now.CPU - was.cpu)
			used.memory += float64(now.Memory)
		}
		for _, c := range classes {
			own.classes[c.Name] = c
			if !known {
				continue
			}
			d := since(c, was.classes[c.Name])
			used.requests += float64(d.Served + d.Refused + d.Failed)
			for _, z := range []string{zone[name], everyZone} {
				if all[z] == nil {
					all[z] = group{}
				}
				all[z].add(d)
			}
		}
		e.last[name] = own
	}
	return all
}

// since is what was counted since a reading of the same process.
func since(now, was counts.Class) counts.Class {
	now.Served -= was.Served
	now.Refused -= was.Refused
	now.Failed -= was.Failed
	for i := range now.Took {
		now.Took[i] -= was.Took[i]
	}
	return now
}

func (e *Evidence) add(class, zone string, n, o counts.Class) error {
	of := func(c counts.Class) float64 { return float64(c.Served + c.Refused + c.Failed) }
	if of(n)+of(o) == 0 {
		return nil // nobody asked
	}
	at := judge.Cell{Class: class, Zone: zone, Metric: "refused", Part: zone != everyZone}
	if err := e.judge.Add(at, judge.Counts{Hit: float64(n.Refused), Of: of(n)}, judge.Counts{Hit: float64(o.Refused), Of: of(o)}); err != nil {
		return err
	}
	at.Metric = "failed"
	if err := e.judge.Add(at, judge.Counts{Hit: float64(n.Failed), Of: of(n)}, judge.Counts{Hit: float64(o.Failed), Of: of(o)}); err != nil {
		return err
	}
	q := e.bounds[bound{class, zone}]
	if q == nil {
		q = &quantile{step: -1}
		e.bounds[bound{class, zone}] = q
	}
	at.Metric = "slow"
	if q.step < 0 {
		q.add(o)
		return e.judge.Add(at, judge.Counts{}, judge.Counts{}) // not judged yet, and so not fine
	}
	return e.judge.Add(at, slow(n, q.step), slow(o, q.step))
}

// slow is how many of those served took longer than a step.
func slow(c counts.Class, step int) judge.Counts {
	k := judge.Counts{Of: float64(c.Served)}
	for i := step + 1; i < counts.Steps; i++ {
		k.Hit += float64(c.Took[i])
	}
	return k
}
