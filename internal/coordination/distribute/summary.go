package distribute

import (
	"maps"
	"slices"
)

// addReport counts a report.
func (s *Summary) addReport(r Report) {
	s.Reported++
	if r.InForce == s.Newest {
		s.InForce++
	}
	s.addHeld(max(r.InForce, r.Refused))
}

// addHeld counts a revision that a member holds. One above the newest was given before the group was restored, which has forgotten it.
func (s *Summary) addHeld(held Revision) {
	if held > s.Newest {
		s.Ahead = max(s.Ahead, held)
	}
}

// sortOutdatedFirst sorts the sidecars, which are by name, so that those come first that do not run the newest version.
func (s *Summary) sortOutdatedFirst() {
	slices.SortStableFunc(s.Members, func(a, b SidecarReport) int {
		switch current := a.InForce == s.Newest; {
		case current == (b.InForce == s.Newest):
			return 0
		case current:
			return 1
		}
		return -1
	})
}

// Merge returns one summary of those of several coordinators for one service, each with its sidecars: a sidecar's report is the one at
// the coordinator that its agent was in contact with last, and the newest version is the largest one that any of them knows.
func Merge(all []Summary) Summary {
	var merged Summary
	latest := map[string]SidecarReport{}
	for _, summary := range all {
		merged.Service = summary.Service
		if summary.Newest > merged.Newest {
			merged.Newest, merged.Digest = summary.Newest, summary.Digest
		}
		for _, r := range summary.Members {
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
		merged.Members = append(merged.Members, latest[name])
	}
	merged.sortOutdatedFirst()
	return merged
}
