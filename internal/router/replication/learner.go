package replication

// Catching up, the learner's side: a replica with a disk outside the in-sync set adopts what the primary sends it.

const (
	maxSnapshotBytes          = 64 << 20
	maxSeparatelySavedEntries = 2 // more are saved as one snapshot
)

// incomingSnapshot is a snapshot that a learner is receiving.
type incomingSnapshot struct {
	position Position
	data     []byte // from the snapshot's start
}

// acceptsCatchUp reports whether this replica adopts the state that a primary of an epoch sends it: it follows that
// epoch, whose view is in force without it in the in-sync set, so nothing that was acknowledged depends on what it has.
func (r *Replica) acceptsCatchUp(epoch Epoch) bool {
	follows := r.role == follower && !r.Diskless &&
		r.hard.Promised == epoch && r.hard.Accepted.Epoch == epoch && r.knownView.Epoch == epoch
	return follows && !r.hard.Accepted.joint() && !r.knownView.inSync(r.Self.ID)
}

// handleSnapshotChunk collects a snapshot. Chunks come in order: one that is lost or repeated is acknowledged with what
// was received.
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
		return // the primary sends it again
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

// acknowledgeCatchUp tells the primary what is on the disk and how much of a snapshot came, unless its epoch was left.
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
