//go:build !race

package replica_test

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removing any one of the safety mechanisms from the code makes the test that is named with it fail.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"leadership confirmed by a majority":      {File: "internal/coordination/replica/request.go", Text: `c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))`, Replacement: "c.pending.confirming.index = c.applied", Package: "./internal/coordination/replica", Test: "TestDeposedLeadersRenewNothing"},
		"leadership confirmed, for shares":        {File: "internal/coordination/replica/request.go", Text: `c.node.ReadIndex(fmt.Appendf(nil, "%d", c.pending.lastNumber))`, Replacement: "c.pending.confirming.index = c.applied", Package: "./internal/coordination/replica", Test: "TestSharesOfAGroup"},
		"a new leader's wait before allocations":  {File: "internal/coordination/share/allocator.go", Text: "if now < a.startsAt {", Replacement: "if false {", Package: "./internal/coordination/replica", Test: "TestSharesOfAGroup"},
		"a duplicated allocation response":        {File: "internal/coordination/share/consumer.go", Text: "a.Units > 0 && !known", Replacement: "a.Units > 0 && (true || known)", Package: "./internal/coordination/replica", Test: "TestSharesOfAGroup"},
		"a stale response to a new wait":          {File: "internal/coordination/lease/sessionstate.go", Text: "isWaiting && waitingSince <= requestedAt &&", Replacement: "isWaiting && waitingSince <= waitingSince &&", Package: "./internal/coordination/replica", Test: "TestSchedules"},
		"sync before a response":                  {File: "internal/coordination/fleet/server.go", Text: "if ready.Sync {", Replacement: "if ready.Sync && ready.Snapshot != nil {", Package: "./internal/rig/simcoordinator", Test: "TestAllKilledAtOnce"},
		"incarnation of a replica's disk checked": {File: "internal/coordination/replica/members.go", Text: `incarnation != "" && incarnation != c.Incarnation`, Replacement: "false", Package: "./internal/rig/simcoordinator", Test: "TestLostDisk"},
	})
}
