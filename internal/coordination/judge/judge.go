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
type Counts struct{ Hit, Of float64 }

// Cell is what is compared by itself.
type Cell struct {
	Class, Zone, Metric string
	Part                bool // of another cell: it may show that the new one is worse, and need not show that it is not
}

func (c Cell) String() string {
	return fmt.Sprintf("%s of class %s in zone %s", c.Metric, c.Class, c.Zone)
}

// Plan is what a judgement is held to.
type Plan struct {
	FalseStop float64 // the probability that equal releases are ever said to be worse, over all cells and looks
	Missed    float64 // the probability that a release worse by Effect is said to be no worse, a cell
	Effect    float64 // the smallest difference of a rate that matters
	Cells     int     // how many cells there may be, all stages together
	Bunch     float64 // how many requests share a fate; 0: 1
}

// Check says what is wrong with a plan.
func (p *Plan) Check() error {
	switch {
	case !(p.FalseStop > 0 && p.FalseStop < 1):
		return fmt.Errorf("false_stops: %v; write a share between 0 and 1, such as 0.01", p.FalseStop)
	case !(p.Missed > 0 && p.Missed < 1):
		return fmt.Errorf("missed_stops: %v; write a share between 0 and 1, such as 0.05", p.Missed)
	case !(p.Effect > 0 && p.Effect < 1):
		return fmt.Errorf("effect: %v; write the smallest difference of a rate that matters, between 0 and 1", p.Effect)
	case p.Cells < 1:
		return fmt.Errorf("cells: %d; write how many there may be, 1 or more", p.Cells)
	case p.Bunch != 0 && !(p.Bunch >= 1):
		return fmt.Errorf("bunch: %v; write 1 or more", p.Bunch)
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
	Kind         Kind
	Cell         Cell
	New, Control float64   // the rates seen
	Counts       [2]Counts // they are of: new and control
	Odds         float64   // Worse: the evidence, at least 1 over the cell's part of FalseStop
	Most         float64   // the largest difference that the new one may have, by its confidence
}

func (v Verdict) String() string {
	return fmt.Sprintf("%v: %v: %.4f, control %.4f (odds %.3g, at most %.4f more)", v.Kind, v.Cell, v.New, v.Control, v.Odds, v.Most)
}

// Judge is one judgement.
type Judge struct {
	plan  Plan
	cells map[Cell]*cell
}

type cell struct {
	new, control Counts
	windows      float64
	log          float64 // of the evidence
	begun        float64 // of the part of it that bets on a beginning in the windows so far
	worse        bool    // it has been; evidence that was there does not go away
}

// New begins a judgement.
func New(p Plan) (*Judge, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	if p.Bunch == 0 {
		p.Bunch = 1
	}
	return &Judge{plan: p, cells: map[Cell]*cell{}}, nil
}

// Add takes in a window of a cell.
func (j *Judge) Add(at Cell, new, control Counts) error {
	for _, c := range []Counts{new, control} {
		if !(c.Hit >= 0 && c.Hit <= c.Of) || math.IsInf(c.Of, 0) {
			return fmt.Errorf("%v: %v of %v", at, c.Hit, c.Of)
		}
	}
	c, err := j.cell(at)
	if err != nil {
		return err
	}
	new, control = new.over(j.plan.Bunch), control.over(j.plan.Bunch)
	if new.Of > 0 && control.Of > 0 {
		c.bet(c.window(new, control, j.plan.Effect))
	}
	c.new, c.control = c.new.plus(new), c.control.plus(control)
	c.worse = c.worse || c.log >= j.bar()
	return nil
}

// Pair takes in one comparison of a magnitude, such as growth of memory in the same window, in which one was larger by more than matters:
// whether that was the new one. Where new and control are alike it is the one as often as the other, so half of the comparisons at most
// that are told. It may show that the new is worse, and is never waited for.
//
// The evidence is a mixture of bets that the share is p, for all p from a half to one alike: each multiplies by 2p for what was larger
// and by 2(1-p) for what was not, which is 1 on average at a half and less below, and so does their mean.
func (j *Judge) Pair(at Cell, larger bool) error {
	at.Part = true
	c, err := j.cell(at)
	if err != nil {
		return err
	}
	won := Counts{Of: 1}
	if larger {
		won.Hit = 1
	}
	c.new, c.control = c.new.plus(won), c.control.plus(Counts{0.5, 1})
	a, b := c.new.Hit+1, c.new.Of-c.new.Hit+1
	c.log = c.new.Of*math.Ln2 + math.Ln2 + mathext.Lbeta(a, b) + math.Log(mathext.RegIncBeta(b, a, 0.5))
	c.worse = c.worse || c.log >= j.bar()
	return nil
}

// cell is the one at a place.
func (j *Judge) cell(at Cell) (*cell, error) {
	c := j.cells[at]
	if c == nil {
		if len(j.cells) == j.plan.Cells {
			return nil, fmt.Errorf("%v: the plan has %d cells, and this is one more", at, j.plan.Cells)
		}
		c = &cell{}
		j.cells[at] = c
	}
	return c, nil
}

// bar is what the logarithm of a cell's evidence has to reach.
func (j *Judge) bar() float64 { return math.Log(float64(j.plan.Cells) / j.plan.FalseStop) }

func (c Counts) over(b float64) Counts { return Counts{c.Hit / b, c.Of / b} }
func (c Counts) plus(o Counts) Counts  { return Counts{c.Hit + o.Hit, c.Of + o.Of} }
func (c Counts) rate() float64         { return c.Hit / max(c.Of, 1e-300) }
func (c Counts) likelihood(p float64) float64 {
	return xlog(c.Hit, p) + xlog(c.Of-c.Hit, 1-p)
}

func xlog(x, p float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(p)
}

// bet takes in a window's part. What is worse may have begun at any window (a release may be bad under load alone, or after hours), and a
// product over all would have lost by then whatever it was to win. So the evidence is a mixture of the products that begin at each window
// n, with weights 1/n(n+1), which are 1 in all; those that have not begun stand at 1. A mean of what has expectation 1 at most has, too.
func (c *cell) bet(log float64) {
	if c.windows++; c.windows == 1 {
		c.begun = math.Inf(-1)
	}
	n := c.windows
	c.begun = plus(c.begun, -math.Log(n*(n+1))) + log
	c.log = plus(c.begun, -math.Log(n+1))
}

// plus is the logarithm of a sum.
func plus(a, b float64) float64 {
	most := max(a, b)
	if math.IsInf(most, -1) {
		return most
	}
	return most + math.Log(math.Exp(a-most)+math.Exp(b-most))
}

// window is the logarithm of a window's part of the e-process.
func (c *cell) window(new, control Counts, effect float64) float64 {
	base, worse := c.guess(effect)
	pooled := (new.Of*worse + control.Of*base) / (new.Of + control.Of)
	return new.likelihood(worse) + control.likelihood(base) - new.likelihood(pooled) - control.likelihood(pooled)
}

// guess is the alternative that a window is judged by, from those before it alone: the control's rate, and one that is larger by the
// smallest effect, or by what was seen if that is more.
func (c *cell) guess(effect float64) (base, worse float64) {
	const few = 1 // a request that was never seen, at a rate of half the effect
	base = (c.control.Hit + few*effect/2) / (c.control.Of + few)
	worse = (c.new.Hit + few*(base+effect)) / (c.new.Of + few)
	worse = math.Min(max(worse, base+effect), (1+base)/2)
	return base, max(worse, base)
}

// Cells are the verdicts of all cells by themselves, in the order of metric, class and zone.
func (j *Judge) Cells() (all []Verdict) {
	for _, at := range slices.SortedFunc(maps.Keys(j.cells), func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Zone, b.Zone))
	}) {
		c := j.cells[at]
		own := Verdict{NotEnough, at, c.new.rate(), c.control.rate(), [2]Counts{c.new, c.control}, math.Exp(min(c.log, 700)), c.most(j.plan.Missed)}
		switch {
		case c.worse:
			own.Kind = Worse
		case at.Part || own.Most < j.plan.Effect:
			own.Kind = NoWorse
		}
		all = append(all, own)
	}
	return all
}

// Verdict is what holds now: worse where one cell is, no worse where all are.
func (j *Judge) Verdict() Verdict {
	v := Verdict{Kind: NotEnough}
	whole := false
	for i, own := range j.Cells() {
		if i == 0 || worst(own, v) {
			v = own
		}
		whole = whole || !own.Cell.Part
	}
	if v.Kind == NoWorse && !whole { // nothing that had to be shown was
		v.Kind = NotEnough
	}
	return v
}

// worst orders verdicts: worse, then what lacks evidence, then no worse.
func worst(a, b Verdict) bool {
	order := [...]int{NotEnough: 1, NoWorse: 0, Worse: 2}
	if a.Kind != b.Kind {
		return order[a.Kind] > order[b.Kind]
	}
	if a.Kind == Worse {
		return a.Odds > b.Odds
	}
	return a.Most > b.Most
}

// most is by how much the new rate may be larger than the control's, at a confidence that holds at all times together.
func (c *cell) most(missed float64) float64 {
	return upper(c.new, missed/2) - (1 - upper(Counts{c.control.Of - c.control.Hit, c.control.Of}, missed/2))
}

// Needs is how many more requests the new one has to have, and the control as many in proportion, until it is said to be no worse, if
// the rates stay as they are; ok is false where that would not show it.
func Needs(new, control Counts, missed, effect float64) (more float64, ok bool) {
	holds := func(times float64) bool {
		c := cell{new: Counts{new.Hit * times, new.Of * times}, control: Counts{control.Hit * times, control.Of * times}}
		return c.most(missed) < effect
	}
	const most = 1 << 40
	low, high := 1.0, 1.0
	if new.Of == 0 || control.Of == 0 || new.rate()-control.rate() >= effect {
		return 0, false
	}
	for ; !holds(high); high *= 2 {
		if low = high; high > most {
			return 0, false
		}
	}
	for range 30 {
		if mid := (low + high) / 2; holds(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return math.Ceil(new.Of * (high - 1)), true
}

// Least is by how much the first rate is larger at least, at a confidence that holds at all times together. The counts need not be of one
// time; then a difference says that something has changed, and not what.
func Least(now, before Counts, alpha float64) float64 {
	return 1 - upper(Counts{now.Of - now.Hit, now.Of}, alpha/2) - upper(before, alpha/2)
}

// upper is the upper end of a confidence sequence of a rate.
func upper(c Counts, alpha float64) float64 {
	a, _ := math.Lgamma(c.Hit + 1)
	b, _ := math.Lgamma(c.Of - c.Hit + 1)
	ab, _ := math.Lgamma(c.Of + 2)
	bar := a + b - ab - math.Log(1/alpha) // the mixture's likelihood, less the bar
	lo, hi := c.rate(), 1.0
	if c.Of == 0 {
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
