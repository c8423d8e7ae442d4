//go:build !race

package distribute

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Each step of the argument is taken out of the code, one at a time: the test that is named with it fails. Tests of rapid are not used
// here: they would leave files of their failures.
func TestTheChecksCanFail(t *testing.T) {
	const dir, pkg, sim = "internal/coordination/distribute/", "./internal/coordination/distribute", "TestAllHoldTheNewest"
	const register, watches, subscriber = dir + "register.go", dir + "watches.go", dir + "subscriber.go"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"not newer":               {subscriber, "v.Revision <= s.revision", "v.Revision == 0", pkg, sim},
		"the same is not newer":   {subscriber, "v.Revision <= s.revision", "v.Revision < s.revision", pkg, "TestAcceptedVersions"},
		"another service's":       {subscriber, "v.Service != s.options.Service", "false", pkg, sim},
		"the digest":              {register, "v.Digest != Digest(v.Content)", "false", pkg, sim},
		"freshness of a response": {watches, "\tif !w.Fresh(now) {\n\t\tdone", "\tif false {\n\t\tdone", pkg, sim},
		"freshness of calls that wait": {watches, "	if !w.Fresh(now) {\n\t\tw.answer", "	if false {\n\t\tw.answer",
			pkg, sim},
		"when a confirmation was requested": {watches, "w.everConfirmed && now-w.confirmedAt < w.freshFor", "w.everConfirmed", pkg, sim},
		"the window of first calls":         {subscriber, "s.scheduleCall(now, o.ReconnectWindow)", "s.scheduleCall(now, 0)", pkg, "TestCallsAreSpread"},
		"the window after a loss": {subscriber, "begin+s.draw(length), begin+length", "begin, begin", pkg,
			"TestCallsAreSpread"},
		"windows that do not overlap": {subscriber, "begin := max(now, s.windowEnd)", "begin := now", pkg,
			"TestCallsAreSpread"},
		"the random part of waits": {subscriber, "s.options.MaxWait - s.draw(s.options.MaxWait/4)", "s.options.MaxWait", pkg, "TestCallsAreSpread"},
		"another after a loss":     {subscriber, "= false, s.server, noServer", "= false, noServer, s.server", pkg, sim},
		"after":                    {register, "c.After != present.Revision", "false", pkg, "TestApply"},
		"above":                    {register, "max(r.last, c.Above)+1", "r.last+1", pkg, "TestApply"},
		"a repeated command":       {register, "known && present.Digest == digest", "false", pkg, "TestApply"},
		"canonical bytes": {register,
			"r.last, digest, content, c.StepsDone}", "r.last, Digest(c.Content), c.Content, c.StepsDone}", pkg, "TestApply"},
		"what a confirmation is about":               {dir + "revisions.go", "applied < t.last", "false", pkg, "TestConfirmationWaitsForItsRevision"},
		"the older confirmation stays":               {dir + "revisions.go", "!t.pending || last < t.last", "true", pkg, "TestConfirmationWaitsForItsRevision"},
		"forgotten revisions":                        {dir + "revisions.go", "t.maxHeld > applied", "false", pkg, "TestRevisionsHeldByAgents"},
		"all reports to a coordinator that has none": {dir + "outbox.go", "delete(o.acknowledged, server)", "_ = 0", pkg, sim},
		"set while a call is in flight":              {dir + "outbox.go", "max(o.acknowledged[server], sequence)", "o.sequence", pkg, sim},
	})
}
