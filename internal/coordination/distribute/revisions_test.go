package distribute

import (
	"testing"
	"time"
)

// A response of the leader confirms nothing before its revision is applied. A later response does not replace a pending one, so
// that a coordinator that always lags by a second and asks twice a second is still confirmed, for the time of the older request.
func TestConfirmationWaitsForItsRevision(t *testing.T) {
	var tracker RevisionTracker
	if _, ok := tracker.ConfirmedAt(9); ok {
		t.Error("confirmed without a response")
	}
	tracker.LeaderRevision(time.Second, 9)
	if _, ok := tracker.ConfirmedAt(8); ok {
		t.Error("confirmed before the revision was applied")
	}
	tracker.LeaderRevision(2*time.Second, 12)
	if at, ok := tracker.ConfirmedAt(9); !ok || at != time.Second {
		t.Errorf("%v, %v: the revision of the older response is applied", at, ok)
	}
	if _, ok := tracker.ConfirmedAt(12); ok {
		t.Error("a response confirms twice")
	}
	tracker.LeaderRevision(3*time.Second, 20)
	tracker.LeaderRevision(4*time.Second, 3) // of coordinators restored from a backup
	if at, ok := tracker.ConfirmedAt(12); !ok || at != 4*time.Second {
		t.Errorf("%v, %v: still waiting for a revision that is never reached", at, ok)
	}
}

// The next revision has to be above those that agents hold and the coordinators have lost. A held revision out of bounds is
// ignored.
func TestRevisionsHeldByAgents(t *testing.T) {
	var tracker RevisionTracker
	tracker.ObserveHeld(7, 9)
	if got := tracker.MinAbove(9); got != 0 {
		t.Errorf("MinAbove is %d, although no revision was lost", got)
	}
	tracker.ObserveHeld(57, 1)
	tracker.ObserveHeld(30, 1)
	tracker.ObserveHeld(2+MaxRevisionSkip, 1)
	if got := tracker.MinAbove(1); got != 57 || tracker.MaxHeld() != 57 {
		t.Errorf("MinAbove is %d, want 57", got)
	}
	if got := tracker.MinAbove(58); got != 0 {
		t.Errorf("MinAbove is %d, although higher revisions are applied", got)
	}
}
