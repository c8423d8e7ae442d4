package distribute

import (
	"maps"
	"slices"
)

// addReport adds a report to the counts.
func (s *Summary) addReport(r Report) {
	s.Reported++
	if r.InForce == s.Newest {
		s.InForce++
	}
	s.addHeld(max(r.InForce, r.Refused))
}

// addHeld updates Ahead with a revision that a member holds. A revision above the newest was assigned
// before the coordinators were restored from a backup that lacks this revision.
func (s *Summary) addHeld(held Revision) {
	if held > s.Newest {
		s.Ahead = max(s.Ahead, held)
	}
}

// sortOutdatedFirst moves the sidecars that do not run the newest version to the front and otherwise keeps their order by name.
func (s *Summary) sortOutdatedFirst() {
	slices.SortStableFunc(s.Sidecars, func(a, b SidecarReport) int {
		switch current := a.InForce == s.Newest; {
		case current == (b.InForce == s.Newest):
			return 0
		case current:
			return 1
		}
		return -1
	})
}

// Merge merges the summaries of several coordinators for one service. Each summary must list its sidecars.
// Of several reports on a sidecar, Merge uses the report whose agent was in contact with its coordinator
// most recently. The newest version is the largest version that any coordinator knows.
func Merge(all []Summary) Summary {
	var merged Summary
	latest := map[string]SidecarReport{}
	for _, summary := range all {
		merged.Service = summary.Service
		if summary.Newest > merged.Newest {
			merged.Newest, merged.Digest = summary.Newest, summary.Digest
		}
		for _, r := range summary.Sidecars {
			if present, known := latest[r.Sidecar]; !known || r.Age < present.Age {
				latest[r.Sidecar] = r
			}
		}
	}
	for _, summary := range all {
		merged.addHeld(summary.Ahead)
	}
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		merged.addReport(latest[name].Report)
		merged.Sidecars = append(merged.Sidecars, latest[name])
	}
	merged.sortOutdatedFirst()
	return merged
}
