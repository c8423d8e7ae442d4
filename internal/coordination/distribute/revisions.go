package distribute

import "time"

// RevisionTracker is what one coordinator knows of revisions beside its own register: up to when the leader's confirmations say that it
// has applied everything, and the largest revision that agents hold, which a group that was restored from a back-up may have forgotten. It
// belongs to one goroutine; moments are of the coordinator's steady clock.
type RevisionTracker struct {
	pending     bool          // a response of the leader waits until its revision is applied here
	requestedAt time.Duration // of that response
	last        Revision      // of that response
	maxHeld     Revision      // the largest one that was reported to be held
}

// LeaderRevision records a response of the leader to a request sent at requestedAt: the last revision at that time. One that is pending
// already stays, for it is older and so applied sooner: a coordinator that is always a little behind is confirmed for the moment up to
// which it is not.
func (t *RevisionTracker) LeaderRevision(requestedAt time.Duration, last Revision) {
	if !t.pending || last < t.last {
		t.pending, t.requestedAt, t.last = true, requestedAt, last
	}
}

// ConfirmedAt returns the moment for which the register, which has applied everything up to a revision, is confirmed to have held
// everything; ok is false where there is no new one.
func (t *RevisionTracker) ConfirmedAt(applied Revision) (requestedAt time.Duration, ok bool) {
	if !t.pending || applied < t.last {
		return 0, false
	}
	t.pending = false
	return t.requestedAt, true
}

// ObserveHeld records a revision that an agent or another coordinator reports to be held. One that is too far ahead for the log to go up
// to is ignored.
func (t *RevisionTracker) ObserveHeld(r, applied Revision) {
	if r <= applied || r-applied <= MaxRevisionSkip {
		t.maxHeld = max(t.maxHeld, r)
	}
}

// MaxHeld returns the largest revision that was reported to be held.
func (t *RevisionTracker) MaxHeld() Revision { return t.maxHeld }

// MinAbove returns the revision that the next one has to be above where the group has forgotten what it gave; else 0.
func (t *RevisionTracker) MinAbove(applied Revision) Revision {
	if t.maxHeld > applied {
		return t.maxHeld
	}
	return 0
}
