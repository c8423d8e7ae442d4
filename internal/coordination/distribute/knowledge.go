package distribute

import "time"

// RevisionTracker is what one coordinator knows of versions beside its own register: how far the leader's word goes that it has applied all,
// and what agents hold that a group which was restored has forgotten. One goroutine owns it; moments are of its steady clock.
type RevisionTracker struct {
	waits bool // a word of the leader waits until what it is of is applied here
	asked time.Duration
	last  Revision
	held  Revision // the largest that anybody has said
}

// LeaderRevision takes in a leader's word, asked for at a moment: the last revision then was last. One that waits already stays, for it is older
// and so applied sooner: a coordinator that is always a little behind is confirmed for the moment up to which it is not.
func (k *RevisionTracker) LeaderRevision(asked time.Duration, last Revision) {
	if !k.waits || last < k.last {
		k.waits, k.asked, k.last = true, asked, last
	}
}

// ConfirmedAt gives the moment for which the register, up to applied, is confirmed to have held everything; false: there is none yet.
func (k *RevisionTracker) ConfirmedAt(applied Revision) (asked time.Duration, ok bool) {
	if !k.waits || applied < k.last {
		return 0, false
	}
	k.waits = false
	return k.asked, true
}

// ObserveHeld takes in a revision that somebody says is held. One that the log would not go up to is nobody's.
func (k *RevisionTracker) ObserveHeld(r, applied Revision) {
	if r <= applied || r-applied <= MaxRevisionSkip {
		k.held = max(k.held, r)
	}
}

// MaxHeld is the largest revision that was said to be held.
func (k *RevisionTracker) MaxHeld() Revision { return k.held }

// MinAbove is what the next revision has to be above where the group has forgotten what it gave; else 0.
func (k *RevisionTracker) MinAbove(applied Revision) Revision {
	if k.held > applied {
		return k.held
	}
	return 0
}
