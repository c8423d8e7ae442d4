//go:build !race

package distribute

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// Removes each condition that the invariants rely on, one at a time, and requires the named test to fail. It names no tests of
// rapid, because these would leave files of their failures.
func TestTheChecksCanFail(t *testing.T) {
	const dir, pkg, sim = "internal/coordination/distribute/", "./internal/coordination/distribute", "TestAllHoldTheNewest"
	const register, watches, subscriber = dir + "register.go", dir + "watches.go", dir + "subscriber.go"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"not newer":               {File: subscriber, Text: "v.Revision <= s.revision", Replacement: "v.Revision == 0", Package: pkg, Test: sim},
		"the same is not newer":   {File: subscriber, Text: "v.Revision <= s.revision", Replacement: "v.Revision < s.revision", Package: pkg, Test: "TestAcceptedVersions"},
		"another service":         {File: subscriber, Text: "v.Service != s.options.Service", Replacement: "false", Package: pkg, Test: sim},
		"the digest":              {File: register, Text: "v.Digest != Digest(v.Content)", Replacement: "false", Package: pkg, Test: sim},
		"freshness of a response": {File: watches, Text: "\tif !w.Fresh(now) {\n\t\tdone", Replacement: "\tif false {\n\t\tdone", Package: pkg, Test: sim},
		"freshness of calls that wait": {File: watches, Text: "	if !w.Fresh(now) {\n\t\tw.answer", Replacement: "	if false {\n\t\tw.answer",
			Package: pkg, Test: sim},
		"when a confirmation was requested": {File: watches, Text: "w.everConfirmed && now-w.confirmedAt < w.freshFor", Replacement: "w.everConfirmed", Package: pkg, Test: sim},
		"the window of first calls":         {File: subscriber, Text: "s.scheduleCall(now, o.ReconnectWindow)", Replacement: "s.scheduleCall(now, 0)", Package: pkg, Test: "TestCallsAreSpread"},
		"the window after a loss": {File: subscriber, Text: "begin+s.draw(length), begin+length", Replacement: "begin, begin", Package: pkg,
			Test: "TestCallsAreSpread"},
		"windows that do not overlap": {File: subscriber, Text: "begin := max(now, s.windowEnd)", Replacement: "begin := now", Package: pkg,
			Test: "TestCallsAreSpread"},
		"the random part of waits":    {File: subscriber, Text: "s.options.MaxWait - s.draw(s.options.MaxWait/4)", Replacement: "s.options.MaxWait", Package: pkg, Test: "TestCallsAreSpread"},
		"another server after a loss": {File: subscriber, Text: "= false, s.server, noServer", Replacement: "= false, noServer, s.server", Package: pkg, Test: sim},
		"after":                       {File: register, Text: "c.After != current.Revision", Replacement: "false", Package: pkg, Test: "TestApply"},
		"above":                       {File: register, Text: "max(r.last, c.Above)+1", Replacement: "r.last+1", Package: pkg, Test: "TestApply"},
		"a repeated command":          {File: register, Text: "known && current.Digest == digest", Replacement: "false", Package: pkg, Test: "TestApply"},
		"canonical bytes": {File: register,
			Text: "r.last, digest, content, c.StepsDone}", Replacement: "r.last, Digest(c.Content), c.Content, c.StepsDone}", Package: pkg, Test: "TestApply"},
		"a confirmation before its revision":         {File: dir + "revisions.go", Text: "applied < t.last", Replacement: "false", Package: pkg, Test: "TestConfirmationWaitsForItsRevision"},
		"the older confirmation stays":               {File: dir + "revisions.go", Text: "!t.pending || last < t.last", Replacement: "true", Package: pkg, Test: "TestConfirmationWaitsForItsRevision"},
		"forgotten revisions":                        {File: dir + "revisions.go", Text: "t.maxHeld > applied", Replacement: "false", Package: pkg, Test: "TestRevisionsHeldByAgents"},
		"all reports to a coordinator that has none": {File: dir + "outbox.go", Text: "delete(o.acknowledged, server)", Replacement: "_ = 0", Package: pkg, Test: sim},
		"reports set during a call":                  {File: dir + "outbox.go", Text: "max(o.acknowledged[server], sequence)", Replacement: "o.sequence", Package: pkg, Test: sim},
	})
}
