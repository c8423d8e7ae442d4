//go:build !race

package agent

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removes each condition that the supervision of processes and the application of versions rely on, one at a time, and requires a
// test to fail.
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
		"an older version has no effect":      {File: versions, Text: "version > s.newest", Replacement: "version != s.newest", Package: pkg, Test: "TestVersionsInARow"},
		"orders come first":                   {File: versions, Text: "now < s.reservedUntil ||", Replacement: "", Package: pkg, Test: "TestVersionsAndOrders"},
		"starts use the version in force":     {File: versions, Text: "\treturn s.InForce\n", Replacement: "\treturn s.newest\n", Package: pkg, Test: "TestANewerVersionEndsACrashLoop"},
		"reload where digests are reported":   {File: versions, Text: `s.reportedDigest != ""`, Replacement: "true", Package: pkg, Test: "TestVersions"},
		"in force once it was read":           {File: versions, Text: "digest == s.expectedDigest", Replacement: "true", Package: pkg, Test: "TestAVersionBehindAReload"},
		"the result of another check":         {File: versions, Text: "|| check != s.nextCheck()", Replacement: "", Package: pkg, Test: "TestBothReleasesAreChecked"},
		"the start that was not made":         {File: sidecar, Text: "\t\tactions = append(actions, s.requestStart(s.Target)...)\n", Replacement: "", Package: pkg, Test: "TestAStartThatWasNeverMade"},
		"the time of a process that ends":     {File: sidecar, Text: "s.deadline = now + s.limits.TerminationTimeout // it is unknown", Replacement: "s.deadline = now // it is unknown", Package: pkg, Test: "TestAnAgentKilledWhileTheOldProcessEnds"},
		"SIGTERM by the next agent":           {File: sidecar, Text: "if s.Phase == Ending && s.Serving != nil {", Replacement: "if false {", Package: pkg, Test: "TestAnAgentKilledWhileTheOldProcessEnds"},
		"a terminating process, for a start":  {File: sidecar, Text: "\tcase s.Terminating != nil:\n\t\treturn nil\n", Replacement: "", Package: pkg, Test: "TestNothingStartsBesideATerminatingProcess"},
		"a terminating process, for an order": {File: change, Text: "\tcase s.Terminating != nil:\n\t\treturn nil, fmt", Replacement: "\tcase false:\n\t\treturn nil, fmt", Package: pkg, Test: "TestNothingStartsBesideATerminatingProcess"},
		"older than the stored versions":      {File: store, Text: "v.Revision <= m.versions.newest", Replacement: "false", Package: machine, Test: "TestVersionsOnAMachine"},
		"another service's version":           {File: store, Text: "v.Service != m.config.Application:\n\t\t\treturn struct{}", Replacement: "false:\n\t\t\treturn struct{}", Package: machine, Test: "TestVersionsOnAMachine"},
		"the digest of a stored version":      {File: store, Text: "|| distribute.Digest(content) != v.Digest:", Replacement: "|| false:", Package: machine, Test: "TestVersionsOnAMachine"},
		"incompatible versions of a release":  {File: checks, Text: "f.Kind == release.Refused", Replacement: "false", Package: machine, Test: "TestIncompatibility"},
	})
}
