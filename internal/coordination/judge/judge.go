package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

// Counts are how many of some requests something happened to.
type Counts struct{ Hits, Total float64 }

// Cell is what is compared by itself.
type Cell struct {
	Class, Zone, Metric string
	Advisory            bool // of another cell: it may show that the new one is worse, and need not show that it is not
}

func (c Cell) String() string {
	return fmt.Sprintf("%s of class %s in zone %s", c.Metric, c.Class, c.Zone)
}

// Plan is what a judgement is held to.
type Plan struct {
	FalseStopRate  float64 // the probability that equal releases are ever said to be worse, over all cells and looks
	MissedStopRate float64 // the probability that a release worse by Effect is said to be no worse, a cell
	MinEffect      float64 // the smallest difference of a rate that matters
	MaxCells       int     // how many cells there may be, all stages together
	ClusterSize    float64 // how many requests share a fate; 0: 1
}

// Check says what is wrong with a plan.
func (p *Plan) Check() error {
	switch {
	case !(p.FalseStopRate > 0 && p.FalseStopRate < 1):
		return fmt.Errorf("false_stops: %v; write a share between 0 and 1, such as 0.01", p.FalseStopRate)
	case !(p.MissedStopRate > 0 && p.MissedStopRate < 1):
		return fmt.Errorf("missed_stops: %v; write a share between 0 and 1, such as 0.05", p.MissedStopRate)
	case !(p.MinEffect > 0 && p.MinEffect < 1):
		return fmt.Errorf("effect: %v; write the smallest difference of a rate that matters, between 0 and 1", p.MinEffect)
	case p.MaxCells < 1:
		return fmt.Errorf("cells: %d; write how many there may be, 1 or more", p.MaxCells)
	case p.ClusterSize != 0 && !(p.ClusterSize >= 1):
		return fmt.Errorf("bunch: %v; write 1 or more", p.ClusterSize)
	}
	return nil
}

// Kind is the kind of a verdict.
type Kind uint8

// The verdicts.
const (
	NotEnough Kind = iota // evidence
	NoWorse
	Worse
)

func (k Kind) String() string { return [...]string{"not enough evidence", "no worse", "worse"}[k] }

// Verdict is what holds now. Cell is the one that is worse, or that lacks evidence most.
type Verdict struct {
	Kind                 Kind
	Cell                 Cell
	NewRate, ControlRate float64   // the rates seen
	Counts               [2]Counts // they are of: new and control
	Odds                 float64   // Worse: the evidence, at least 1 over the cell's part of FalseStop
	MaxDifference        float64   // the largest difference that the new one may have, by its confidence
}

func (v Verdict) String() string {
	return fmt.Sprintf("%v: %v: %.4f, control %.4f (odds %.3g, at most %.4f more)", v.Kind, v.Cell, v.NewRate, v.ControlRate, v.Odds, v.MaxDifference)
}

// Judge is one judgement.
type Judge struct {
	plan  Plan
	cells map[Cell]*cellState
}

type cellState struct {
	new, control       Counts
	windows            float64
	logEvidence        float64 // of the evidence
	startedLogEvidence float64 // of the part of it that bets on a beginning in the windows so far
	foundWorse         bool    // it has been; evidence that was there does not go away
}

// New begins a judgement.
func New(p Plan) (*Judge, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.ClusterSize == 0 {
		p.ClusterSize = 1
	}
	return &Judge{plan: p, cells: map[Cell]*cellState{}}, nil
}

// Add takes in a window of a cell.
func (j *Judge) Add(cell Cell, new, control Counts) error {
	for _, state := range []Counts{new, control} {
		if !(state.Hits >= 0 && state.Hits <= state.Total) || math.IsInf(state.Total, 0) {
			return fmt.Errorf("%v: %v of %v", cell, state.Hits, state.Total)
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

// AddPair takes in one comparison of a magnitude, such as growth of memory in the same window, in which one was larger by more than matters:
// whether that was the new one. Where new and control are alike it is the one as often as the other, so half of the comparisons at most
// that are told. It may show that the new is worse, and is never waited for.
//
// The evidence is a mixture of bets that the share is p, for all p from a half to one alike: each multiplies by 2p for what was larger
// and by 2(1-p) for what was not, which is 1 on average at a half and less below, and so does their mean.
func (j *Judge) AddPair(cell Cell, larger bool) error {
	cell.Advisory = true
	state, err := j.cellAt(cell)
	if err != nil {
		return err
	}
	won := Counts{Total: 1}
	if larger {
		won.Hits = 1
	}
	state.new, state.control = state.new.plus(won), state.control.plus(Counts{0.5, 1})
	a, b := state.new.Hits+1, state.new.Total-state.new.Hits+1
	state.logEvidence = state.new.Total*math.Ln2 + math.Ln2 + mathext.Lbeta(a, b) + math.Log(mathext.RegIncBeta(b, a, 0.5))
	state.foundWorse = state.foundWorse || state.logEvidence >= j.threshold()
	return nil
}

// cellAt is the one at a place.
func (j *Judge) cellAt(cell Cell) (*cellState, error) {
	c := j.cells[cell]
	if c == nil {
		if len(j.cells) == j.plan.MaxCells {
			return nil, fmt.Errorf("%v: the plan has %d cells, and this is one more", cell, j.plan.MaxCells)
		}
		c = &cellState{}
		j.cells[cell] = c
	}
	return c, nil
}

// threshold is what the logarithm of a cell's evidence has to reach.
func (j *Judge) threshold() float64 { return math.Log(float64(j.plan.MaxCells) / j.plan.FalseStopRate) }

func (c Counts) dividedBy(b float64) Counts { return Counts{c.Hits / b, c.Total / b} }
func (c Counts) plus(o Counts) Counts       { return Counts{c.Hits + o.Hits, c.Total + o.Total} }
func (c Counts) rate() float64              { return c.Hits / max(c.Total, 1e-300) }
func (c Counts) likelihood(p float64) float64 {
	return xlog(c.Hits, p) + xlog(c.Total-c.Hits, 1-p)
}

func xlog(x, p float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(p)
}

// addWindow takes in a window's part. What is worse may have begun at any window (a release may be bad under load alone, or after hours), and a
// product over all would have lost by then whatever it was to win. So the evidence is a mixture of the products that begin at each window
// n, with weights 1/n(n+1), which are 1 in all; those that have not begun stand at 1. A mean of what has expectation 1 at most has, too.
func (c *cellState) addWindow(log float64) {
	if c.windows++; c.windows == 1 {
		c.startedLogEvidence = math.Inf(-1)
	}
	n := c.windows
	c.startedLogEvidence = logSum(c.startedLogEvidence, -math.Log(n*(n+1))) + log
	c.logEvidence = logSum(c.startedLogEvidence, -math.Log(n+1))
}

// logSum is the logarithm of a sum.
func logSum(a, b float64) float64 {
	larger := max(a, b)
	if math.IsInf(larger, -1) {
		return larger
	}
	return larger + math.Log(math.Exp(a-larger)+math.Exp(b-larger))
}

// windowLogEvidence is the logarithm of a window's part of the e-process.
func (c *cellState) windowLogEvidence(new, control Counts, effect float64) float64 {
	base, worse := c.alternative(effect)
	pooled := (new.Total*worse + control.Total*base) / (new.Total + control.Total)
	return new.likelihood(worse) + control.likelihood(base) - new.likelihood(pooled) - control.likelihood(pooled)
}

// alternative is the alternative that a window is judged by, from those before it alone: the control's rate, and one that is larger by the
// smallest effect, or by what was seen if that is more.
func (c *cellState) alternative(effect float64) (base, worse float64) {
	const few = 1 // a request that was never seen, at a rate of half the effect
	base = (c.control.Hits + few*effect/2) / (c.control.Total + few)
	worse = (c.new.Hits + few*(base+effect)) / (c.new.Total + few)
	worse = math.Min(max(worse, base+effect), (1+base)/2)
	return base, max(worse, base)
}

// Cells are the verdicts of all cells by themselves, in the order of metric, class and zone.
func (j *Judge) Cells() (verdicts []Verdict) {
	for _, cell := range slices.SortedFunc(maps.Keys(j.cells), func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone))
	}) {
		state := j.cells[cell]
		verdict := Verdict{NotEnough, cell, state.new.rate(), state.control.rate(), [2]Counts{state.new, state.control}, math.Exp(min(state.logEvidence, 700)), state.maxDifference(j.plan.MissedStopRate)}
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

// Verdict is what holds now: worse where one cell is, no worse where all are.
func (j *Judge) Verdict() Verdict {
	overall := Verdict{Kind: NotEnough}
	required := false
	for i, verdict := range j.Cells() {
		if i == 0 || ranksAbove(verdict, overall) {
			overall = verdict
		}
		required = required || !verdict.Cell.Advisory
	}
	if overall.Kind == NoWorse && !required { // nothing that had to be shown was
		overall.Kind = NotEnough
	}
	return overall
}

// ranksAbove orders verdicts: worse, then what lacks evidence, then no worse.
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

// maxDifference is by how much the new rate may be larger than the control's, at a confidence that holds at all times together.
func (c *cellState) maxDifference(missed float64) float64 {
	return upperBound(c.new, missed/2) - (1 - upperBound(Counts{c.control.Total - c.control.Hits, c.control.Total}, missed/2))
}

// RequestsNeeded is how many more requests the new one has to have, and the control as many in proportion, until it is said to be no worse, if
// the rates stay as they are; ok is false where that would not show it.
func RequestsNeeded(new, control Counts, missed, effect float64) (more float64, ok bool) {
	shownNoWorse := func(times float64) bool {
		c := cellState{new: Counts{new.Hits * times, new.Total * times}, control: Counts{control.Hits * times, control.Total * times}}
		return c.maxDifference(missed) < effect
	}
	const most = 1 << 40
	low, high := 1.0, 1.0
	if new.Total == 0 || control.Total == 0 || new.rate()-control.rate() >= effect {
		return 0, false
	}
	for ; !shownNoWorse(high); high *= 2 {
		if low = high; high > most {
			return 0, false
		}
	}
	for range 30 {
		if mid := (low + high) / 2; shownNoWorse(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return math.Ceil(new.Total * (high - 1)), true
}

// MinDifference is by how much the first rate is larger at least, at a confidence that holds at all times together. The counts need not be of one
// time; then a difference says that something has changed, and not what.
func MinDifference(now, before Counts, alpha float64) float64 {
	return 1 - upperBound(Counts{now.Total - now.Hits, now.Total}, alpha/2) - upperBound(before, alpha/2)
}

// upperBound is the upper end of a confidence sequence of a rate.
func upperBound(c Counts, alpha float64) float64 {
	a, _ := math.Lgamma(c.Hits + 1)
	b, _ := math.Lgamma(c.Total - c.Hits + 1)
	ab, _ := math.Lgamma(c.Total + 2)
	bar := a + b - ab - math.Log(1/alpha) // the mixture's likelihood, less the bar
	lo, hi := c.rate(), 1.0
	if c.Total == 0 {
		return 1
	}
	for range 60 {
		mid := (lo + hi) / 2
		if c.likelihood(mid) > bar {
			lo = mid
		} else {
			hi = mid
		}
	}
	return hi
}
