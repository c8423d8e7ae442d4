package distribute

import (
	"testing"
	"time"
)

// A word confirms nothing before what it is of is applied; a coordinator that is always a second behind, and asks twice in one, is
// confirmed for a second ago and not never.
func TestAWordWaitsForWhatItIsOf(t *testing.T) {
	var k RevisionTracker
	if _, ok := k.ConfirmedAt(9); ok {
		t.Error("confirmed without a word")
	}
	k.LeaderRevision(time.Second, 9)
	if _, ok := k.ConfirmedAt(8); ok {
		t.Error("confirmed with what was not applied")
	}
	k.LeaderRevision(2*time.Second, 12)
	if at, ok := k.ConfirmedAt(9); !ok || at != time.Second {
		t.Errorf("%v, %v: the older word is of what is applied", at, ok)
	}
	if _, ok := k.ConfirmedAt(12); ok {
		t.Error("a word counts twice")
	}
	k.LeaderRevision(3*time.Second, 20)
	k.LeaderRevision(4*time.Second, 3) // of a group that has begun anew
	if at, ok := k.ConfirmedAt(12); !ok || at != 4*time.Second {
		t.Errorf("%v, %v: what is never reached is waited for", at, ok)
	}
}

// What agents hold, and the group does not know, is what the next revision has to be above; a revision out of all bounds is nobody's.
func TestWhatIsHeld(t *testing.T) {
	var k RevisionTracker
	k.ObserveHeld(7, 9)
	if got := k.MinAbove(9); got != 0 {
		t.Errorf("above %d, and nothing is forgotten", got)
	}
	k.ObserveHeld(57, 1)
	k.ObserveHeld(30, 1)
	k.ObserveHeld(2+MaxRevisionSkip, 1)
	if got := k.MinAbove(1); got != 57 || k.MaxHeld() != 57 {
		t.Errorf("above %d, want 57", got)
	}
	if got := k.MinAbove(58); got != 0 {
		t.Errorf("above %d, and the group is past it", got)
	}
}
