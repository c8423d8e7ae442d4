package capacity

import (
	"cmp"
	"slices"
)

// RankMisfits is the rows that do not fit: what breaks a rule first, then by how far, then by how much else needs it.
func RankMisfits(rows []Row) (all []Row) {
	for _, r := range rows {
		if r.Class == DoesNotFit {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Row) int {
		return cmp.Or(-cmp.Compare(rule(a), rule(b)), -cmp.Compare(a.Times, b.Times),
			-cmp.Compare(len(a.Needs), len(b.Needs)))
	})
	return all
}

func rule(r Row) int {
	if r.Breaks == BreaksRule {
		return 1
	}
	return 0
}
