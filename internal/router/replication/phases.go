package replication

import (
	"slices"
	"time"
)

// This file has the three phases of a candidacy: how a candidate handles the answers to Prepare, Sync and Accept.

// handlePromise counts a promise. A refusal by a larger epoch ends the candidacy.
func (r *Replica) handlePromise(m Promise) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != preparing {
		return
	}
	e := &r.election
	if m.Refused {
		if e.epoch.Less(m.Promised) && r.hard.Promised.Round < m.Promised.Round {
			r.hard.Promised.Round = m.Promised.Round // the next candidacy starts above it
			r.hard.Promised.Node = ""
			r.stepDown()
		}
		return
	}
	e.prepare.promises[m.From.Address] = m
	e.prepare.slowestPromise = max(e.prepare.slowestPromise, r.now-e.lastRequest)
	for _, id := range m.Voters {
		e.prepare.votes[id] = true
	}
	r.learnAcceptedView(m.Accepted)
	r.advancePreparing()
}

// learnAcceptedView makes a view that a witness accepted the one that the candidate builds on, if it is newer, and requests
// promises of that view's members.
func (r *Replica) learnAcceptedView(accepted View) {
	e := &r.election
	later := laterView(e.newestView, accepted)
	if later.Epoch == e.newestView.Epoch && later.joint() == e.newestView.joint() {
		return
	}
	e.newestView = later
	for _, address := range r.contacts() {
		if _, ok := e.prepare.promises[address]; !ok {
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: true})
		}
	}
}

// advancePreparing begins the sync phase once there are enough promises: of a majority of the newest view's members, of a
// majority of its previous members, and of all others that are likely to answer soon. A candidate outside that view's
// in-sync set steps down instead.
func (r *Replica) advancePreparing() {
	e := &r.election
	if _, own := e.prepare.promises[r.Self.Address]; !own { // its own disk has to hold the state that it has in memory
		return
	}
	if !majority(e.newestView.Members, e.prepare.votes) || !majority(e.newestView.Old, e.prepare.votes) {
		e.prepare.majoritySince = r.now
		return
	}
	if !r.allPromised() && r.now-e.prepare.majoritySince < r.promiseWait() {
		return
	}
	if e.newestView.Epoch.Round > 0 && !e.newestView.inSync(r.Self.ID) {
		r.LearnView(e.newestView)
		r.stepDown() // only a member of the in-sync set may lead
		return
	}
	e.phase, e.phaseSince = syncing, r.now
	e.sync.synced[r.Self.ID] = true
	r.syncPromised()
	r.advanceSyncing()
}

// promiseWait returns how long the candidate waits for promises beyond a majority: somewhat longer than the slowest promise
// took, or maxPhaseWait if one is missing of a replica that this primary knows to be caught up.
func (r *Replica) promiseWait() time.Duration {
	prepare := &r.election.prepare
	for _, id := range sortedKeys(r.leadership.statuses) {
		if _, ok := prepare.promises[r.leadership.statuses[id].member.Address]; !ok && r.caughtUp(id) {
			return maxPhaseWait
		}
	}
	return min(maxPhaseWait, promiseWaitMargin+2*prepare.slowestPromise)
}

// allPromised reports whether all replicas whose promise may be needed have promised.
func (r *Replica) allPromised() bool {
	for _, address := range r.contacts() {
		if _, ok := r.election.prepare.promises[address]; !ok {
			return false
		}
	}
	return true
}

// syncPromised sends this candidate's state to the replicas that promised. A replica that needs a snapshot gets one only if
// too few members can be synced without: a snapshot takes long, and the primary can send it later while it handles
// proposals.
func (r *Replica) syncPromised() {
	e := &r.election
	var needSnapshot []Promise
	for _, address := range sortedKeys(e.prepare.promises) {
		p := e.prepare.promises[address]
		if p.From.ID == r.Self.ID || !p.isFromDisk() {
			continue
		}
		missing, ok := r.state.history.after(p.Position)
		if p.Position != r.state.position && !ok {
			needSnapshot = append(needSnapshot, p)
			continue
		}
		e.sync.requested[p.From.ID] = p.From
		r.send(p.From.Address, Sync{Epoch: e.epoch, Position: r.state.position, After: p.Position, Entries: slices.Clone(missing)})
	}
	if r.membersBeingSynced() >= r.minInSync() {
		return
	}
	for _, p := range needSnapshot {
		e.sync.requested[p.From.ID] = p.From
		r.send(p.From.Address, Sync{Epoch: e.epoch, Position: r.state.position, Snapshot: r.state.machine.Snapshot()})
	}
}

// isFromDisk reports whether the sender promised with its disk's identity. Only then can it be in the in-sync set.
func (m *Promise) isFromDisk() bool { return slices.Contains(m.Voters, m.From.ID) }

// membersBeingSynced returns the number of members that were sent Sync, plus one for the candidate.
func (r *Replica) membersBeingSynced() int {
	e := &r.election
	n := 1
	for id := range e.sync.requested {
		if e.newestView.Member(id) != nil {
			n++
		}
	}
	return n
}

// handleSynced adds a replica to the in-sync set of the view to propose, if it has exactly the candidate's state.
func (r *Replica) handleSynced(m Synced) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != syncing || m.Position != r.state.position {
		return
	}
	r.election.sync.synced[m.From] = true
	r.advanceSyncing()
}

// minInSync returns the smallest size of an in-sync set. An acknowledged entry is on at least as many disks, so that one is
// left when FaultTolerance of them are lost.
func (r *Replica) minInSync() int { return r.FaultTolerance + 1 }

// advanceSyncing proposes a view once all replicas that were sent Sync have answered, or after maxPhaseWait. The view's
// in-sync set are the members that answered; the candidate goes on waiting while they are fewer than minInSync.
func (r *Replica) advanceSyncing() {
	e := &r.election
	if len(e.sync.synced) < len(e.sync.requested)+1 && r.now-e.phaseSince < maxPhaseWait {
		return
	}
	view := r.nextView()
	if len(view.InSync) < r.minInSync() {
		return
	}
	e.phase, e.phaseSince, e.accept.view = accepting, r.now, view
	r.hard.Accepted = view
	epoch := e.epoch
	r.saveHardState(r.ifStillCandidate(epoch, func() { r.handleAccepted(Accepted{Epoch: epoch, Voters: r.voters()}) }))
	for _, address := range r.contacts() {
		r.send(address, Accept{View: view})
	}
}

// handleAccepted counts a vote for the proposed view. The view is in force once a majority of its members and a majority of
// the previous members have accepted it.
func (r *Replica) handleAccepted(m Accepted) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != accepting {
		return
	}
	if m.Refused {
		return // the candidacy goes on: others may still be a majority; otherwise it times out
	}
	accept := &r.election.accept
	for _, id := range m.Voters {
		accept.votes[id] = true
	}
	if majority(accept.view.Members, accept.votes) && majority(accept.view.Old, accept.votes) {
		r.becomePrimary()
	}
}
