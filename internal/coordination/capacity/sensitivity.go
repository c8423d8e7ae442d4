package capacity

// Sensitivity holds the verdicts that depend on an assumption: those that differ if it is doubled or halved.
type Sensitivity struct {
	Assumption
	DoubleFactor float64         `json:"double"` // the factor that was applied, which the field's bounds may limit
	HalfFactor   float64         `json:"half"`
	Changes      []VerdictChange `json:"moves,omitempty"`
}

// VerdictChange is a verdict that differs in a variation.
type VerdictChange struct {
	Row       string `json:"row"`
	Variation string `json:"times"` // "double" or "half"
	Before    string `json:"before"`
	After     string `json:"after"`
}

// Sensitivities doubles and halves each assumption and returns the verdicts that differ. m may be nil: nothing was measured.
func Sensitivities(a *Assumptions, m *Measured) (all []Sensitivity) {
	in := newInputs(a, m)
	before := newModel(in).rows()
	for _, assumption := range a.All() {
		doubled, doubleFactor := a.Scaled(assumption.Name, 2)
		halved, halfFactor := a.Scaled(assumption.Name, 0.5)
		all = append(all, Sensitivity{
			Assumption:   assumption,
			DoubleFactor: doubleFactor,
			HalfFactor:   halfFactor,
			Changes:      append(in.verdictChanges(doubled, "double", before), in.verdictChanges(halved, "half", before)...),
		})
	}
	return all
}

// verdictChanges returns the verdicts that differ with other assumptions and the same measurements. before holds the rows of the
// inputs.
func (in *inputs) verdictChanges(a *Assumptions, variation string, before []Row) (changes []VerdictChange) {
	varied := *in
	varied.assumptions = a
	for i, r := range newModel(&varied).rows() {
		if r.Class != before[i].Class {
			changes = append(changes, VerdictChange{Row: r.Name(), Variation: variation, Before: before[i].Verdict, After: r.Verdict})
		}
	}
	return changes
}
