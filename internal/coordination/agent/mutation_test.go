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
		shell        = "internal/coordination/machine/version.go"
	)
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"an older one is not wanted":    {versions, "version > s.wanted", "version != s.wanted", pkg, "TestVersionsInARow"},
		"orders come first":             {versions, "now < s.held ||", "", pkg, "TestVersionsAndOrders"},
		"what is in force starts":       {versions, "\treturn s.InForce\n", "\treturn s.wanted\n", pkg, "TestAVersionThatMends"},
		"live where the file is told":   {versions, `s.told != ""`, "true", pkg, "TestVersions"},
		"in force is what was read":     {versions, "digest == s.expected", "true", pkg, "TestAVersionBehindOneThatIsTold"},
		"an answer to another check":    {versions, "|| c != s.question()", "", pkg, "TestBothReleasesAreAsked"},
		"the start that was not made":   {sidecar, "\t\ttodo = append(todo, s.start(s.To)...)\n", "", pkg, "TestAStartThatWasNeverMade"},
		"the doomed, for a start":       {sidecar, "\t\tif s.Doomed != nil {\n\t\t\treturn nil\n\t\t}\n", "", pkg, "TestTheDoomedAreGoneFirst"},
		"the doomed, for an order":      {sidecar, "\tcase s.Doomed != nil:\n\t\treturn nil, fmt", "\tcase false:\n\t\treturn nil, fmt", pkg, "TestTheDoomedAreGoneFirst"},
		"older than what is kept":       {shell, "v.Revision <= m.holds", "false", machine, "TestVersionsOnAMachine"},
		"another service's":             {shell, "v.Service != m.c.Application:\n\t\t\treturn struct{}", "false:\n\t\t\treturn struct{}", machine, "TestVersionsOnAMachine"},
		"the digest of what is kept":    {shell, "|| distribute.Digest(content) != v.Digest:", "|| false:", machine, "TestVersionsOnAMachine"},
		"what must not be side by side": {shell, "f.Kind == release.Refused", "false", machine, "TestApart"},
	})
}
