package capacity

import (
	"fmt"
	"math"
)

// The values of Row.Breaks: what happens if the need of a row exceeds its budget.
const (
	BreaksRule = "rule" // something is refused, lost or impossible
	BreaksTime = "time" // the work is done, but later or at a higher cost than required
)

// Class is the kind of a verdict.
type Class string

// The classes.
const (
	Fits        Class = "fits"
	DoesNotFit  Class = "does not"
	NotMeasured Class = "not measured"
	NoBudget    Class = "no budget"
)

// Row is one result: how much of a quantity a role needs in a situation, and the budget for it.
type Row struct {
	Situation string   `json:"time"`
	Role      string   `json:"role"`
	Quantity  string   `json:"what"`
	Unit      string   `json:"unit"`
	Need      Figure   `json:"need"`
	Budget    *Figure  `json:"budget,omitempty"`
	Breaks    string   `json:"breaks,omitempty"` // BreaksRule or BreaksTime: what happens if the row does not fit
	Mechanism string   `json:"mechanism"`        // the packages that do the work
	NeededBy  []string `json:"needs,omitempty"`  // situations and functions that depend on it
	Class     Class    `json:"class"`
	Factor    float64  `json:"times,omitempty"` // budget / need if the row fits, need / budget if it does not; 0: none
	Verdict   string   `json:"verdict"`
}

// Name identifies the row.
func (r *Row) Name() string { return r.Situation + ": " + r.Role + ": " + r.Quantity }

// setVerdict sets Class, Factor and Verdict. A need of which a part is missing is a lower bound: if this bound exceeds the
// budget, the row does not fit.
func (r *Row) setVerdict() {
	var missing []string
	if missing = r.Need.Missing; r.Budget != nil {
		missing = union(missing, r.Budget.Missing)
	}
	switch need := r.Need.Value; {
	case r.Budget != nil && len(r.Budget.Missing) == 0 && need > r.Budget.Value:
		r.Class, r.Factor = DoesNotFit, need/r.Budget.Value
		r.Verdict = fmt.Sprintf("does not: %s times over", atMost(r.Factor))
		if len(missing) > 0 {
			r.Verdict = fmt.Sprintf("does not: at least %s times over", atMost(r.Factor))
		} else if r.Factor < 1+r.Need.Error {
			r.Verdict += fmt.Sprintf(", within its slope's error of %.0f%%", 100*r.Need.Error)
		}
	case len(missing) > 0:
		r.Class, r.Verdict = NotMeasured, "not measured"
	case r.Budget == nil:
		r.Class, r.Verdict = NoBudget, "no budget is stated"
	case need <= 0:
		r.Class, r.Verdict = Fits, "fits"
	default:
		r.Class, r.Factor = Fits, r.Budget.Value/need
		r.Verdict = fmt.Sprintf("fits by %s times", atLeast(r.Factor))
		if r.Factor < 1+r.Need.Error {
			r.Verdict += fmt.Sprintf(", within its slope's error of %.0f%%", 100*r.Need.Error)
		}
	}
}

// Missing returns the measurements that the verdict lacks.
func (r *Row) Missing() []string {
	if r.Budget == nil {
		return r.Need.Missing
	}
	return union(r.Need.Missing, r.Budget.Missing)
}

// atLeast formats a factor rounded down, so that a margin is never overstated.
func atLeast(v float64) string {
	unit := step(v)
	return number(math.Floor(v/unit+1e-9) * unit)
}

// atMost formats a factor rounded up, so that an excess is never understated.
func atMost(v float64) string {
	unit := step(v)
	return number(math.Ceil(v/unit-1e-9) * unit)
}

// step returns the unit of the last digit of a formatted factor.
func step(v float64) float64 {
	switch {
	case v < 2:
		return 0.01
	case v < 10:
		return 0.1
	}
	return math.Pow(10, math.Floor(math.Log10(v))-1)
}
