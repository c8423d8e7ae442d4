package capacity

// Sensitivity is which verdicts an assumption decides: those that are others where it is twice as large, or half.
type Sensitivity struct {
	Assumption
	DoubleFactor float64         `json:"double"` // times it became, within its bounds
	HalfFactor   float64         `json:"half"`
	Changes      []VerdictChange `json:"moves,omitempty"`
}

// VerdictChange is a verdict that is another.
type VerdictChange struct {
	Row    string `json:"row"`
	Times  string `json:"times"` // "double" or "half"
	Before string `json:"before"`
	After  string `json:"after"`
}

// Sensitivities tries each assumption at twice and at half of it.
func Sensitivities(a *Assumptions, m *Measured) (all []Sensitivity) {
	in := newInputs(a, m)
	before := newModel(in).rows()
	for _, one := range a.All() {
		w := Sensitivity{Assumption: one}
		for _, c := range []struct {
			name  string
			times float64
			is    *float64
		}{{"double", 2, &w.DoubleFactor}, {"half", 0.5, &w.HalfFactor}} {
			var b *Assumptions
			b, *c.is = a.Times(one.Name, c.times)
			other := *in // what was measured stays
			other.assumptions = b
			for i, r := range newModel(&other).rows() {
				if r.Class != before[i].Class {
					w.Changes = append(w.Changes, VerdictChange{r.Name(), c.name, before[i].Verdict, r.Verdict})
				}
			}
		}
		all = append(all, w)
	}
	return all
}
