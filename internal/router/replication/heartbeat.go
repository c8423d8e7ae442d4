package replication

import "time"

// replicaStatus holds the content of a replica's last heartbeat ack.
type replicaStatus struct {
	member          Member
	heartbeatNumber uint64        // of the newest heartbeat that it answered
	lastContact     time.Duration // when the ack came
	diskFails       bool
	knownEpoch      Epoch // of the view that it knows to be in force
	hasDisk         bool
	durablePosition Position // of the state on its disk
	leaving         bool
}

// broadcastHeartbeat sends a heartbeat to all members and all replicas that may become members.
func (r *Replica) broadcastHeartbeat() {
	l := &r.leadership
	l.heartbeatNumber++
	l.lastHeartbeat = r.now
	l.statuses[r.Self.ID] = replicaStatus{
		member:          r.Self,
		heartbeatNumber: l.heartbeatNumber,
		lastContact:     r.now,
		knownEpoch:      l.view.Epoch,
		hasDisk:         true,
		durablePosition: r.state.position,
	}
	view := l.view
	knowsView := r.recipientsKnowingView()
	for _, address := range sortedKeys(knowsView) {
		m := Heartbeat{Epoch: l.view.Epoch, Number: l.heartbeatNumber, Committed: l.committed}
		if !knowsView[address] {
			m.View = &view
		}
		r.send(address, m)
	}
}

// recipientsKnowingView returns the addresses that get heartbeats, each with whether the replica there knows the view. Where
// several replicas had one address, the member's status counts.
func (r *Replica) recipientsKnowingView() map[string]bool {
	l := &r.leadership
	knowsView := map[string]bool{}
	for _, m := range r.eligible.byID {
		knowsView[m.Address] = knowsView[m.Address] || l.statuses[m.ID].knownEpoch == l.view.Epoch
	}
	for _, m := range l.view.Members {
		knowsView[m.Address] = l.statuses[m.ID].knownEpoch == l.view.Epoch
	}
	return knowsView
}

// handleHeartbeat follows the primary of an epoch that is not smaller than the promised one.
func (r *Replica) handleHeartbeat(m Heartbeat, from string) {
	if m.Epoch.Less(r.hard.Promised) {
		r.send(from, r.heartbeatAck(m)) // has the larger epoch
		return
	}
	if r.role != follower {
		r.stepDown()
	}
	if m.View != nil {
		r.LearnView(*m.View)
	}
	r.follower.lastContact, r.follower.everContacted = r.now, true
	r.preVote = preVoteRound{}
	r.send(from, r.heartbeatAck(m))
	if r.knownView.Epoch != m.Epoch {
		return // the primary sends the view with the next heartbeat
	}
	r.acceptKnownView()
	if r.hasCommittedState(m) {
		r.publish()
	}
}

func (r *Replica) heartbeatAck(m Heartbeat) HeartbeatAck {
	return HeartbeatAck{
		Epoch:      m.Epoch,
		Number:     m.Number,
		From:       r.Self,
		Promised:   r.hard.Promised,
		KnownEpoch: r.knownView.Epoch,
		DiskFails:  r.diskStalled(),
		HasDisk:    !r.Diskless,
		Position:   r.disk.durablePosition,
		Leaving:    r.leaving,
	}
}

// acceptKnownView accepts the view of the primary that sent a heartbeat. The view is in force: it is safe to accept it late,
// and later views need no votes of the members before it.
func (r *Replica) acceptKnownView() {
	r.knownView.Old = r.knownView.Members
	if r.hard.Accepted.Epoch.Less(r.knownView.Epoch) || r.hard.Accepted.joint() {
		r.hard.Promised, r.hard.Accepted = r.knownView.Epoch, r.knownView
		r.saveHardState(nil)
	}
}

// hasCommittedState reports whether this replica's state is the committed one that a heartbeat names.
func (r *Replica) hasCommittedState(m Heartbeat) bool {
	return r.state.position.Sequence == m.Committed && r.knownView.inSync(r.Self.ID) && r.hard.Accepted.Epoch == m.Epoch
}

// handleHeartbeatAck records a replica's status, answers the reads and rejections that are confirmed by it, and continues to
// catch the replica up. After an ack with a larger promised epoch this primary campaigns for an epoch above it.
func (r *Replica) handleHeartbeatAck(m HeartbeatAck) {
	l := &r.leadership
	if r.role != primary || m.Epoch != l.view.Epoch {
		return
	}
	if l.view.Epoch.Less(m.Promised) {
		if r.hard.Promised.Round < m.Promised.Round {
			r.hard.Promised = Epoch{Round: m.Promised.Round}
		}
		r.campaignAsPrimary()
		return
	}
	r.AddEligible(m.From)
	l.statuses[m.From.ID] = replicaStatus{
		member:          m.From,
		heartbeatNumber: max(l.statuses[m.From.ID].heartbeatNumber, m.Number),
		lastContact:     r.now,
		diskFails:       m.DiskFails,
		knownEpoch:      m.KnownEpoch,
		hasDisk:         m.HasDisk,
		durablePosition: m.Position,
		leaving:         m.Leaving,
	}
	r.answerConfirmed()
	r.catchUp(m.From.ID)
}

// majorityReachable reports whether a majority of this primary's members, itself included, answered within the election
// timeout.
func (r *Replica) majorityReachable() bool {
	votes := map[string]bool{}
	for id, status := range r.leadership.statuses {
		votes[id] = id == r.Self.ID || r.now-status.lastContact < electionTimeout
	}
	return majority(r.leadership.view.Members, votes)
}
