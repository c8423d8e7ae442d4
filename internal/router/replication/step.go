package replication

import "time"

// Receive handles a message from the router at an internal address. It ignores a message that does not fit the replica's
// role, epoch or phase. The replica may keep references into the message: the caller must not change it afterwards.
func (r *Replica) Receive(from string, m Message, now time.Duration) {
	r.now = now
	switch m := m.(type) {
	case PreVote:
		r.handlePreVote(m)
	case PreVoteReply:
		r.handlePreVoteReply(m, from)
	case Prepare:
		r.handlePrepare(m)
	case Promise:
		r.handlePromise(m)
	case Sync:
		r.handleSync(m, from)
	case Synced:
		r.handleSynced(m)
	case Accept:
		r.handleAccept(m, from)
	case Accepted:
		r.handleAccepted(m)
	case Replicate:
		r.handleReplicate(m, from)
	case Replicated:
		r.handleReplicated(m)
	case Heartbeat:
		r.handleHeartbeat(m, from)
	case HeartbeatAck:
		r.handleHeartbeatAck(m)
	case SnapshotChunk:
		r.handleSnapshotChunk(m, from)
	case MissingEntries:
		r.handleMissingEntries(m, from)
	case LearnerAck:
		r.handleLearnerAck(m)
	case TransferLeadership:
		r.handleTransferLeadership(m)
	}
}

// Tick checks all timeouts and sends what is due. The shell calls it every few tens of milliseconds.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	r.retryFailedDisk()
	switch r.role {
	case follower:
		r.tickFollower()
	case candidate:
		r.tickCandidate()
	case primary:
		r.tickPrimary()
	}
}

// tickFollower proposes the first view, or requests pre-votes if it suspects the primary to have failed.
func (r *Replica) tickFollower() {
	if r.Diskless || r.diskStalled() {
		return
	}
	if r.noViewYet() {
		if r.hard.Genesis && r.now-max(r.eligible.lastAddedAt, r.follower.lastContact) > r.bootstrapDelay() {
			r.campaign(false)
		}
		return
	}
	if r.knownView.Epoch.Round == 0 && !r.hard.Accepted.joint() {
		r.knownView = r.hard.Accepted // a joint view is not reported by View: it may never have been in force
	}
	if r.suspectsPrimary() {
		r.requestPreVotes()
	}
}

// tickCandidate ends a candidacy that lasts too long, resends requests, and ends the wait for answers that are not needed.
func (r *Replica) tickCandidate() {
	e := &r.election
	if r.now-e.candidateSince > candidacyTimeout || r.diskStalled() {
		r.stepDown()
		return
	}
	if r.now-e.lastRequest >= resendInterval {
		e.lastRequest = r.now
		r.resendRequests()
	}
	switch e.phase {
	case preparing:
		r.advancePreparing()
	case syncing:
		r.advanceSyncing()
	}
}

// tickPrimary sends heartbeats. It steps down where its disk fails or a majority is unreachable, and proposes another view
// where in-sync members do not acknowledge an entry or a change of the view is wanted.
func (r *Replica) tickPrimary() {
	l := &r.leadership
	if r.diskStalled() {
		r.Resign(r.now)
		return
	}
	if r.now-l.lastHeartbeat >= HeartbeatInterval {
		r.broadcastHeartbeat()
	}
	if l.staged.timedOut(r.now) {
		r.campaignAsPrimary()
		return
	}
	if !r.majorityReachable() && r.now-l.viewSince > electionTimeout {
		r.stepDown()
		return
	}
	if l.staged.proposal == nil {
		r.reviewView()
	}
}
