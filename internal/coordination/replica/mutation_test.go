//go:build !race

package replica_test

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each step of the argument is taken out of the code, one at a time: the test that is named with it fails.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":                        {"internal/coordination/lease/doc.go", "/ (1 + MaxDrift)", "/ 1", "./internal/coordination/lease", "TestExploration"},
		"the wait of a new leader":                {"internal/coordination/lease/lessor.go", "		ls.Renew(id, now)\n	}\n	for name", "		ls.expiry[id] = now\n	}\n	for name", "./internal/coordination/lease", "TestExploration"},
		"no renewal after an expiry":              {"internal/coordination/lease/lessor.go", "return ok && !ls.expiring[id]", "return ok", "./internal/coordination/lease", "TestExploration"},
		"the session's sequence number":           {"internal/coordination/lease/state.go", "case c.Seq < sess.lastSeq:", "case false:", "./internal/coordination/lease", "TestRepeatedCommandsActOnce"},
		"the confirmation by a majority":          {"internal/coordination/replica/request.go", `c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))`, "c.pending.confirming.index = c.applied", "./internal/coordination/replica", "TestDeposedLeadersRenewNothing"},
		"the same, for shares":                    {"internal/coordination/replica/request.go", `c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))`, "c.pending.confirming.index = c.applied", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"a new leader's wait, for shares":         {"internal/coordination/share/allocator.go", "if now < a.startsAt {", "if false {", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"a response that arrives twice":           {"internal/coordination/share/consumer.go", "a.Units > 0 && !known", "a.Units > 0 && (true || known)", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"old responses to a new wait":             {"internal/coordination/lease/sessionstate.go", "isWaiting && waitingSince <= requestedAt &&", "isWaiting && waitingSince <= waitingSince &&", "./internal/coordination/replica", "TestSchedules"},
		"the fencing check":                       {"lease/guard.go", "token < g.newest || token == 0", "token == 0", "./lease", "TestOneHolder"},
		"the sync before a response":              {"internal/coordination/fleet/server.go", "if ready.Sync {", "if ready.Sync && ready.Snapshot != nil {", "./cmd/petrelhook-coordinator", "TestAllKilledAtOnce"},
		"another incarnation of a replica's disk": {"internal/coordination/replica/members.go", `incarnation != "" && incarnation != c.Incarnation`, "false", "./cmd/petrelhook-coordinator", "TestLostDisk"},
		"the order of a client's commands":        {"lease/commands.go", "	c.lastCommand = own\n", "", "./lease", "TestCommandsKeepTheirOrder"},
	})
}
