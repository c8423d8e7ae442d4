package capacity

import (
	"cmp"
	"slices"
)

// RankMisfits returns the rows that do not fit. Rows that break a rule come first. Within both groups,
// rows are in descending order of the factor by which they exceed the budget, then of the number of
// dependents in NeededBy.
func RankMisfits(rows []Row) (all []Row) {
	for _, r := range rows {
		if r.Class == DoesNotFit {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int {
		return cmp.Or(-cmp.Compare(rulePriority(a), rulePriority(b)), -cmp.Compare(a.Factor, b.Factor),
			-cmp.Compare(len(a.NeededBy), len(b.NeededBy)))
	})
	return all
}

// rulePriority returns 1 for a row that breaks a rule, otherwise 0.
func rulePriority(r Row) int {
	if r.Breaks == BreaksRule {
		return 1
	}
	return 0
}
