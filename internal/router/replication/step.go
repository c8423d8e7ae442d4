package replication

import "time"

// Receive handles a message from the router at an internal address. Messages that do not fit the replica's role, epoch
// or phase change nothing. The replica may keep what the message points to, which must not be changed afterwards.
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

// Tick lets time pass; the shell calls it every few tens of milliseconds.
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

// tickFollower proposes the first view, or requests pre-votes where the primary is suspected.
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
		r.knownView = r.hard.Accepted // a joint view may never have been in force: it is not reported to anybody
	}
	if r.suspectsPrimary() {
		r.requestPreVotes()
	}
}

// tickCandidate ends a candidacy that lasts too long, sends requests again, and stops waiting for answers that are not
// needed.
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

// tickPrimary sends heartbeats, and changes the view or steps down where the disk, an entry's acknowledgements or a
// majority fail.
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
