package capacity

import (
	"fmt"
	"math"
)

// What a row that does not fit breaks.
const (
	BreaksRule = "rule" // something is refused, lost or can't be done at all
	BreaksTime = "time" // it is done, but later or dearer than asked
)

// Class is what a verdict says.
type Class string

// The classes.
const (
	Fits        Class = "fits"
	DoesNotFit  Class = "does not"
	NotMeasured Class = "not measured"
	NoBudget    Class = "no budget"
)

// Row is one answer: what a role needs in a time, beside what it has.
type Row struct {
	Time      string   `json:"time"`
	Role      string   `json:"role"`
	What      string   `json:"what"`
	Unit      string   `json:"unit"`
	Need      Figure   `json:"need"`
	Budget    *Figure  `json:"budget,omitempty"`
	Breaks    string   `json:"breaks,omitempty"` // BreaksRule or BreaksTime, where it does not fit
	Mechanism string   `json:"mechanism"`        // that carries it, by package
	Needs     []string `json:"needs,omitempty"`  // what else needs it
	Class     Class    `json:"class"`
	Times     float64  `json:"times,omitempty"` // by how many it fits, or is over
	Verdict   string   `json:"verdict"`
}

// Name tells rows apart.
func (r *Row) Name() string { return r.Time + ": " + r.Role + ": " + r.What }

// judge sets the verdict. A need of which a part is missing is a least one: over the budget it does not fit all the
// same.
func (r *Row) judge() {
	var missing []string
	if missing = r.Need.Missing; r.Budget != nil {
		missing = union(missing, r.Budget.Missing)
	}
	switch need := r.Need.Value; {
	case r.Budget != nil && len(r.Budget.Missing) == 0 && need > r.Budget.Value:
		r.Class, r.Times = DoesNotFit, need/r.Budget.Value
		r.Verdict = fmt.Sprintf("does not: %s times over", atMost(r.Times))
		if len(missing) > 0 {
			r.Verdict = fmt.Sprintf("does not: at least %s times over", atMost(r.Times))
		} else if r.Times < 1+r.Need.Error {
			r.Verdict += fmt.Sprintf(", within its slope's error of %.0f%%", 100*r.Need.Error)
		}
	case len(missing) > 0:
		r.Class, r.Verdict = NotMeasured, "not measured"
	case r.Budget == nil:
		r.Class, r.Verdict = NoBudget, "no budget is stated"
	case need <= 0:
		r.Class, r.Verdict = Fits, "fits"
	default:
		r.Class, r.Times = Fits, r.Budget.Value/need
		r.Verdict = fmt.Sprintf("fits by %s times", atLeast(r.Times))
		if r.Times < 1+r.Need.Error {
			r.Verdict += fmt.Sprintf(", within its slope's error of %.0f%%", 100*r.Need.Error)
		}
	}
}

// Missing is what the row would need to be judged.
func (r *Row) Missing() []string {
	if r.Budget == nil {
		return r.Need.Missing
	}
	return union(r.Need.Missing, r.Budget.Missing)
}

// atLeast writes a factor rounded down, and atMost one rounded up: no margin is written larger than it is, and no
// miss smaller.
func atLeast(v float64) string {
	unit := step(v)
	return number(math.Floor(v/unit+1e-9) * unit)
}

func atMost(v float64) string {
	unit := step(v)
	return number(math.Ceil(v/unit-1e-9) * unit)
}

func step(v float64) float64 {
	switch {
	case v < 2:
		return 0.01
	case v < 10:
		return 0.1
	}
	return math.Pow(10, math.Floor(math.Log10(v))-1)
}
