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

// Cell is a metric that is compared by itself.
type Cell struct {
	Class, Zone, Metric string
	Advisory            bool // it may show that the new release is worse, and need not show that it is not
}

func (c Cell) String() string {
	return fmt.Sprintf("%s of class %s in zone %s", c.Metric, c.Class, c.Zone)
}

// Plan says what a judgement guarantees.
type Plan struct {
	FalseStopRate  float64 // the probability that equal releases are ever judged to be worse, over all cells and windows
	MissedStopRate float64 // the probability that a release that is worse by MinEffect is judged to be no worse, per cell
	MinEffect      float64 // the smallest difference of a rate that matters
	MaxCells       int     // how many cells there may be, over all stages of a change
	ClusterSize    float64 // how many requests fail together; 0: 1
}

// Check finds what is wrong with a plan, by the names of the fields in plan files.
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
		return fmt.Errorf("bunch: %v; write 1 or more", p.ClusterSize)
	}
	return nil
}

// Kind is the result of a judgement.
type Kind uint8

// The results. Their texts are part of the log of rollouts.
const (
	NotEnough Kind = iota // there is not enough evidence
	NoWorse
	Worse
)

func (k Kind) String() string { return [...]string{"not enough evidence", "no worse", "worse"}[k] }

// Verdict is the state of a judgement. Cell is the one that is worse, or that lacks most evidence.
type Verdict struct {
	Kind                 Kind
	Cell                 Cell
	NewRate, ControlRate float64 // the rates that were counted
	NewCounts            Counts  // what NewRate is of
	ControlCounts        Counts  // what ControlRate is of
	Odds                 float64 // the evidence; for Worse at least MaxCells / FalseStopRate
	MaxDifference        float64 // the upper confidence bound of how much larger the new rate is
}

func (v Verdict) String() string {
	return fmt.Sprintf("%v: %v: %.4f, control %.4f (odds %.3g, at most %.4f more)", v.Kind, v.Cell, v.NewRate, v.ControlRate, v.Odds, v.MaxDifference)
}

// Errors of Judge.Add and Judge.AddPair.
var (
	// ErrInvalidCounts says that counts have more hits than requests, or are negative or infinite.
	ErrInvalidCounts = errors.New("the counts are impossible")
	// ErrTooManyCells says that a cell is beyond Plan.MaxCells.
	ErrTooManyCells = errors.New("more cells than planned")
)

// Judge is one judgement. It is not safe for concurrent use.
type Judge struct {
	plan  Plan
	cells map[Cell]*cellState
}

// New begins a judgement. The error is one of the plan.
func New(p Plan) (*Judge, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.ClusterSize == 0 {
		p.ClusterSize = 1
	}
	return &Judge{plan: p, cells: map[Cell]*cellState{}}, nil
}

// Add adds the counts of a window of a cell. The error is ErrInvalidCounts or ErrTooManyCells.
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

// AddPair adds one comparison of a magnitude, such as the growth of memory in the same window, in which one side was larger by more than
// matters: larger says that it was the new release. If both are alike, each is the larger one as often as the other. Such a cell is
// advisory. The error is ErrTooManyCells.
//
// The evidence is a mixture of bets that the new release is the larger one with probability p, uniform over p from a half to one. Each bet
// multiplies by 2p if it was and by 2(1-p) if it was not, which is 1 on average for a probability of a half and less below; so is their
// mean.
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

// cellAt returns the state of a cell, which is made if it is new.
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

// threshold is what the logarithm of a cell's evidence has to reach: each cell has an equal share of the rate of false stops.
func (j *Judge) threshold() float64 { return math.Log(float64(j.plan.MaxCells) / j.plan.FalseStopRate) }

// maxLogOdds keeps Verdict.Odds finite.
const maxLogOdds = 700

// Cells returns the verdict on each cell by itself, in the order of metric, class and zone.
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

// Verdict returns the verdict over all cells: worse if one is, no worse if all are.
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

// ranksAbove orders verdicts: worse ones, then those without enough evidence, then no worse ones.
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
