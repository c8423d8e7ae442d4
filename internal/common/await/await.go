// Package await waits in tests for states that must be reached: it polls, and ends the test if a state is not reached in time. Package
// peertest offers the same to tests beside its peers; the rig, which does not import peertest, uses this package.
package await

import (
	"testing"
	"time"
)

// Timeout bounds a wait for a state that must be reached. No test waits so long when it passes.
const Timeout = 20 * time.Second

// pollInterval is the time between two polls.
const pollInterval = time.Millisecond

// Eventually polls until ok returns true, and ends the test if that takes longer than Timeout. what names the state in the failure.
// It is called from the test's goroutine.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", Timeout, what)
		}
	}
}
