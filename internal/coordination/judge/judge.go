package judge

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

// Cell identifies one comparison: a metric of a class in a zone.
type Cell struct {
	Class, Zone, Metric string
	Advisory            bool // the cell may show that the new release is worse, but NoWorse does not require its evidence
}

func (c Cell) String() string {
	return fmt.Sprintf("%s of class %s in zone %s", c.Metric, c.Class, c.Zone)
}

// Plan sets the error rates that a judgement guarantees.
type Plan struct {
	FalseStopRate  float64 // the probability that equal releases are ever judged to be worse, over all cells and windows
	MissedStopRate float64 // the probability that a release that is worse by MinEffect is judged to be no worse, per cell
	MinEffect      float64 // the smallest difference of a rate that matters
	MaxCells       int     // the largest number of cells, over all stages of a change
	ClusterSize    float64 // how many requests fail together; 0 means 1
}

// Check validates a plan. The error names the field as plan files do.
func (p *Plan) Check() error {
	switch {
	case !(p.FalseStopRate > 0 && p.FalseStopRate < 1):
		return fmt.Errorf("false_stop_rate: %v; write a share between 0 and 1, such as 0.01", p.FalseStopRate)
	case !(p.MissedStopRate > 0 && p.MissedStopRate < 1):
		return fmt.Errorf("missed_stop_rate: %v; write a share between 0 and 1, such as 0.05", p.MissedStopRate)
	case !(p.MinEffect > 0 && p.MinEffect < 1):
		return fmt.Errorf("min_effect: %v; write the smallest difference of a rate that matters, between 0 and 1", p.MinEffect)
	case p.MaxCells < 1:
		return fmt.Errorf("cells: %d; write how many there may be, 1 or more", p.MaxCells)
	case p.ClusterSize != 0 && !(p.ClusterSize >= 1):
		return fmt.Errorf("cluster_size: %v; write 1 or more", p.ClusterSize)
	}
	return nil
}

// Kind is the result of a judgement.
type Kind uint8

// The results. The log of rollouts stores their texts, which must not change.
const (
	NotEnough Kind = iota // there is not enough evidence for either result
	NoWorse
	Worse
)

func (k Kind) String() string { return [...]string{"not enough evidence", "no worse", "worse"}[k] }

// Verdict is the current result of a judgement, with the figures of the cell that decides it: the cell that is worse, or the one that lacks
// most evidence.
type Verdict struct {
	Kind                 Kind
	Cell                 Cell
	NewRate, ControlRate float64 // the observed rates
	NewCounts            Counts  // the counts behind NewRate
	ControlCounts        Counts  // the counts behind ControlRate
	Odds                 float64 // the evidence that the new release is worse; at least MaxCells / FalseStopRate when Worse is found
	MaxDifference        float64 // the upper confidence bound of the new rate minus the control's
}

func (v Verdict) String() string {
	return fmt.Sprintf("%v: %v: %.4f, control %.4f (odds %.3g, at most %.4f more)", v.Kind, v.Cell, v.NewRate, v.ControlRate, v.Odds, v.MaxDifference)
}

// Errors of Judge.Add and Judge.AddPair.
var (
	// ErrInvalidCounts is returned for counts that have more hits than requests, or are negative or infinite.
	ErrInvalidCounts = errors.New("the counts are impossible")
	// ErrTooManyCells is returned for a new cell when there are Plan.MaxCells already.
	ErrTooManyCells = errors.New("more cells than planned")
)

// Judge accumulates the evidence of one judgement. It is not safe for concurrent use.
type Judge struct {
	plan  Plan
	cells map[Cell]*cellState
}

// New returns a Judge without evidence. The error is that of Plan.Check.
func New(p Plan) (*Judge, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.ClusterSize == 0 {
		p.ClusterSize = 1
	}
	return &Judge{plan: p, cells: map[Cell]*cellState{}}, nil
}

// Add adds the counts of one window to a cell. The error wraps ErrInvalidCounts or ErrTooManyCells, and then nothing is added.
func (j *Judge) Add(cell Cell, new, control Counts) error {
	for _, counts := range []Counts{new, control} {
		if !(counts.Hits >= 0 && counts.Hits <= counts.Total) || math.IsInf(counts.Total, 0) {
			return fmt.Errorf("%v: %w: %v of %v requests", cell, ErrInvalidCounts, counts.Hits, counts.Total)
		}
	}
	state, err := j.cellAt(cell)
	if err != nil {
		return err
	}
	new, control = new.dividedBy(j.plan.ClusterSize), control.dividedBy(j.plan.ClusterSize)
	if new.Total > 0 && control.Total > 0 {
		state.addWindow(state.windowLogEvidence(new, control, j.plan.MinEffect))
	}
	state.new, state.control = state.new.plus(new), state.control.plus(control)
	state.foundWorse = state.foundWorse || state.logEvidence >= j.threshold()
	return nil
}

// AddPair adds one comparison of a magnitude, such as the growth of memory in the same window, in which the two sides differed by more than
// the smallest relevant amount. larger reports whether the new release had the larger value; if the releases are equal, each has it equally
// often. Such a cell is advisory. The error wraps ErrTooManyCells.
//
// The evidence is a mixture of bets that the new release has the larger value with probability p, uniform over p from a half to one. Each
// bet multiplies the evidence by 2p if it has and by 2(1-p) if it has not. The expectation of this factor is 1 if the true probability is
// a half and less if it is smaller, and the same holds for the mixture.
func (j *Judge) AddPair(cell Cell, larger bool) error {
	cell.Advisory = true
	state, err := j.cellAt(cell)
	if err != nil {
		return err
	}
	comparison := Counts{Total: 1}
	if larger {
		comparison.Hits = 1
	}
	state.new, state.control = state.new.plus(comparison), state.control.plus(Counts{0.5, 1})
	a, b := state.new.Hits+1, state.new.Total-state.new.Hits+1
	state.logEvidence = state.new.Total*math.Ln2 + math.Ln2 + mathext.Lbeta(a, b) + math.Log(mathext.RegIncBeta(b, a, 0.5))
	state.foundWorse = state.foundWorse || state.logEvidence >= j.threshold()
	return nil
}

// cellAt returns the state of a cell, and creates it for a new cell. The error wraps ErrTooManyCells.
func (j *Judge) cellAt(cell Cell) (*cellState, error) {
	state := j.cells[cell]
	if state == nil {
		if len(j.cells) == j.plan.MaxCells {
			return nil, fmt.Errorf("%v: %w: the plan has %d", cell, ErrTooManyCells, j.plan.MaxCells)
		}
		state = &cellState{}
		j.cells[cell] = state
	}
	return state, nil
}

// threshold returns the logarithm of the evidence at which a cell is judged to be worse. Each cell has an equal share of FalseStopRate.
func (j *Judge) threshold() float64 { return math.Log(float64(j.plan.MaxCells) / j.plan.FalseStopRate) }

// maxLogOdds keeps Verdict.Odds finite.
const maxLogOdds = 700

// Cells returns the verdict on each cell separately, sorted by metric, class and zone.
func (j *Judge) Cells() (verdicts []Verdict) {
	for _, cell := range slices.SortedFunc(maps.Keys(j.cells), func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone))
	}) {
		state := j.cells[cell]
		verdict := Verdict{Kind: NotEnough, Cell: cell, NewRate: state.new.rate(), ControlRate: state.control.rate(),
			NewCounts: state.new, ControlCounts: state.control, Odds: math.Exp(min(state.logEvidence, maxLogOdds)),
			MaxDifference: state.maxDifference(j.plan.MissedStopRate)}
		switch {
		case state.foundWorse:
			verdict.Kind = Worse
		case cell.Advisory || verdict.MaxDifference < j.plan.MinEffect:
			verdict.Kind = NoWorse
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// Verdict returns the verdict over all cells: Worse if any cell is worse, NoWorse if all are no worse and at least one is not advisory.
func (j *Judge) Verdict() Verdict {
	overall := Verdict{Kind: NotEnough}
	required := false
	for i, verdict := range j.Cells() {
		if i == 0 || ranksAbove(verdict, overall) {
			overall = verdict
		}
		required = required || !verdict.Cell.Advisory
	}
	if overall.Kind == NoWorse && !required { // only advisory cells were compared
		overall.Kind = NotEnough
	}
	return overall
}

// ranksAbove reports whether a comes before b in the order Worse, NotEnough, NoWorse. Within Worse the larger odds come first, within the
// others the larger MaxDifference.
func ranksAbove(a, b Verdict) bool {
	order := [...]int{NotEnough: 1, NoWorse: 0, Worse: 2}
	if a.Kind != b.Kind {
		return order[a.Kind] > order[b.Kind]
	}
	if a.Kind == Worse {
		return a.Odds > b.Odds
	}
	return a.MaxDifference > b.MaxDifference
}
