//go:build !race

package replication

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that the argument of this package depends on is removed from the code, and a directed schedule notices.
func TestGuardsOfTheCode(t *testing.T) {
	const here = "petrelhook/internal/router/replication"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the epoch of an entry": {"internal/router/replication/proposals.go", "if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Diskless {", "if r.Diskless {",
			here, "TestAnEntryOfAnEpochThatWasLeft"},
		"read confirmation": {"internal/router/replication/reads.go", "	r.confirmThenAnswer(token, Decision{Status: http.StatusOK})", "	r.answer(token, Decision{Status: http.StatusOK})",
			here, "TestAFrozenPrimaryAnswersNoRead"},
		"the candidate's own promise": {"internal/router/replication/phases.go", "if _, own := e.prepare.promises[r.Self.Address]; !own {", "if false {",
			here, "TestACandidateWaitsForItsOwnDisk"},
		"the members before promise": {"internal/router/replication/phases.go", "|| !majority(e.newestView.Old, e.prepare.votes) {", "{",
			here, "TestAnAbandonedChangeHidesNoLaterView"},
		"a change that was begun is finished, explored": {"internal/router/replication/members.go", "if !e.newestView.joint() {", "if true {",
			here, "TestExplorationOfAbandonedViews"},
		"the members before promise, explored": {"internal/router/replication/phases.go", "|| !majority(e.newestView.Old, e.prepare.votes) {", "{",
			here, "TestExplorationOfAbandonedViews"},
		"the epoch of a view, explored": {"internal/router/replication/witness.go", "if m.View.Epoch.Less(r.hard.Promised) {", "if false {",
			here, "TestExplorationOfAbandonedViews"},
		"disks in the in-sync set, explored": {"internal/router/replication/phases.go", "if len(view.InSync) < r.minInSync() {", "if false {",
			here, "TestExplorationOfAbandonedViews"},
		"a change that was begun is finished, on worst days": {"internal/router/replication/members.go", "if !e.newestView.joint() {", "if true {",
			here, "TestWorstDays"},
		"a newcomer replaces a member, on worst days": {"internal/router/replication/members.go", "index, ok := r.replacedBy(status.member, members)", "index, ok := len(members), true",
			here, "TestWorstDays"},
		"a change that was begun is finished": {"internal/router/replication/members.go", "if !e.newestView.joint() {", "if true {",
			here, "TestAnAbandonedChangeOfMembers"},
		"the members before accept": {"internal/router/replication/phases.go", "if majority(accept.view.Members, accept.votes) && majority(accept.view.Old, accept.votes) {", "if majority(accept.view.Members, accept.votes) {",
			here, "TestTheMembersBeforeHaveToAgree"},
		"disks in the in-sync set": {"internal/router/replication/phases.go", "if len(view.InSync) < r.minInSync() {", "if false {",
			here, "TestTheInSyncMinimum"},
		"a newcomer replaces a member": {"internal/router/replication/members.go", "index, ok := r.replacedBy(status.member, members)", "index, ok := len(members), true",
			here, "TestALostDiskAfterAReplacement"},
		"a leaving member is replaced": {"internal/router/replication/members.go", "if r.isLeaving(m) || r.unreachableFor(m, replacementTimeout) {", "if r.unreachableFor(m, time.Hour) {",
			here, "TestALostDiskAfterAReplacement"},
		"an in-sync replica rejects catching up": {"internal/router/replication/learner.go", "&& !r.knownView.inSync(r.Self.ID)\n}", "\n}",
			here, "TestAnInSyncReplicaRejectsCatchUp"},
		"learners catch up beside proposals": {"internal/router/replication/catchup.go", "	r.sendSnapshotChunk(status, learner)\n}", "}",
			here, "TestCatchingUpBesideOrders"},
		"a learner that is caught up is waited for": {"internal/router/replication/phases.go", "!ok && r.caughtUp(id) {", "!ok && false {",
			here, "TestCatchingUpBesideOrders"},
		"the epoch of a view": {"internal/router/replication/witness.go", "if m.View.Epoch.Less(r.hard.Promised) {", "if false {",
			here, "TestAnOlderCandidateIsRejected"},
		"the epoch of a state": {"internal/router/replication/witness.go", "if m.Epoch.Less(r.hard.Promised) || r.Diskless {", "if r.Diskless {",
			here, "TestAnOlderCandidateIsRejected"},
		"a candidate could lead": {"internal/router/replication/prevote.go", "|| !newest.inSync(r.Self.ID) ||", "||",
			here, "TestOnlyOneThatCouldLeadIsACandidate"},
	})
}
