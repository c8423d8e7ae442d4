//go:build review

// Package second has the cases of the second review as tests, each of which plays a script. REPORT-2.md has the results. Before: the
// build of deploy/system.toml and review/build-2.sh.
package second

import (
	"os/exec"
	"testing"
)

// play runs a script, which ends with 0 if the rule held.
func play(t *testing.T, script string) {
	t.Helper()
	out, err := exec.Command("sh", script).CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Fatal(err)
	}
}

func TestTheCoreComesBackAfterItHadNoDescriptor(t *testing.T) { play(t, "../4/run.sh") }

func TestARouterThatHadNoDescriptorFollowsAgain(t *testing.T) { play(t, "../5/run.sh") }

func TestUploadsStayWithinTheMemoryLimit(t *testing.T) { play(t, "../6/run.sh") }

func TestALateHeartbeatRevivesNoServer(t *testing.T) { play(t, "../7/run.sh") }
