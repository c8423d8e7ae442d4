package replication

// This file has the learner's side of catching up: a replica with a disk outside the in-sync set adopts the snapshots and
// entries that the primary sends.

const (
	maxSnapshotBytes          = 64 << 20
	maxSeparatelySavedEntries = 2 // more entries are saved as one snapshot
)

// incomingSnapshot is a snapshot that a learner is receiving.
type incomingSnapshot struct {
	position Position
	data     []byte // received so far, from the snapshot's start
}

// acceptsCatchUp reports whether this replica adopts the state that the primary of an epoch sends. It does if it follows that
// epoch and is not in the in-sync set of the epoch's view, which is in force: then no acknowledged entry depends on the
// state that it replaces.
func (r *Replica) acceptsCatchUp(epoch Epoch) bool {
	follows := r.role == follower && !r.Diskless &&
		r.hard.Promised == epoch && r.hard.Accepted.Epoch == epoch && r.knownView.Epoch == epoch
	return follows && !r.hard.Accepted.joint() && !r.knownView.inSync(r.Self.ID)
}

// handleSnapshotChunk collects a snapshot, whose chunks are sent in order. The answer to each chunk has the number of bytes
// received so far, so the primary resends from there after a lost or repeated chunk.
func (r *Replica) handleSnapshotChunk(m SnapshotChunk, from string) {
	if !r.acceptsCatchUp(m.Epoch) || m.Size > maxSnapshotBytes || m.Offset+len(m.Data) > m.Size {
		return
	}
	incoming := &r.follower.incomingSnapshot
	if m.Offset == 0 || incoming.position != m.Position {
		*incoming = incomingSnapshot{position: m.Position}
	}
	if m.Offset == len(incoming.data) {
		incoming.data = append(incoming.data, m.Data...)
	}
	if len(incoming.data) < m.Size {
		r.acknowledgeCatchUp(m.Epoch, from)
		return
	}
	data := incoming.data
	*incoming = incomingSnapshot{}
	if r.state.restore(data, m.Position) != nil {
		return // the primary resends it
	}
	r.saveSnapshot(func() { r.acknowledgeCatchUp(m.Epoch, from) })
}

// handleMissingEntries applies entries that follow this learner's state.
func (r *Replica) handleMissingEntries(m MissingEntries, from string) {
	if !r.acceptsCatchUp(m.Epoch) || r.state.position != m.After {
		return
	}
	r.applyEntries(m.Entries, func() { r.acknowledgeCatchUp(m.Epoch, from) })
}

// acknowledgeCatchUp reports to the primary the position on the disk and how much of a snapshot was received, unless this
// replica has left the epoch.
func (r *Replica) acknowledgeCatchUp(epoch Epoch, to string) {
	if r.hard.Promised != epoch {
		return
	}
	incoming := &r.follower.incomingSnapshot
	r.send(to, LearnerAck{
		Epoch:    epoch,
		From:     r.Self,
		Position: r.disk.durablePosition,
		Transfer: incoming.position,
		Received: len(incoming.data),
	})
}
