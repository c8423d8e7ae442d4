package replication

import (
	"slices"
	"time"
)

// diskState is what a replica knows of its disk.
type diskState struct {
	lastSave             uint64 // number of the newest save
	pendingSaves         []pendingSave
	needsSnapshot        bool // the disk lacks something that memory has
	failed               bool // the last save that ended did not succeed
	retriedAt            time.Duration
	entriesSinceSnapshot int
	durablePosition      Position
}

// pendingSave is a save that the shell has not reported on.
type pendingSave struct {
	number      uint64
	startedAt   time.Duration
	hasSnapshot bool
	position    *Position // of what is on the disk afterwards, where that changes
	onDurable   func()    // may be nil
}

// saveHardState saves the hard state, and calls onDurable, which may be nil, once it is on the disk. If the save fails,
// onDurable is never called: whoever waits for its message sends the request again.
func (r *Replica) saveHardState(onDurable func()) {
	r.save(nil, r.disk.needsSnapshot, onDurable)
}

// saveEntry is saveHardState with the entry that was applied last.
func (r *Replica) saveEntry(entry *Entry, onDurable func()) {
	r.save(entry, r.disk.needsSnapshot || r.disk.entriesSinceSnapshot >= entriesPerSnapshot, onDurable)
}

// saveSnapshot is saveHardState with the machine's complete state.
func (r *Replica) saveSnapshot(onDurable func()) {
	r.save(nil, true, onDurable)
}

func (r *Replica) save(entry *Entry, asSnapshot bool, onDurable func()) {
	if r.Diskless {
		if onDurable != nil {
			onDurable()
		}
		return
	}
	r.disk.lastSave++
	save := Save{Number: r.disk.lastSave, Hard: r.hard}
	pending := pendingSave{number: save.Number, startedAt: r.now, hasSnapshot: asSnapshot, onDurable: onDurable}
	switch {
	case asSnapshot:
		save.Snapshot = &SnapshotRecord{Position: r.state.position, Data: r.state.machine.Snapshot()}
		pending.position = &save.Snapshot.Position
		r.disk.entriesSinceSnapshot = 0
	case entry != nil:
		save.Entry = entry
		pending.position = &entry.Position
		r.disk.entriesSinceSnapshot++
	}
	r.disk.pendingSaves = append(r.disk.pendingSaves, pending)
	r.effects = append(r.effects, save)
}

// ifStillPromised returns a function that calls do if this replica has not promised another epoch by then. What was
// promised, accepted or replicated for an epoch is not acknowledged after the epoch was left.
func (r *Replica) ifStillPromised(epoch Epoch, do func()) func() {
	return func() {
		if r.hard.Promised == epoch {
			do()
		}
	}
}

// Saved reports that a save is on the disk, and with it all before it. What an earlier save was to do that was not
// reported by itself is dropped.
func (r *Replica) Saved(number uint64, now time.Duration) {
	r.now = now
	r.disk.failed = false
	for len(r.disk.pendingSaves) > 0 && r.disk.pendingSaves[0].number <= number {
		save := r.disk.pendingSaves[0]
		r.disk.pendingSaves = r.disk.pendingSaves[1:]
		if save.number != number {
			continue
		}
		if save.hasSnapshot {
			r.disk.needsSnapshot = false
		}
		if save.position != nil {
			r.disk.durablePosition = *save.position
		}
		if save.onDurable != nil {
			save.onDurable()
		}
	}
}

// SaveFailed reports that a save is not on the disk. The replica saves a snapshot later, which the shell must not
// refuse.
func (r *Replica) SaveFailed(number uint64, now time.Duration) {
	r.now = now
	r.disk.pendingSaves = slices.DeleteFunc(r.disk.pendingSaves, func(save pendingSave) bool { return save.number <= number })
	r.disk.needsSnapshot = true
	r.disk.failed = true
	r.disk.retriedAt = now
}

// retryFailedDisk tries a snapshot on a disk whose last save failed.
func (r *Replica) retryFailedDisk() {
	if r.disk.failed && len(r.disk.pendingSaves) == 0 && r.now-r.disk.retriedAt > diskRetryInterval {
		r.disk.retriedAt = r.now
		r.saveSnapshot(nil)
	}
}

// diskStalled reports whether the disk fails or hangs. Such a replica does not become candidate, and does not stay
// primary.
func (r *Replica) diskStalled() bool {
	pending := r.disk.pendingSaves
	return r.disk.failed || len(pending) > 0 && r.now-pending[0].startedAt > diskStallTimeout
}
