//go:build !race

package lease

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each mutant removes one step of the package's safety argument from the code; the named test must fail with it.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"the drift margin":              {File: "internal/coordination/lease/doc.go", Text: "/ (1 + MaxDrift)", Replacement: "/ 1", Package: "./internal/coordination/lease", Test: "TestExploration"},
		"the wait of a new leader":      {File: "internal/coordination/lease/lessor.go", Text: "		ls.Renew(id, now)\n	}\n	for name", Replacement: "		ls.expiry[id] = now\n	}\n	for name", Package: "./internal/coordination/lease", Test: "TestExploration"},
		"no renewal after an expiry":    {File: "internal/coordination/lease/lessor.go", Text: "return ok && !ls.expiring[id]", Replacement: "return ok", Package: "./internal/coordination/lease", Test: "TestExploration"},
		"the session's sequence number": {File: "internal/coordination/lease/state.go", Text: "case c.Seq < sess.lastSeq:", Replacement: "case false:", Package: "./internal/coordination/lease", Test: "TestRepeatedCommandsActOnce"},
	})
}
