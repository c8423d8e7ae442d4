package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind classifies a difference in a field by whether old and new sidecars may run side by side with it.
type Kind uint8

// The kinds, in increasing order of severity.
const (
	SideBySide Kind = iota // both may run at the same time
	TwoSteps               // another change has to be made before or after, as Finding.Reason says
	Refused                // the rollout is refused
)

func (k Kind) String() string { return [...]string{"side by side", "two steps", "refused"}[k] }

// Finding describes one field that differs between old and new settings. Old and New are its values, or "none" if the field is
// absent.
type Finding struct {
	Field   string `json:"field"` // its path, such as settings.classes[plate-reserve].window_ms
	Old     string `json:"Old"`
	New     string `json:"New"`
	Kind    Kind   `json:"-"`
	Verdict string `json:"verdict"` // the text of Kind
	Reason  string `json:"why"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, was %s: %v: %s", f.Field, f.New, f.Old, f.Kind, f.Reason)
}

// Worst returns the most serious kind of all findings.
func Worst(findings []Finding) (worst Kind) {
	for _, f := range findings {
		worst = max(worst, f.Kind)
	}
	return worst
}

// Compare returns a finding for each field in which two settings differ, in the order of the field names. It returns an error if
// one of them is not a JSON object.
func Compare(old, new []byte) ([]Finding, error) {
	oldFields, err := flattenSettings(old)
	if err != nil {
		return nil, fmt.Errorf("the old settings: %w", err)
	}
	newFields, err := flattenSettings(new)
	if err != nil {
		return nil, fmt.Errorf("the new settings: %w", err)
	}
	fields := maps.Clone(oldFields)
	maps.Copy(fields, newFields)
	var findings []Finding
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		oldValue, inOld := oldFields[field]
		newValue, inNew := newFields[field]
		if inOld == inNew && oldValue == newValue || coveredByEntry(field, oldFields, newFields) {
			continue
		}
		f := Finding{Field: field, Old: display(oldValue, inOld), New: display(newValue, inNew), Kind: SideBySide,
			Reason: "the program does not read it"}
		if r := ruleFor(field); r != nil {
			f.Kind, f.Reason = r.classify(oldValue, newValue)
		}
		findings = append(findings, f)
	}
	if f, refused := warmUpBudget(oldFields, newFields); refused {
		findings = append(findings, f)
	}
	for i := range findings {
		findings[i].Verdict = findings[i].Kind.String()
	}
	return findings, nil
}

// coveredByEntry reports whether a field belongs to a named list entry, such as a class or a tenant, that only one side has. Such
// an entry is one finding, without findings for its fields.
func coveredByEntry(field string, oldFields, newFields map[string]any) bool {
	end := strings.LastIndex(field, "].")
	if end < 0 {
		return false
	}
	entry := field[:end+1]
	_, inOld := oldFields[entry]
	_, inNew := newFields[entry]
	return inOld != inNew
}

// display returns the text of a value in a Finding.
func display(value any, present bool) string {
	if !present {
		return "none"
	}
	return fmt.Sprint(value)
}

// warmUpBudget checks whether servers that are warming up can bear the load of old and new sidecars together. With the settings s
// (cold_from) and f (fall_multiple), a sidecar assumes that a server that is warming up can bear the fraction s of its full work
// and is overloaded at s x f, and gives it up to the fraction max(s, s x f / 2) of the sidecar's own share. Old and new
// sidecars may assume different values of s x f, and the smaller one may be right.
func warmUpBudget(oldFields, newFields map[string]any) (finding Finding, refused bool) {
	budget := func(fields map[string]any) (overload, used float64) {
		size, multiple := number(fields["settings.rules.cold_from"], 1), number(fields["settings.rules.fall_multiple"], 0)
		return size * multiple, size * max(1, multiple/2)
	}
	oldOverload, oldUsed := budget(oldFields)
	newOverload, newUsed := budget(newFields)
	overload, used := min(oldOverload, newOverload), max(oldUsed, newUsed)
	if oldOverload == newOverload || overload == 0 || used <= overload {
		return Finding{}, false
	}
	return Finding{Field: "settings.rules (cold budgets)", Old: fmt.Sprintf("falls at %.3g", oldOverload), New: fmt.Sprintf("falls at %.3g", newOverload),
		Kind: Refused, Reason: fmt.Sprintf("while both are in use cold servers may be given %.3g of their full work, and by the stricter "+
			"of both settings fall over at %.3g: change by smaller steps", used, overload)}, true
}
