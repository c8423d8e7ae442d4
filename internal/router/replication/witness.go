package replication

// This file has a replica's side of another replica's candidacy: it promises an epoch, adopts the candidate's state, and
// accepts its view.

// promiseFor returns the promise of an epoch with this replica's accepted view and position.
func (r *Replica) promiseFor(epoch Epoch) Promise {
	return Promise{Epoch: epoch, From: r.Self, Promised: r.hard.Promised, Voters: r.voters(),
		Accepted: r.hard.Accepted, Position: r.state.position}
}

// handlePrepare promises an epoch, unless there is a reason to refuse it.
func (r *Replica) handlePrepare(m Prepare) {
	if len(r.voters()) == 0 {
		return
	}
	if r.refusesPrepare(&m) {
		r.send(m.From.Address, Promise{Epoch: m.Epoch, From: r.Self, Refused: true, Promised: r.hard.Promised})
		return
	}
	r.adoptEpoch(m.Epoch)
	r.saveHardState(r.ifStillPromised(m.Epoch, func() { r.send(m.From.Address, r.promiseFor(m.Epoch)) }))
}

// refusesPrepare reports whether this replica refuses a promise. It does if it promised a larger epoch, or if it promised
// this epoch to a candidate other than the sender. It also refuses if it has contact with a primary, unless the candidate
// is that primary or forces the promise.
func (r *Replica) refusesPrepare(m *Prepare) bool {
	if m.Epoch.Less(r.hard.Promised) || m.Epoch == r.hard.Promised && m.Epoch.Node != m.From.ID {
		return true
	}
	leaderContact := r.role == primary ||
		r.role == follower && r.follower.everContacted && r.now-r.follower.lastContact < leaderStickiness
	fromPrimary := m.From.ID == r.knownView.Primary
	return leaderContact && !m.Force && !fromPrimary
}

// adoptEpoch promises an epoch; a primary or candidate of a smaller one steps down.
func (r *Replica) adoptEpoch(e Epoch) {
	if r.role != follower && r.hard.Promised != e {
		r.stepDown()
	}
	r.hard.Promised = e
	r.follower.lastContact = r.now // the candidate has an election timeout before this replica campaigns itself
}

// handleSync adopts a candidate's state, and acknowledges it once it is on the disk. A Sync of the epoch whose view was
// already accepted here is a delayed duplicate: entries of that view may have been acknowledged since, and its state lacks
// them.
func (r *Replica) handleSync(m Sync, from string) {
	if m.Epoch.Less(r.hard.Promised) || m.Epoch == r.hard.Accepted.Epoch || r.Diskless {
		return
	}
	r.adoptEpoch(m.Epoch)
	onDurable := r.ifStillPromised(m.Epoch, func() {
		r.send(from, Synced{Epoch: m.Epoch, From: r.Self.ID, Position: m.Position})
	})
	switch {
	case r.state.position == m.Position:
		r.saveHardState(onDurable)
	case m.Snapshot != nil:
		if r.state.restore(m.Snapshot, m.Position) != nil {
			return // it stays outside the in-sync set
		}
		r.saveSnapshot(onDurable)
	case m.follows(r.state.position):
		r.applyEntries(m.Entries, onDurable)
	}
}

// follows reports whether the message has entries and they follow the state at a position.
func (m *Sync) follows(p Position) bool { return len(m.Entries) > 0 && m.After == p }

// handleAccept accepts a view, unless a larger epoch was promised.
func (r *Replica) handleAccept(m Accept, from string) {
	if m.View.Epoch.Less(r.hard.Promised) {
		r.send(from, Accepted{Epoch: m.View.Epoch, Refused: true, Promised: r.hard.Promised})
		return
	}
	r.adoptEpoch(m.View.Epoch)
	r.hard.Accepted = m.View
	epoch := m.View.Epoch
	r.saveHardState(func() {
		if !r.hard.Promised.Less(epoch) {
			r.send(from, Accepted{Epoch: epoch, Voters: r.voters()})
		}
	})
}
