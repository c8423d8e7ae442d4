package capacity

// Sensitivity says which verdicts an assumption decides: those that differ if it is doubled or halved.
type Sensitivity struct {
	Assumption
	DoubleFactor float64         `json:"double"` // by which it was multiplied within its bounds
	HalfFactor   float64         `json:"half"`
	Changes      []VerdictChange `json:"moves,omitempty"`
}

// VerdictChange is a verdict that differs.
type VerdictChange struct {
	Row       string `json:"row"`
	Variation string `json:"times"` // "double" or "half"
	Before    string `json:"before"`
	After     string `json:"after"`
}

// Sensitivities doubles and halves each assumption.
func Sensitivities(a *Assumptions, m *Measured) (all []Sensitivity) {
	in := newInputs(a, m)
	before := newModel(in).rows()
	for _, one := range a.All() {
		w := Sensitivity{Assumption: one}
		for _, c := range []struct {
			name   string
			times  float64
			factor *float64
		}{{"double", 2, &w.DoubleFactor}, {"half", 0.5, &w.HalfFactor}} {
			var b *Assumptions
			b, *c.factor = a.Scaled(one.Name, c.times)
			other := *in // the measurements stay the same
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
