//go:build !race

package agent

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// What a version's way into force rests on is taken out of the code, one at a time: each is caught.
func TestTheChecksCanFail(t *testing.T) {
	const (
		pkg, machine = "./internal/coordination/agent", "./internal/coordination/machine"
		versions     = "internal/coordination/agent/configuration.go"
		sidecar      = "internal/coordination/agent/sidecar.go"
		change       = "internal/coordination/agent/change.go"
		store        = "internal/coordination/machine/version.go"
		checks       = "internal/coordination/machine/check.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"an older one is not wanted":          {versions, "version > s.newest", "version != s.newest", pkg, "TestVersionsInARow"},
		"orders come first":                   {versions, "now < s.reservedUntil ||", "", pkg, "TestVersionsAndOrders"},
		"what is in force starts":             {versions, "\treturn s.InForce\n", "\treturn s.newest\n", pkg, "TestAVersionThatMends"},
		"live where the file is told":         {versions, `s.reportedDigest != ""`, "true", pkg, "TestVersions"},
		"in force is what was read":           {versions, "digest == s.expectedDigest", "true", pkg, "TestAVersionBehindOneThatIsTold"},
		"an answer to another check":          {versions, "|| check != s.nextCheck()", "", pkg, "TestBothReleasesAreAsked"},
		"the start that was not made":         {sidecar, "\t\tactions = append(actions, s.requestStart(s.Target)...)\n", "", pkg, "TestAStartThatWasNeverMade"},
		"a terminating process, for a start":  {sidecar, "\tcase s.Terminating != nil:\n\t\treturn nil\n", "", pkg, "TestTheDoomedAreGoneFirst"},
		"a terminating process, for an order": {change, "\tcase s.Terminating != nil:\n\t\treturn nil, fmt", "\tcase false:\n\t\treturn nil, fmt", pkg, "TestTheDoomedAreGoneFirst"},
		"older than what is kept":             {store, "v.Revision <= m.versions.newest", "false", machine, "TestVersionsOnAMachine"},
		"another service's":                   {store, "v.Service != m.config.Application:\n\t\t\treturn struct{}", "false:\n\t\t\treturn struct{}", machine, "TestVersionsOnAMachine"},
		"the digest of what is kept":          {store, "|| distribute.Digest(content) != v.Digest:", "|| false:", machine, "TestVersionsOnAMachine"},
		"what must not be side by side":       {checks, "f.Kind == release.Refused", "false", machine, "TestApart"},
	})
}
