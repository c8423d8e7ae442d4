package replication

// replicatedState is the state machine, its position, and the latest entries that were applied to it.
type replicatedState struct {
	machine   StateMachine
	position  Position // of machine; the last entry may be staged, or not be on the disk yet
	published Position // of the state that was published last
	history   history
}

// apply applies the entry that follows the current state.
func (s *replicatedState) apply(e Entry) {
	s.machine.Apply(e.Data)
	s.position = e.Position
	s.history.add(e)
}

// restore replaces the state by a snapshot. After an error the state is unchanged.
func (s *replicatedState) restore(snapshot []byte, position Position) error {
	if err := s.machine.Restore(snapshot); err != nil {
		return err
	}
	s.position = position
	s.history.restart(position)
	return nil
}

// publish adds a Publish effect, unless the current position was already published. The caller must know that the machine's
// state is committed.
func (r *Replica) publish() {
	s := &r.state
	if s.published == s.position {
		return
	}
	s.published = s.position
	r.effects = append(r.effects, Publish{Position: s.position, Entries: s.history.newest(maxPublishedEntries), Value: s.machine.Value()})
}

// applyEntries applies entries that follow the machine's state, and calls onDurable once they are on the disk.
func (r *Replica) applyEntries(entries []Entry, onDurable func()) {
	if len(entries) > maxSeparatelySavedEntries {
		for _, e := range entries {
			r.state.apply(e)
		}
		r.saveSnapshot(onDurable)
		return
	}
	for i := range entries {
		r.state.apply(entries[i])
		if i == len(entries)-1 {
			r.saveEntry(&entries[i], onDurable)
		} else {
			r.saveEntry(&entries[i], nil)
		}
	}
}
