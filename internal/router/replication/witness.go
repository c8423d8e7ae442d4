package replication

// What a member does for a candidate of another: it promises an epoch, takes the candidate's state, and accepts its view.

func (r *Replica) ownPromise(epoch Epoch) Promise {
	return Promise{Epoch: epoch, From: r.Self, Promised: r.hard.Promised, Voters: r.voters(),
		Accepted: r.hard.Accepted, Position: r.position}
}

func (r *Replica) onPrepare(m Prepare) {
	if len(r.voters()) == 0 {
		return
	}
	busy := r.role == primary || r.role == follower && r.heardEver && r.now-r.heard < heardRecently
	mine := m.From.ID == r.known.Primary
	if m.Epoch.Less(r.hard.Promised) || m.Epoch == r.hard.Promised && m.Epoch.Node != m.From.ID || busy && !m.Force && !mine {
		r.send(m.From.Address, Promise{Epoch: m.Epoch, From: r.Self, Refused: true, Promised: r.hard.Promised})
		return
	}
	r.follow(m.Epoch)
	to, epoch := m.From.Address, m.Epoch
	r.save(nil, false, func() {
		if r.hard.Promised == epoch {
			r.send(to, r.ownPromise(epoch))
		}
	})
}

// follow promises an epoch; a primary or candidate of a smaller one is none any more.
func (r *Replica) follow(e Epoch) {
	if r.role != follower && r.hard.Promised != e {
		r.stepDown()
	}
	r.hard.Promised = e
	r.heard = r.now // the candidate has its chance
}

func (r *Replica) onSync(m Sync, from string) {
	if m.Epoch.Less(r.hard.Promised) || r.Witness {
		return
	}
	r.follow(m.Epoch)
	epoch, position := m.Epoch, m.Position
	done := func() {
		if r.hard.Promised == epoch {
			r.send(from, Synced{Epoch: epoch, From: r.Self.ID, Position: position})
		}
	}
	switch {
	case r.position == m.Position:
		r.save(nil, false, done)
	case m.Snapshot != nil:
		if r.machine.Restore(m.Snapshot) != nil {
			return
		}
		r.position = m.Position
		r.history.restart(m.Position)
		r.save(nil, true, done)
	case m.follows(r.position):
		r.applyEntries(m.Entries, done)
	}
}

// follows reports whether the entries of a Sync go on from a position.
func (m *Sync) follows(p Position) bool { return len(m.Entries) > 0 && m.After == p }

func (r *Replica) onAccept(m Accept, from string) {
	if m.View.Epoch.Less(r.hard.Promised) {
		r.send(from, Accepted{Epoch: m.View.Epoch, Refused: true, Promised: r.hard.Promised})
		return
	}
	r.follow(m.View.Epoch)
	r.hard.Accepted = m.View
	epoch := m.View.Epoch
	r.save(nil, false, func() {
		if !r.hard.Promised.Less(epoch) {
			r.send(from, Accepted{Epoch: epoch, Voters: r.voters()})
		}
	})
}
