//go:build !race

package replica_test

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// What the argument needs is taken out of the code, one at a time, and the checks are played on what is left: each is caught. The
// test names the check that does.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":                 {"internal/coordination/lease/doc.go", "/ (1 + MaxDrift)", "/ 1", "./internal/coordination/lease", "TestExploration"},
		"the wait of a new leader":         {"internal/coordination/lease/clock.go", "		c.Renew(id, now)\n	}\n	for name", "		c.alone[id] = now\n	}\n	for name", "./internal/coordination/lease", "TestExploration"},
		"no yes after an expiry":           {"internal/coordination/lease/clock.go", "return ok && !c.ending[id]", "return ok", "./internal/coordination/lease", "TestExploration"},
		"the session's part in repeats":    {"internal/coordination/lease/state.go", "case c.Seq < own.seq:", "case false:", "./internal/coordination/lease", "TestAskedAgain"},
		"the confirmation by a majority":   {"internal/coordination/replica/core.go", `c.raw.ReadIndex(fmt.Appendf(nil, "%d", c.number))`, "c.confirm.index = c.applied", "./internal/coordination/replica", "TestLeadersThatLeadNoMore"},
		"the same, for shares":             {"internal/coordination/replica/core.go", `c.raw.ReadIndex(fmt.Appendf(nil, "%d", c.number))`, "c.confirm.index = c.applied", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"a new leader's wait, for shares":  {"internal/coordination/share/divider.go", "if now < d.from {", "if false {", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"an answer that is heard twice":    {"internal/coordination/share/taker.go", "told.Units > 0 && !known", "told.Units > 0 && (true || known)", "./internal/coordination/replica", "TestSharesOfAGroup"},
		"old answers to who waits anew":    {"internal/coordination/lease/holder.go", "waits && since <= asked &&", "waits && since <= since &&", "./internal/coordination/replica", "TestSchedules"},
		"the fencing check":                {"lease/guard.go", "token < g.newest || token == 0", "token == 0", "./lease", "TestOneHolder"},
		"the sync before an answer":        {"internal/coordination/fleet/server.go", "if w.Sync {", "if w.Sync && w.Snapshot != nil {", "./cmd/petrelhook-coordinator", "TestAllKilledAtOnce"},
		"another life of a replica's disk": {"internal/coordination/replica/members.go", `life != "" && life != c.Options.Incarnation`, "false", "./cmd/petrelhook-coordinator", "TestLostDisk"},
		"a client's line of commands":      {"lease/line.go", "	c.last = mine\n", "", "./lease", "TestCommandsKeepTheirOrder"},
	})
}
