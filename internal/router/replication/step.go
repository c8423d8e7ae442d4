package replication

import "time"

// Receive takes in a message from the sidecar at an address.
func (r *Replica) Receive(from string, m Message, now time.Duration) {
	r.now = now
	switch m := m.(type) {
	case PreVote:
		r.onPreVote(m)
	case PreVoteReply:
		r.onPreVoteReply(m, from)
	case Prepare:
		r.onPrepare(m)
	case Promise:
		r.onPromise(m)
	case Sync:
		r.onSync(m, from)
	case Synced:
		r.onSynced(m)
	case Accept:
		r.onAccept(m, from)
	case Accepted:
		r.onAccepted(m)
	case Replicate:
		r.onReplicate(m, from)
	case Replicated:
		r.onReplicated(m)
	case Heartbeat:
		r.onHeartbeat(m, from)
	case HeartbeatAck:
		r.onHeartbeatAck(m)
	case SnapshotChunk:
		r.onSnapshotPiece(m, from)
	case MissingEntries:
		r.onMissingEntries(m, from)
	case LearnerAck:
		r.onLearnerAck(m)
	case TransferLeadership:
		if r.role == follower && r.hard.Promised == m.Epoch && r.hard.Accepted.inSync(r.Self.ID) {
			r.campaign(true)
		}
	}
}

// Tick lets time pass; the shell calls it every few tens of milliseconds.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	r.retryDisk()
	switch r.role {
	case follower:
		r.tickFollower()
	case candidate:
		r.tickCandidate()
	case primary:
		r.tickPrimary()
	}
}

func (r *Replica) retryDisk() {
	if r.diskFails && len(r.pending) == 0 && r.now-r.diskTried > diskRetry {
		r.diskTried = r.now
		r.save(nil, true, func() {})
	}
}

func (r *Replica) tickFollower() {
	if r.Witness || r.stalled() {
		return
	}
	if r.known.Epoch.Round == 0 && r.hard.Accepted.Epoch.Round == 0 {
		if r.hard.Genesis && r.now-max(r.lastNewcomer, r.heard) > r.firstTurn() {
			r.campaign(false)
		}
		return
	}
	if r.known.Epoch.Round == 0 && !r.hard.Accepted.joint() {
		r.known = r.hard.Accepted // a joint view may never have been in force: nobody is told of it
	}
	if r.suspicious() {
		r.askPreVotes()
	}
}

func (r *Replica) tickCandidate() {
	e := &r.election
	if r.now-e.start > phaseLimit || r.stalled() {
		r.stepDown()
		return
	}
	if r.now-e.asked >= resendEvery {
		e.asked = r.now
		r.askAgain()
	}
	switch e.phase {
	case preparing:
		r.advancePreparing()
	case syncing:
		r.advanceSyncing()
	}
}

// askAgain sends a phase's question to those that have not answered: they may just have started.
func (r *Replica) askAgain() {
	e := &r.election
	for _, address := range r.contacts() {
		_, promised := e.promises[address]
		switch {
		case e.phase == preparing && !promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force})
		case e.phase == syncing && promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force}) // it gives this candidate more time
		case e.phase == accepting:
			r.send(address, Accept{View: e.view})
		}
	}
}

func (r *Replica) tickPrimary() {
	l := &r.leading
	if r.stalled() {
		r.Resign(r.now)
		return
	}
	if r.now-l.lastBeat >= HeartbeatInterval {
		r.heartbeat()
	}
	if l.staged != nil && r.now-l.stagedAt > entryLimit+time.Duration(len(l.staged.data))*entryLimitByte {
		r.recampaign()
		return
	}
	if !r.majorityReachable() && r.now-l.since > suspectAfter {
		r.stepDown()
		return
	}
	if l.staged == nil {
		r.review()
	}
}

// Leave says that this process is about to end: it gives its lead away, and another takes its place among the members as soon as one
// that could has all that it has.
func (r *Replica) Leave(now time.Duration) {
	r.leaving = true
	r.Resign(now)
}

// Resign gives the lead to another in-sync replica, as far as that is possible.
func (r *Replica) Resign(now time.Duration) {
	r.now = now
	if r.role != primary {
		return
	}
	best, latest := "", time.Duration(-1)
	for _, id := range r.leading.view.InSync {
		if a, ok := r.leading.acked[id]; ok && id != r.Self.ID && !a.fails && !a.leaving && a.at > latest {
			best, latest = r.leading.view.Member(id).Address, a.at
		}
	}
	epoch := r.leading.view.Epoch
	r.stepDown()
	if best != "" {
		r.send(best, TransferLeadership{Epoch: epoch})
	}
}
