package capacity

// Weight is which verdicts an assumption decides: those that are others where it is twice as large, or half.
type Weight struct {
	Assumption
	Double float64 `json:"double"` // times it became, within its bounds
	Half   float64 `json:"half"`
	Moves  []Move  `json:"moves,omitempty"`
}

// Move is a verdict that is another.
type Move struct {
	Row    string `json:"row"`
	Times  string `json:"times"` // "double" or "half"
	Before string `json:"before"`
	After  string `json:"after"`
}

// Weights tries each assumption at twice and at half of it.
func Weights(a *Assumptions, m *Measured) (all []Weight) {
	in := newInputs(a, m)
	before := newModel(in).rows()
	for _, one := range a.All() {
		w := Weight{Assumption: one}
		for _, c := range []struct {
			name  string
			times float64
			is    *float64
		}{{"double", 2, &w.Double}, {"half", 0.5, &w.Half}} {
			var b *Assumptions
			b, *c.is = a.Times(one.Name, c.times)
			other := *in // what was measured stays
			other.assumed = b
			for i, r := range newModel(&other).rows() {
				if r.Class != before[i].Class {
					w.Moves = append(w.Moves, Move{r.Name(), c.name, before[i].Verdict, r.Verdict})
				}
			}
		}
		all = append(all, w)
	}
	return all
}
