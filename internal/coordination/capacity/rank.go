package capacity

import (
	"cmp"
	"slices"
)

// RankMisfits returns the rows that do not fit: those that break a rule first, then by how far, then by how much else needs them.
func RankMisfits(rows []Row) (all []Row) {
	for _, r := range rows {
		if r.Class == DoesNotFit {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int {
		return cmp.Or(-cmp.Compare(rule(a), rule(b)), -cmp.Compare(a.Factor, b.Factor),
			-cmp.Compare(len(a.NeededBy), len(b.NeededBy)))
	})
	return all
}

// rule is 1 for a row that breaks a rule.
func rule(r Row) int {
	if r.Breaks == BreaksRule {
		return 1
	}
	return 0
}
