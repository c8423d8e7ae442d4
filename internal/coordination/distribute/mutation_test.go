//go:build !race

package distribute

import (
	"testing"

	"petrelhook/internal/rig/mutate"
)

// What the argument needs is taken out of the code, one at a time: each is caught. Tests of rapid are not used here:
// they would leave files of their failures.
func TestTheChecksCanFail(t *testing.T) {
	const dir, pkg, sim = "internal/coordination/distribute/", "./internal/coordination/distribute", "TestAllHoldTheNewest"
	const register, watches, subscriber = dir + "register.go", dir + "watches.go", dir + "subscriber.go"
	mutate.Caught(t, "../../..", map[string]mutate.Mutant{
		"not newer":              {subscriber, "v.Revision <= s.holds", "v.Revision == 0", pkg, sim},
		"the same is not newer":  {subscriber, "v.Revision <= s.holds", "v.Revision < s.holds", pkg, "TestWhatIsTaken"},
		"another service's":      {subscriber, "v.Service != s.o.Service", "false", pkg, sim},
		"the digest":             {register, "v.Digest != Digest(v.Content)", "false", pkg, sim},
		"freshness of an answer": {watches, "\tif !w.Fresh(now) {\n\t\tdone", "\tif false {\n\t\tdone", pkg, sim},
		"freshness of those that wait": {watches, "	if !w.Fresh(now) {\n\t\tw.answer", "	if false {\n\t\tw.answer",
			pkg, sim},
		"when a word was asked for": {watches, "w.ever && now-w.confirmed < w.fresh", "w.ever", pkg, sim},
		"the spread of first asks":  {subscriber, "s.pause(now, o.ReconnectWindow)", "s.pause(now, 0)", pkg, "TestNoneComeInStep"},
		"the spread after a loss": {subscriber, "begin+s.draw(length), begin+length", "begin, begin", pkg,
			"TestNoneComeInStep"},
		"windows that do not overlap": {subscriber, "begin := max(now, s.window)", "begin := now", pkg,
			"TestNoneComeInStep"},
		"the spread of holds":  {subscriber, "s.o.MaxWait - s.draw(s.o.MaxWait/4)", "s.o.MaxWait", pkg, "TestNoneComeInStep"},
		"another after a loss": {subscriber, "= false, s.server, -1", "= false, -1, s.server", pkg, sim},
		"after":                {register, "c.After != newest.Revision", "false", pkg, "TestApply"},
		"above":                {register, "max(r.last, c.Above)+1", "r.last+1", pkg, "TestApply"},
		"asked again":          {register, "known && newest.Digest == digest", "false", pkg, "TestApply"},
		"bytes that stay": {register,
			"r.last, digest, content, c.StepsDone}", "r.last, Digest(c.Content), c.Content, c.StepsDone}", pkg, "TestApply"},
		"what a word is of":            {dir + "knowledge.go", "applied < k.last", "false", pkg, "TestAWordWaitsForWhatItIsOf"},
		"the older word stays":         {dir + "knowledge.go", "!k.waits || last < k.last", "true", pkg, "TestAWordWaitsForWhatItIsOf"},
		"what was forgotten":           {dir + "knowledge.go", "k.held > applied", "false", pkg, "TestWhatIsHeld"},
		"all again to one that forgot": {dir + "reports.go", "delete(o.heard, server)", "_ = 0", pkg, sim},
		"set while a call is out":      {dir + "reports.go", "max(o.heard[server], mark)", "o.mark", pkg, sim},
	})
}
