package evidence

import (
	"cmp"
	"slices"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// Reading holds the counts and the resource usage of one sidecar's process at one moment.
type Reading struct {
	Process agent.Process
	counts.Report
	CPUTicks      uint64 // processor time used so far, in clock ticks of the system
	ResidentBytes uint64
}

// Evidence collects what one driver observes of a change, and judges it. It starts over when the change or its stage differs from
// that of the previous call of Window. The zero value is ready to use. It is not safe for concurrent use.
type Evidence struct {
	change       string
	stage        int
	judge        *judge.Judge              // nil until both sides have counts of one cell
	lastReadings map[string]Reading        // by sidecar
	slowBounds   map[cellKey]*slowBound    // what counts as slow
	incomplete   map[cellKey]*windowCounts // cells in which one side has no counts yet
	baseline     countsByCell              // of all sidecars, before anything was changed
	untouched    countsByCell              // of the old sidecars that the change has not touched, since it began
	shortSpan    usageSpan                 // usage since the last comparison over a short span
	longSpan     usageSpan                 // the same over a long span

	lastKind       judge.Kind    // of the last verdict that had cells
	sinceLastCells time.Duration // since that verdict
}

// Window adds the readings of a poll, by sidecar, and the time since the poll before. It returns the current verdict,
// or nil if there is none yet or the change is not running. Errors are those of package judge.
func (e *Evidence) Window(c *rollout.Change, readings map[string]Reading, elapsed time.Duration) (*rollout.Verdict, error) {
	s := c.State
	if s.Phase != rollout.Running {
		e.stage, e.untouched = 0, countsByCell{}
		return nil, nil
	}
	if s.Plan.Judge.Disabled {
		return &rollout.Verdict{Stage: s.Stage, NoWorse: true, Reason: "the plan has no judge"}, nil
	}
	e.follow(c)
	w := window{s, e.increments(readings)}
	if s.BaselineElapsed < s.Plan.BaselinePeriod {
		all, _ := w.sum(s.Plan.From, func(rollout.Sidecar) bool { return true })
		e.baseline.addAll(all)
		return nil, nil
	}
	isNew, isControl, comparable := comparedSidecars(s)
	if !comparable {
		return &rollout.Verdict{Stage: s.Stage, NoWorse: true, Reason: "none is left to compare with"}, nil
	}
	newCounts, newUsage := w.sum(s.Plan.To, isNew)
	controlCounts, controlUsage := w.sum(s.Plan.From, isControl)
	e.shortSpan.add(newUsage, controlUsage, elapsed)
	e.longSpan.add(newUsage, controlUsage, elapsed)
	untouched, _ := w.sum(s.Plan.From, func(sidecar rollout.Sidecar) bool { return isUntouched(sidecar) && sidecar.ControlStage == 0 })
	e.untouched.addAll(untouched)
	if err := e.judgeWindow(c, newCounts, controlCounts); err != nil || e.judge == nil {
		return nil, err
	}
	return e.verdict(s, elapsed), nil
}

// follow discards the evidence if the change or its stage differs from that of the last call. The counts of the baseline and of
// the untouched sidecars are kept across the stages of a change.
func (e *Evidence) follow(c *rollout.Change) {
	if e.change != c.Name {
		e.baseline, e.untouched = countsByCell{}, countsByCell{}
	}
	if e.change == c.Name && e.stage == c.State.Stage {
		return
	}
	e.change, e.stage, e.judge = c.Name, c.State.Stage, nil
	e.lastReadings, e.slowBounds, e.incomplete = map[string]Reading{}, map[cellKey]*slowBound{}, map[cellKey]*windowCounts{}
	e.shortSpan, e.longSpan = usageSpan{}, usageSpan{}
	e.lastKind, e.sinceLastCells = judge.NotEnough, 0
}

// isUntouched reports whether a sidecar has no open order and was not abandoned.
func isUntouched(sidecar rollout.Sidecar) bool {
	return sidecar.OpenOrder == 0 && sidecar.AbandonedReason == ""
}

// comparedSidecars returns which sidecars are the new ones and which are their control: the old sidecars that the plan restarts
// as a control or, if it restarts none, all others that are untouched. comparable is false if no sidecar is left for the control.
func comparedSidecars(s *rollout.State) (isNew, isControl func(rollout.Sidecar) bool, comparable bool) {
	changed, control := s.Groups()
	among := func(names []string) func(rollout.Sidecar) bool {
		return func(sidecar rollout.Sidecar) bool { return slices.Contains(names, sidecar.Name) }
	}
	isNew = among(changed)
	if len(control) > 0 {
		return isNew, among(control), true
	}
	isControl = func(sidecar rollout.Sidecar) bool { return isUntouched(sidecar) && !isNew(sidecar) }
	comparable = slices.ContainsFunc(s.Sidecars(), func(sidecar rollout.Sidecar) bool { return isControl(sidecar) && sidecar.Release == s.Plan.From })
	return isNew, isControl, comparable
}

// verdict returns the verdict of the judge. If the judge does not find the new sidecars worse, but the old sidecars do worse than
// before the change, it returns a verdict with BaselineWorse instead.
func (e *Evidence) verdict(s *rollout.State, elapsed time.Duration) *rollout.Verdict {
	v := e.judge.Verdict()
	if v.Kind != judge.Worse {
		if reason := e.baselineDifference(s.Plan.Judge); reason != "" {
			return &rollout.Verdict{Stage: s.Stage, BaselineWorse: true, Reason: reason}
		}
	}
	return &rollout.Verdict{Stage: s.Stage, Worse: v.Kind == judge.Worse, NoWorse: v.Kind == judge.NoWorse, Reason: v.String(),
		Cells: e.cellResults(v.Kind, elapsed, s.Plan.ProgressTimeout)}
}

// maxCells is the maximum number of cells of a verdict.
const maxCells = 256

// cellResults returns the cells that a verdict is based on if its kind has changed or enough time has passed since the last
// cells, otherwise nil. Cells that are worse come first, then those that have to be shown to be no worse.
func (e *Evidence) cellResults(kind judge.Kind, elapsed, evidenceTimeout time.Duration) (results []rollout.CellResult) {
	if e.sinceLastCells += elapsed; kind == e.lastKind && e.sinceLastCells < evidenceTimeout/comparisonsPerTimeout {
		return nil
	}
	e.lastKind, e.sinceLastCells = kind, 0
	cells := e.judge.Cells()
	slices.SortStableFunc(cells, func(a, b judge.Verdict) int { return cmp.Compare(importance(a), importance(b)) })
	for _, v := range cells[:min(len(cells), maxCells)] {
		results = append(results, rollout.CellResult{
			Class: v.Cell.Class, Zone: v.Cell.Zone, Metric: v.Cell.Metric, Advisory: v.Cell.Advisory, Verdict: v.Kind.String(),
			NewHits: v.NewCounts.Hits, NewTotal: v.NewCounts.Total, ControlHits: v.ControlCounts.Hits, ControlTotal: v.ControlCounts.Total,
			Odds: v.Odds, MaxDifference: v.MaxDifference,
		})
	}
	return results
}

// importance returns the rank of a cell in the output for operators; the smallest comes first.
func importance(v judge.Verdict) int {
	switch {
	case v.Kind == judge.Worse:
		return 0
	case !v.Cell.Advisory:
		return 1
	}
	return 2
}
