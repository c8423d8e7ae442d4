//go:build !race

// Package guards has a mutation test of package replication: it removes one guard at a time from the source.
package guards

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each guard that the correctness of package replication depends on is removed from the source. The named test must then fail.
func TestGuardsOfTheCode(t *testing.T) {
	const replication = "petrelhook/internal/router/replication"
	mutate.Caught(t, "../../../..", map[string]mutate.Mutant{
		"the epoch of an entry": {File: "internal/router/replication/proposals.go", Text: "if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Diskless {", Replacement: "if r.Diskless {",
			Package: replication, Test: "TestAnEntryOfAnEpochThatWasLeft"},
		"read confirmation": {File: "internal/router/replication/reads.go", Text: "	r.confirmThenAnswer(token, Decision{Status: http.StatusOK})", Replacement: "	r.answer(token, Decision{Status: http.StatusOK})",
			Package: replication, Test: "TestAFrozenPrimaryAnswersNoRead"},
		"the candidate's own promise": {File: "internal/router/replication/phases.go", Text: "if _, own := e.prepare.promises[r.Self.Address]; !own {", Replacement: "if false {",
			Package: replication, Test: "TestACandidateWaitsForItsOwnDisk"},
		"the previous members promise": {File: "internal/router/replication/phases.go", Text: "|| !majority(e.newestView.Old, e.prepare.votes) {", Replacement: "{",
			Package: replication, Test: "TestAnAbandonedChangeHidesNoLaterView"},
		"a change that was begun is finished, explored": {File: "internal/router/replication/members.go", Text: "if !e.newestView.joint() {", Replacement: "if true {",
			Package: replication, Test: "TestExplorationOfAbandonedViews"},
		"the previous members promise, explored": {File: "internal/router/replication/phases.go", Text: "|| !majority(e.newestView.Old, e.prepare.votes) {", Replacement: "{",
			Package: replication, Test: "TestExplorationOfAbandonedViews"},
		"the epoch of a view, explored": {File: "internal/router/replication/witness.go", Text: "if m.View.Epoch.Less(r.hard.Promised) {", Replacement: "if false {",
			Package: replication, Test: "TestExplorationOfAbandonedViews"},
		"disks in the in-sync set, explored": {File: "internal/router/replication/phases.go", Text: "if len(view.InSync) < r.minInSync() {", Replacement: "if false {",
			Package: replication, Test: "TestExplorationOfAbandonedViews"},
		"a duplicate of a state, explored": {File: "internal/router/replication/witness.go", Text: " || m.Epoch == r.hard.Accepted.Epoch || r.Diskless {", Replacement: " || r.Diskless {",
			Package: replication, Test: "TestExplorationOfWorldsForGuards"},
		"the new members promise, explored": {File: "internal/router/replication/phases.go", Text: "!majority(e.newestView.Members, e.prepare.votes) || ", Replacement: "",
			Package: replication, Test: "TestExplorationOfWorldsForGuards"},
		"the epoch of an entry, explored": {File: "internal/router/replication/proposals.go", Text: "if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Diskless {", Replacement: "if r.Diskless {",
			Package: replication, Test: "TestExplorationOfWorldsForGuards"},
		"a change that was begun is finished, on worst days": {File: "internal/router/replication/members.go", Text: "if !e.newestView.joint() {", Replacement: "if true {",
			Package: replication, Test: "TestWorstDays"},
		"a newcomer replaces a member, on worst days": {File: "internal/router/replication/members.go", Text: "index, ok := r.replacedBy(status.member, members)", Replacement: "index, ok := len(members), true",
			Package: replication, Test: "TestWorstDays"},
		"a change that was begun is finished": {File: "internal/router/replication/members.go", Text: "if !e.newestView.joint() {", Replacement: "if true {",
			Package: replication, Test: "TestAnAbandonedChangeOfMembers"},
		"the previous members accept": {File: "internal/router/replication/phases.go", Text: "if majority(accept.view.Members, accept.votes) && majority(accept.view.Old, accept.votes) {", Replacement: "if majority(accept.view.Members, accept.votes) {",
			Package: replication, Test: "TestThePreviousMembersHaveToAgree"},
		"disks in the in-sync set": {File: "internal/router/replication/phases.go", Text: "if len(view.InSync) < r.minInSync() {", Replacement: "if false {",
			Package: replication, Test: "TestTheInSyncMinimum"},
		"a newcomer replaces a member": {File: "internal/router/replication/members.go", Text: "index, ok := r.replacedBy(status.member, members)", Replacement: "index, ok := len(members), true",
			Package: replication, Test: "TestALostDiskAfterAReplacement"},
		"a leaving member is replaced": {File: "internal/router/replication/members.go", Text: "if r.isLeaving(m) || r.unreachableFor(m, replacementTimeout) {", Replacement: "if r.unreachableFor(m, time.Hour) {",
			Package: replication, Test: "TestALostDiskAfterAReplacement"},
		"an in-sync replica rejects catching up": {File: "internal/router/replication/learner.go", Text: "&& !r.knownView.inSync(r.Self.ID)\n}", Replacement: "\n}",
			Package: replication, Test: "TestAnInSyncReplicaRejectsCatchUp"},
		"learners catch up beside proposals": {File: "internal/router/replication/catchup.go", Text: "	r.sendSnapshotChunk(status, learner)\n}", Replacement: "}",
			Package: replication, Test: "TestCatchingUpBesideOrders"},
		"a learner that is caught up is waited for": {File: "internal/router/replication/phases.go", Text: "!ok && r.caughtUp(id) {", Replacement: "!ok && false {",
			Package: replication, Test: "TestCatchingUpBesideOrders"},
		"the epoch of a view": {File: "internal/router/replication/witness.go", Text: "if m.View.Epoch.Less(r.hard.Promised) {", Replacement: "if false {",
			Package: replication, Test: "TestAnOlderCandidateIsRejected"},
		"the epoch of a state": {File: "internal/router/replication/witness.go", Text: "if m.Epoch.Less(r.hard.Promised) || m.Epoch == r.hard.Accepted.Epoch || r.Diskless {", Replacement: "if m.Epoch == r.hard.Accepted.Epoch || r.Diskless {",
			Package: replication, Test: "TestAnOlderCandidateIsRejected"},
		"a candidate could lead": {File: "internal/router/replication/prevote.go", Text: "|| !newest.inSync(r.Self.ID) ||", Replacement: "||",
			Package: replication, Test: "TestOnlyOneThatCouldLeadIsACandidate"},
	})
}
