//go:build !race

package lease

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each step of the argument that this package has is taken out of the code, one at a time: the test that is named with it fails.
func TestTheChecksCanFail(t *testing.T) {
	mutate.Caught(t, "..", map[string]mutate.Mutant{
		"the fencing check":                {File: "lease/guard.go", Text: "token < g.newest || token == 0", Replacement: "token == 0", Package: "./lease", Test: "TestOneHolder"},
		"the order of a client's commands": {File: "lease/commands.go", Text: "	c.lastCommand = own\n", Replacement: "", Package: "./lease", Test: "TestCommandsKeepTheirOrder"},
	})
}
