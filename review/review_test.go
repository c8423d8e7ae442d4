//go:build review

// Package review has the cases of the independent review as tests, each of which plays a script. REPORT.md has the results. Before:
// the builds of the deploy files and review/build.sh.
package review

import (
	"os/exec"
	"testing"
)

// play runs a script, which ends with 0 if the rule held.
func play(t *testing.T, script string) {
	t.Helper()
	out, err := exec.Command("bash", script).CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Fatal(err)
	}
}

func TestARefusedKeyedRequestHasOneEffect(t *testing.T) { play(t, "1/run.sh") }

func TestAnAcknowledgedDeregistrationOutlivesTheCore(t *testing.T) { play(t, "2/run.sh") }

func TestChangedWeightsAreFollowed(t *testing.T) { play(t, "3/run.sh") }
