//go:build !race

package lease

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removing any one of this package's safety mechanisms from the code makes the test that is named with it fail.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "..", map[string]mutate.Mutant{
		"the fencing check":                {File: "lease/guard.go", Text: "token < g.newest || token == 0", Replacement: "token == 0", Package: "./lease", Test: "TestOneHolder"},
		"the order of a client's commands": {File: "lease/commands.go", Text: "	c.lastCommand = own\n", Replacement: "", Package: "./lease", Test: "TestCommandsKeepTheirOrder"},
	})
}
