package capacity

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Report holds all results for a fleet of one size.
type Report struct {
	Assumptions   []Assumption  `json:"assumptions"`
	Measured      *Origin       `json:"measured,omitempty"` // nil: nothing was measured
	Derived       []Derived     `json:"derived"`
	Lines         []Line        `json:"lines,omitempty"`
	Rows          []Row         `json:"rows"`
	Ranking       []Row         `json:"ranking"`
	Sensitivities []Sensitivity `json:"weights"`
}

// Origin describes the run that measured the points.
type Origin struct {
	At       time.Time `json:"at"`
	Commit   string    `json:"commit"`
	Machine  string    `json:"machine"`
	Seed     uint64    `json:"seed"`
	Points   int       `json:"points"`
	FitUpTo  int       `json:"fit_up_to"`
	Findings []string  `json:"findings,omitempty"`
}

// NewReport computes a report. m may be nil: nothing was measured.
func NewReport(a *Assumptions, m *Measured) *Report {
	r := &Report{Assumptions: a.All(), Sensitivities: Sensitivities(a, m)}
	model := newModel(newInputs(a, m))
	r.Rows, r.Derived = model.rows(), model.derived
	r.Ranking = RankMisfits(r.Rows)
	if m != nil {
		r.Measured = &Origin{m.At, m.Commit, m.Machine, m.Seed, len(m.Points), m.FitUpTo, m.Findings}
		r.Lines = Fit(m)
	}
	return r
}

// Table is a table of a report. The markers of a page refer to it by Name.
type Table struct {
	Name  string
	Title string
	Head  []string
	Rows  [][]string
	Empty string // written in place of a table without rows
}

// Tables returns all tables of a report, in the order of the page.
func (r *Report) Tables() []Table {
	all := []Table{r.targetTable(), r.verdictTable(), r.derivedTable(), r.slopeTable()}
	all = append(all, r.situationTables()...)
	return append(all, r.rankingTable(), r.assumptionTable(), r.missingTable(), r.runTable())
}

func (r *Report) targetTable() Table {
	t := Table{Name: "targets", Title: "Targets", Head: []string{"target", "value", "note"}}
	for _, a := range r.Assumptions {
		if rest, ok := strings.CutPrefix(a.Name, "target."); ok {
			t.Rows = append(t.Rows, []string{strings.ReplaceAll(rest, "_", " "), quantity(a.Value, a.Unit), a.Reason})
		}
	}
	return t
}

func (r *Report) verdictTable() Table {
	t := Table{Name: "verdicts", Title: "Verdicts", Head: []string{"verdict", "rows"}}
	for _, c := range []Class{Fits, DoesNotFit, NotMeasured, NoBudget} {
		n := 0
		for _, row := range r.Rows {
			if row.Class == c {
				n++
			}
		}
		t.Rows = append(t.Rows, []string{string(c), number(float64(n))})
	}
	return t
}

func (r *Report) derivedTable() Table {
	t := Table{Name: "derived", Title: "Derived figures, named by other rows",
		Head: []string{"figure", "value", "sources"}}
	for _, d := range r.Derived {
		t.Rows = append(t.Rows, []string{d.Name, quantity(d.Value, d.Unit), strings.Join(d.From, ", ")})
	}
	return t
}

func (r *Report) slopeTable() Table {
	t := Table{Name: "slopes", Title: "Slopes", Empty: "Not measured.",
		Head: []string{"slope", "intercept", "per 1,000", "fitted on", "spread", "check: predicted", "measured", "trusted"}}
	for _, l := range r.Lines {
		predicted, measured, trusted := "", "", "no: "+l.Reason
		if l.Check != nil {
			predicted, measured = number(l.Check.Predicted), number(l.Check.MeasuredMean)+" at "+number(float64(l.Check.Size))
		}
		if l.Trusted {
			trusted = "yes: " + l.Reason
		}
		t.Rows = append(t.Rows, []string{l.String(), number(l.Intercept), number(1000 * l.Slope), sizes(l.Sizes),
			fmt.Sprintf("%.0f%%", 100*l.Spread), predicted, measured, trusted})
	}
	return t
}

// sizes formats a list of sizes.
func sizes(all []int) string {
	var texts []string
	for _, n := range all {
		texts = append(texts, number(float64(n)))
	}
	return strings.Join(texts, "; ")
}

func (r *Report) situationTables() (all []Table) {
	for i, situation := range Situations() {
		t := Table{Name: fmt.Sprintf("time-%d", i+1), Title: strings.ToUpper(situation[:1]) + situation[1:],
			Head: []string{"role", "quantity", "need", "budget", "verdict", "mechanism", "sources"}}
		for _, row := range r.Rows {
			if row.Situation == situation {
				t.Rows = append(t.Rows, []string{row.Role, row.Quantity, row.need(), row.budget(), row.Verdict,
					row.Mechanism, row.from()})
			}
		}
		all = append(all, t)
	}
	return all
}

// need formats the need; it is marked as a lower bound if a part is missing, and empty if nothing is known.
func (r *Row) need() string {
	switch text := quantity(r.Need.Value, r.Unit); {
	case len(r.Need.Missing) == 0:
		return text
	case r.Need.Value > 0:
		return "at least " + text
	}
	return ""
}

// budget formats the budget; it is empty if there is none or a part of it is missing.
func (r *Row) budget() string {
	if r.Budget == nil || len(r.Budget.Missing) > 0 {
		return ""
	}
	return quantity(r.Budget.Value, r.Unit)
}

// from lists the sources of the need and the budget.
func (r *Row) from() string {
	from := r.Need.From
	if r.Budget != nil {
		from = union(from, r.Budget.From)
	}
	return strings.Join(from, ", ")
}

// breaksDescription is the text of Row.Breaks in a table.
var breaksDescription = map[string]string{BreaksRule: "a rule", BreaksTime: "a time or cost"}

func (r *Report) rankingTable() Table {
	t := Table{Name: "ranking", Title: "What does not fit", Head: []string{"situation", "role", "quantity", "over", "breaks",
		"needed by", "mechanism"},
		Empty: "Nothing that could be judged is over."}
	for _, row := range r.Ranking {
		t.Rows = append(t.Rows, []string{row.Situation, row.Role, row.Quantity, strings.TrimPrefix(row.Verdict, "does not: "),
			breaksDescription[row.Breaks],
			strings.Join(row.NeededBy, "; "), row.Mechanism})
	}
	return t
}

func (r *Report) assumptionTable() Table {
	t := Table{Name: "assumptions", Title: "Assumptions, and their weight",
		Head: []string{"field", "value", "reason", "verdicts that change at twice or half of it"}}
	for _, w := range r.Sensitivities {
		var changes []string
		for _, c := range w.Changes {
			changes = append(changes, fmt.Sprintf("%s: %s (%s -> %s)", c.Variation, c.Row, c.Before, c.After))
		}
		t.Rows = append(t.Rows, []string{w.Name, quantity(w.Value, w.Unit), w.Reason, strings.Join(changes, "; ")})
	}
	return t
}

func (r *Report) missingTable() Table {
	t := Table{Name: "missing", Title: "What was not measured", Head: []string{"situation", "role", "quantity", "missing"},
		Empty: "Nothing is missing."}
	for _, row := range r.Rows {
		if len(row.Missing()) > 0 {
			t.Rows = append(t.Rows, []string{row.Situation, row.Role, row.Quantity, strings.Join(row.Missing(), "; ")})
		}
	}
	return t
}

func (r *Report) runTable() Table {
	t := Table{Name: "findings", Title: "The run", Head: []string{"property", "value"},
		Empty: "Not measured: there is no file of points."}
	if o := r.Measured; o != nil {
		t.Rows = [][]string{{"at", o.At.UTC().Format(time.RFC3339)}, {"commit", o.Commit}, {"machine", o.Machine},
			{"seed", fmt.Sprint(o.Seed)},
			{"points", number(float64(o.Points))}, {"fitted up to", number(float64(o.FitUpTo))}}
		for _, f := range o.Findings {
			t.Rows = append(t.Rows, []string{"finding", f})
		}
	}
	return t
}

// number formats whole numbers in full, with commas, and others with three or four significant digits.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == 0 || math.IsNaN(v) || math.IsInf(v, 0):
		return fmt.Sprint(v)
	case a >= 1000:
		if v != math.Trunc(v) {
			unit := math.Pow(10, math.Max(0, math.Floor(math.Log10(a))-3))
			v = math.Round(v/unit) * unit
		}
		return commas(fmt.Sprintf("%.0f", v))
	case v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case a >= 0.001:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2e", v)
}

// commas inserts commas between groups of three digits.
func commas(text string) string {
	digits := strings.TrimPrefix(text, "-")
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	if strings.HasPrefix(text, "-") {
		return "-" + digits
	}
	return digits
}

// quantity formats a number with its unit.
func quantity(v float64, unit string) string {
	if unit == unitSeconds {
		switch {
		case v == 0:
			return "0 s"
		case v < 1e-3:
			return number(v*1e6) + " us"
		case v < 1:
			return number(v*1e3) + " ms"
		}
		return number(v) + " s"
	}
	if unit == unitNone {
		return number(v)
	}
	return number(v) + " " + unit
}
