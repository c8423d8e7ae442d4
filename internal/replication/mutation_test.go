//go:build !race

package replication

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that the argument of this package rests on is taken out of the code, and a directed schedule notices.
func TestGuardsOfTheCode(t *testing.T) {
	const here = "petrelhook/internal/replication"
	mutate.Caught(t, "../..", map[string]mutate.Mutant{
		"the epoch of an entry": {"internal/replication/primary.go", "if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Witness {", "if r.Witness {",
			here, "TestAnEntryOfAnEpochThatWasLeft"},
		"read confirmation": {"internal/replication/primary.go", "	r.confirm(token, Decision{Status: http.StatusOK})", "	r.answer(token, Decision{Status: http.StatusOK})",
			here, "TestAFrozenPrimaryAnswersNoRead"},
		"the candidate's own promise": {"internal/replication/election.go", "if _, own := e.promises[r.Self.Address]; !own {", "if false {",
			here, "TestACandidateWaitsForItsOwnDisk"},
		"the members before promise": {"internal/replication/election.go", "|| !majority(e.newest.Old, e.votes) {", "{",
			here, "TestAnAbandonedChangeHidesNoLaterView"},
		"a change that was begun is finished": {"internal/replication/members.go", "if !e.newest.joint() {", "if true {",
			here, "TestAnAbandonedChangeOfMembers"},
		"the members before accept": {"internal/replication/election.go", "if majority(e.view.Members, e.accepts) && majority(e.view.Old, e.accepts) {", "if majority(e.view.Members, e.accepts) {",
			here, "TestTheMembersBeforeHaveToAgree"},
		"disks in the in-sync set": {"internal/replication/election.go", "if len(view.InSync) < r.minInSync() {", "if false {",
			here, "TestTheInSyncMinimum"},
		"the epoch of a view": {"internal/replication/witness.go", "if m.View.Epoch.Less(r.hard.Promised) {", "if false {",
			here, "TestAnOlderCandidateIsRefused"},
		"the epoch of a state": {"internal/replication/witness.go", "if m.Epoch.Less(r.hard.Promised) || r.Witness {", "if r.Witness {",
			here, "TestAnOlderCandidateIsRefused"},
		"a candidate could lead": {"internal/replication/prevote.go", "|| !newest.inSync(r.Self.ID) ||", "||",
			here, "TestOnlyOneThatCouldLeadIsACandidate"},
	})
}
