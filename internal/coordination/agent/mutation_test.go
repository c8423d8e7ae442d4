//go:build !race

package agent

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each condition that the application of versions rests on is removed from the code, one at a time, and a test notices.
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
		"an older version has no effect":      {versions, "version > s.newest", "version != s.newest", pkg, "TestVersionsInARow"},
		"orders come first":                   {versions, "now < s.reservedUntil ||", "", pkg, "TestVersionsAndOrders"},
		"starts use the version in force":     {versions, "\treturn s.InForce\n", "\treturn s.newest\n", pkg, "TestANewerVersionEndsACrashLoop"},
		"reload where digests are reported":   {versions, `s.reportedDigest != ""`, "true", pkg, "TestVersions"},
		"in force once it was read":           {versions, "digest == s.expectedDigest", "true", pkg, "TestAVersionBehindAReload"},
		"the result of another check":         {versions, "|| check != s.nextCheck()", "", pkg, "TestBothReleasesAreChecked"},
		"the start that was not made":         {sidecar, "\t\tactions = append(actions, s.requestStart(s.Target)...)\n", "", pkg, "TestAStartThatWasNeverMade"},
		"the time of a process that ends":     {sidecar, "s.deadline = now + s.limits.TerminationTimeout // nobody", "s.deadline = now // nobody", pkg, "TestAnAgentKilledWhileTheOldProcessEnds"},
		"SIGTERM by the next agent":           {sidecar, "if s.Phase == Ending && s.Serving != nil {", "if false {", pkg, "TestAnAgentKilledWhileTheOldProcessEnds"},
		"a terminating process, for a start":  {sidecar, "\tcase s.Terminating != nil:\n\t\treturn nil\n", "", pkg, "TestNothingStartsBesideATerminatingProcess"},
		"a terminating process, for an order": {change, "\tcase s.Terminating != nil:\n\t\treturn nil, fmt", "\tcase false:\n\t\treturn nil, fmt", pkg, "TestNothingStartsBesideATerminatingProcess"},
		"older than the stored ones":          {store, "v.Revision <= m.versions.newest", "false", machine, "TestVersionsOnAMachine"},
		"another service's version":           {store, "v.Service != m.config.Application:\n\t\t\treturn struct{}", "false:\n\t\t\treturn struct{}", machine, "TestVersionsOnAMachine"},
		"the digest of a stored version":      {store, "|| distribute.Digest(content) != v.Digest:", "|| false:", machine, "TestVersionsOnAMachine"},
		"what must not be side by side":       {checks, "f.Kind == release.Refused", "false", machine, "TestIncompatibility"},
	})
}
