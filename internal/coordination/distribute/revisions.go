package distribute

import "time"

// RevisionTracker tracks two things for one coordinator: the time at which its register is confirmed by the leader to have been
// complete, and the largest revision that agents hold, which coordinators restored from a backup may have lost. It must be used
// from a single goroutine. Times are those of the coordinator's monotonic clock.
type RevisionTracker struct {
	pending     bool          // a response of the leader waits until this coordinator has applied its revision
	requestedAt time.Duration // when the pending response was requested
	last        Revision      // the last revision according to the pending response
	maxHeld     Revision      // the largest revision reported as held
}

// LeaderRevision records a response of the leader to a request sent at requestedAt; last is the leader's last revision. A pending
// response is kept unless the new one has a lower revision, because the lower revision is applied sooner. If each response
// replaced the pending one, a coordinator that always lags a little would never be confirmed.
func (t *RevisionTracker) LeaderRevision(requestedAt time.Duration, last Revision) {
	if !t.pending || last < t.last {
		t.pending, t.requestedAt, t.last = true, requestedAt, last
	}
}

// ConfirmedAt returns the time at which a register that has applied all revisions up to applied is confirmed to have held
// everything that was committed. Each response confirms once: ok is false if there is no new confirmation.
func (t *RevisionTracker) ConfirmedAt(applied Revision) (requestedAt time.Duration, ok bool) {
	if !t.pending || applied < t.last {
		return 0, false
	}
	t.pending = false
	return t.requestedAt, true
}

// ObserveHeld records a revision that an agent or another coordinator reports as held. A revision so far ahead that the log would
// not skip to it is ignored.
func (t *RevisionTracker) ObserveHeld(r, applied Revision) {
	if r <= applied || r-applied <= MaxRevisionSkip {
		t.maxHeld = max(t.maxHeld, r)
	}
}

// MaxHeld returns the largest revision reported as held.
func (t *RevisionTracker) MaxHeld() Revision { return t.maxHeld }

// MinAbove returns the value of Command.Above for the next command: the largest held revision if the coordinators have lost it,
// otherwise 0.
func (t *RevisionTracker) MinAbove(applied Revision) Revision {
	if t.maxHeld > applied {
		return t.maxHeld
	}
	return 0
}
