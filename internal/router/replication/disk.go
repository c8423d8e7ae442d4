package replication

import (
	"slices"
	"time"
)

// diskState is the state of a replica's disk and of the saves that were issued.
type diskState struct {
	lastSaveNumber       uint64 // number of the newest save
	pendingSaves         []pendingSave
	needsSnapshot        bool // a save failed: the disk may lack an entry, so that the next save has to be a snapshot
	failed               bool // the last completed save failed
	lastRetryAt          time.Duration
	entriesSinceSnapshot int
	bytesSinceSnapshot   int      // of their data
	durablePosition      Position // of the state on the disk
}

// pendingSave is a save that the shell has not yet reported as saved or failed.
type pendingSave struct {
	number      uint64
	startedAt   time.Duration
	hasSnapshot bool
	position    *Position // of the state on the disk after this save; nil if the save does not change it
	onDurable   func()    // may be nil
}

// saveHardState saves the hard state, and calls onDurable, which may be nil, once it is on the disk. If the save fails,
// onDurable is never called: the replica that waits for the answer resends its request.
func (r *Replica) saveHardState(onDurable func()) {
	r.save(nil, r.disk.needsSnapshot, onDurable)
}

// saveEntry is like saveHardState, but also saves the entry that was applied last, or a snapshot where one is due.
func (r *Replica) saveEntry(entry *Entry, onDurable func()) {
	r.save(entry, r.disk.needsSnapshot || !r.disk.hasRoomFor(entry), onDurable)
}

// hasRoomFor reports whether an entry may be saved behind those since the last snapshot.
func (d *diskState) hasRoomFor(entry *Entry) bool {
	return d.entriesSinceSnapshot < entriesPerSnapshot && d.bytesSinceSnapshot+len(entry.Data) <= bytesPerSnapshot
}

// saveSnapshot is like saveHardState, but also saves the machine's complete state.
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
	r.disk.lastSaveNumber++
	save := Save{Number: r.disk.lastSaveNumber, Hard: r.hard}
	pending := pendingSave{number: save.Number, startedAt: r.now, hasSnapshot: asSnapshot, onDurable: onDurable}
	switch {
	case asSnapshot:
		save.Snapshot = &SnapshotRecord{Position: r.state.position, Data: r.state.machine.Snapshot()}
		pending.position = &save.Snapshot.Position
		r.disk.entriesSinceSnapshot, r.disk.bytesSinceSnapshot = 0, 0
	case entry != nil:
		save.Entry = entry
		pending.position = &entry.Position
		r.disk.entriesSinceSnapshot++
		r.disk.bytesSinceSnapshot += len(entry.Data)
	}
	r.disk.pendingSaves = append(r.disk.pendingSaves, pending)
	r.effects = append(r.effects, save)
}

// ifStillPromised returns a function that calls do only if this replica has not promised another epoch meanwhile. A promise,
// an accepted view or an entry must not be acknowledged after its epoch was left.
func (r *Replica) ifStillPromised(epoch Epoch, do func()) func() {
	return func() {
		if r.hard.Promised == epoch {
			do()
		}
	}
}

// Saved reports that a save is on the disk, and all earlier saves with it. The shell calls it for each save: the onDurable
// function of an earlier save that was not reported itself is dropped.
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

// SaveFailed reports that a save is not on the disk. The replica drops the pending saves up to it, and later issues one with a
// snapshot, which the shell must try to write.
func (r *Replica) SaveFailed(number uint64, now time.Duration) {
	r.now = now
	r.disk.pendingSaves = slices.DeleteFunc(r.disk.pendingSaves, func(save pendingSave) bool { return save.number <= number })
	r.disk.needsSnapshot = true
	r.disk.failed = true
	r.disk.lastRetryAt = now
}

// retryFailedDisk saves a snapshot if the last save failed and diskRetryInterval has passed.
func (r *Replica) retryFailedDisk() {
	if r.disk.failed && len(r.disk.pendingSaves) == 0 && r.now-r.disk.lastRetryAt > diskRetryInterval {
		r.disk.lastRetryAt = r.now
		r.saveSnapshot(nil)
	}
}

// diskStalled reports whether the last save failed or the oldest pending one is overdue. Such a replica does not become
// candidate, and does not stay primary.
func (r *Replica) diskStalled() bool {
	pending := r.disk.pendingSaves
	return r.disk.failed || len(pending) > 0 && r.now-pending[0].startedAt > diskStallTimeout
}
