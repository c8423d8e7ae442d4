package distribute

import (
	"testing"
	"time"
)

// A response of the leader confirms nothing before its revision is applied; a coordinator that is always a second behind, and asks twice a
// second, is confirmed for a second ago and not never.
func TestConfirmationWaitsForItsRevision(t *testing.T) {
	var tracker RevisionTracker
	if _, ok := tracker.ConfirmedAt(9); ok {
		t.Error("confirmed without a response")
	}
	tracker.LeaderRevision(time.Second, 9)
	if _, ok := tracker.ConfirmedAt(8); ok {
		t.Error("confirmed with what was not applied")
	}
	tracker.LeaderRevision(2*time.Second, 12)
	if at, ok := tracker.ConfirmedAt(9); !ok || at != time.Second {
		t.Errorf("%v, %v: the older response is about what is applied", at, ok)
	}
	if _, ok := tracker.ConfirmedAt(12); ok {
		t.Error("a response counts twice")
	}
	tracker.LeaderRevision(3*time.Second, 20)
	tracker.LeaderRevision(4*time.Second, 3) // of a group that was restored
	if at, ok := tracker.ConfirmedAt(12); !ok || at != 4*time.Second {
		t.Errorf("%v, %v: a revision that is never reached is waited for", at, ok)
	}
}

// The next revision has to be above what agents hold and the group does not know; a revision out of bounds is ignored.
func TestRevisionsHeldByAgents(t *testing.T) {
	var tracker RevisionTracker
	tracker.ObserveHeld(7, 9)
	if got := tracker.MinAbove(9); got != 0 {
		t.Errorf("above %d, and nothing is forgotten", got)
	}
	tracker.ObserveHeld(57, 1)
	tracker.ObserveHeld(30, 1)
	tracker.ObserveHeld(2+MaxRevisionSkip, 1)
	if got := tracker.MinAbove(1); got != 57 || tracker.MaxHeld() != 57 {
		t.Errorf("above %d, want 57", got)
	}
	if got := tracker.MinAbove(58); got != 0 {
		t.Errorf("above %d, and the group is past it", got)
	}
}
