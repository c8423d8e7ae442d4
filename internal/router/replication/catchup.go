package replication

import (
	"slices"
	"time"
)

// This file has the primary's side of catching up. The primary sends a learner a snapshot in chunks and then the entries
// after it, while it goes on handling proposals. It proposes a view with the learner in the in-sync set only when the
// learner lacks few entries. These are sent during the candidacy.

const (
	snapshotChunkBytes    = 32 << 10
	maxBatchEntries       = 64
	maxBatchBytes         = snapshotChunkBytes
	catchUpResendInterval = 300 * time.Millisecond // after which an unanswered message is resent
	maxActiveTransfers    = 2                      // snapshots that are being sent at one time
	transferTimeout       = 2 * time.Second        // without an answer; then the transfer does not count as active
	maxLearnerLagEntries  = 8                      // entries that a learner may lack when a view adds it to the in-sync set
)

// learnerProgress is a primary's progress in catching up a learner.
type learnerProgress struct {
	transfer    *snapshotTransfer // nil if the learner lacks no more than the entries in memory
	lastSent    time.Duration
	awaitingAck bool // of the message sent at lastSent
}

// snapshotTransfer is a snapshot that is being sent to a learner.
type snapshotTransfer struct {
	position Position
	data     []byte
	received int // bytes that the learner acknowledged
	lastAck  time.Duration
}

// caughtUp reports whether a replica is reachable, has a working disk, and lacks at most maxLearnerLagEntries on it.
func (r *Replica) caughtUp(id string) bool {
	status, ok := r.leadership.statuses[id]
	if !ok || !status.hasDisk || status.diskFails || status.leaving || r.now-status.lastContact >= reachableWindow {
		return false
	}
	missing, ok := r.state.history.after(status.durablePosition)
	return status.durablePosition == r.state.position || ok && len(missing) <= maxLearnerLagEntries
}

// catchUp sends a learner the next entries or the next snapshot chunk. Only committed entries may be sent: it sends nothing
// while an entry is staged.
func (r *Replica) catchUp(id string) {
	l := &r.leadership
	status, ok := l.statuses[id]
	if r.role != primary || l.staged.proposal != nil || !ok || !l.isLearner(&status) {
		return
	}
	if status.durablePosition == r.state.position {
		delete(l.learners, id)
		return
	}
	learner := l.learners[id]
	if learner == nil {
		learner = &learnerProgress{}
		l.learners[id] = learner
	}
	if learner.awaitingAck && r.now-learner.lastSent < catchUpResendInterval {
		return
	}
	missing, ok := r.state.history.after(status.durablePosition)
	if batch := firstBatch(missing); ok && len(batch) > 0 {
		learner.transfer = nil
		r.sendMissingEntries(status, learner, batch)
		return
	}
	r.sendSnapshotChunk(status, learner)
}

// isLearner reports whether a replica has a working disk, knows the view, and is not in the in-sync set.
func (l *leadership) isLearner(s *replicaStatus) bool {
	return s.hasDisk && !s.diskFails && !l.view.inSync(s.member.ID) && s.knownEpoch == l.view.Epoch
}

// firstBatch returns as many entries as fit in one message. It returns none if the first is too large: then a snapshot is
// sent, in chunks between which the link can carry proposals.
func firstBatch(entries []Entry) []Entry {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Data)
		if i == maxBatchEntries || bytes > maxBatchBytes {
			return entries[:i]
		}
	}
	return entries
}

func (r *Replica) sendMissingEntries(status replicaStatus, learner *learnerProgress, batch []Entry) {
	learner.lastSent, learner.awaitingAck = r.now, true
	r.send(status.member.Address, MissingEntries{
		Epoch:   r.leadership.view.Epoch,
		After:   status.durablePosition,
		Entries: slices.Clone(batch),
	})
}

func (r *Replica) sendSnapshotChunk(status replicaStatus, learner *learnerProgress) {
	if learner.transfer != nil && learner.transfer.position == status.durablePosition {
		learner.transfer = nil // the learner has this snapshot, but the entries after it are no longer in memory
	}
	if learner.transfer == nil {
		if r.activeTransfers() >= maxActiveTransfers {
			return
		}
		learner.transfer = &snapshotTransfer{position: r.state.position, data: r.state.machine.Snapshot(), lastAck: r.now}
	}
	transfer := learner.transfer
	end := min(len(transfer.data), transfer.received+snapshotChunkBytes)
	learner.lastSent, learner.awaitingAck = r.now, true
	r.send(status.member.Address, SnapshotChunk{
		Epoch:    r.leadership.view.Epoch,
		Position: transfer.position,
		Size:     len(transfer.data),
		Offset:   transfer.received,
		Data:     transfer.data[transfer.received:end],
	})
}

// activeTransfers returns the number of snapshots that are being sent to learners that still answer.
func (r *Replica) activeTransfers() int {
	n := 0
	for _, learner := range r.leadership.learners {
		if learner.transfer != nil && r.now-learner.transfer.lastAck < transferTimeout {
			n++
		}
	}
	return n
}

// catchUpAll calls catchUp for all learners.
func (r *Replica) catchUpAll() {
	for _, id := range sortedKeys(r.leadership.learners) {
		r.catchUp(id)
	}
}

// handleLearnerAck records a learner's progress, and sends it the next entries or the next snapshot chunk.
func (r *Replica) handleLearnerAck(m LearnerAck) {
	l := &r.leadership
	if r.role != primary || m.Epoch != l.view.Epoch {
		return
	}
	learner, status := l.learners[m.From.ID], l.statuses[m.From.ID]
	if learner == nil {
		return
	}
	learner.awaitingAck = false
	status.durablePosition = m.Position
	l.statuses[m.From.ID] = status
	if transfer := learner.transfer; transfer != nil && transfer.position == m.Transfer {
		transfer.received, transfer.lastAck = min(max(0, m.Received), len(transfer.data)), r.now
	}
	r.catchUp(m.From.ID)
}
