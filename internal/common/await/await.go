// Package await polls, in tests, until a condition holds, and ends the test if that takes too long. Package peertest has the same
// function for tests that use its peers; the packages of internal/rig, which do not import peertest, use this package.
package await

import (
	"testing"
	"time"
)

// Timeout bounds the wait for a condition that must come to hold. A test that passes never waits that long.
const Timeout = 20 * time.Second

// pollInterval is the time between two polls.
const pollInterval = time.Millisecond

// Eventually polls until ok returns true, and ends the test if that takes longer than Timeout. condition describes it in the
// failure message. It is called from the test's goroutine.
func Eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	if !Poll(ok) {
		t.Fatalf("condition not met within %v: %s", Timeout, condition)
	}
}

// Poll polls until ok returns true, and reports whether it did within Timeout. It may be called from any goroutine.
func Poll(ok func() bool) bool {
	for deadline := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
