package replication

import (
	"hash/fnv"
	"slices"
	"time"
)

// electionPhase is what a candidate is waiting for.
type electionPhase int

const (
	preparing electionPhase = iota // promises
	syncing                        // disks that have its state
	accepting                      // acceptances of its view
)

// election is a candidacy for one epoch.
type election struct {
	epoch          Epoch
	force          bool // the primary wants this itself: contact with it is no reason to refuse
	candidateSince time.Duration
	phase          electionPhase
	phaseSince     time.Duration
	lastRequest    time.Duration // when the phase's request was last sent to those that have not answered
	newestView     View          // that this candidate learned of; the proposed one is built on it

	prepare preparePhase
	sync    syncPhase
	accept  acceptPhase
}

// preparePhase is what the answers to Prepare said.
type preparePhase struct {
	promises       map[string]Promise // by address
	votes          map[string]bool    // of witness identities
	slowestPromise time.Duration      // that a promise took since lastRequest
	majoritySince  time.Duration
}

// syncPhase is who was sent Sync, and who answered.
type syncPhase struct {
	requested map[string]Member // by ID
	synced    map[string]bool   // by ID, with this replica's
}

// acceptPhase is the proposed view, and who accepted it.
type acceptPhase struct {
	view  View
	votes map[string]bool // of witness identities
}

// campaign begins a candidacy for the next epoch. It does nothing without a working disk.
func (r *Replica) campaign(force bool) {
	if r.Witness || r.diskStalled() {
		return
	}
	r.follower.incomingSnapshot = incomingSnapshot{}
	r.role = candidate
	r.election = election{
		epoch:          r.nextEpoch(),
		force:          force,
		candidateSince: r.now,
		phaseSince:     r.now,
		lastRequest:    r.now,
		newestView:     r.bootstrapView(),
		prepare:        preparePhase{promises: map[string]Promise{}, votes: map[string]bool{}, majoritySince: r.now},
		sync:           syncPhase{requested: map[string]Member{}, synced: map[string]bool{}},
		accept:         acceptPhase{votes: map[string]bool{}},
	}
	if r.hard.Accepted.Epoch.Round > 0 {
		r.election.newestView = r.hard.Accepted
	}
	epoch := r.election.epoch
	r.hard.Promised = epoch
	r.saveHardState(r.ifStillCandidate(epoch, func() { r.handlePromise(r.promiseFor(epoch)) }))
	for _, address := range r.contacts() {
		r.send(address, Prepare{Epoch: epoch, From: r.Self, Force: force})
	}
}

// nextEpoch returns an epoch larger than all that this replica knows.
func (r *Replica) nextEpoch() Epoch {
	round := max(r.hard.Promised.Round, r.knownView.Epoch.Round, r.hard.Accepted.Epoch.Round) + 1
	return Epoch{Round: round, Node: r.Self.ID}
}

// ifStillCandidate returns a function that calls do if this replica is still candidate for an epoch by then.
func (r *Replica) ifStillCandidate(epoch Epoch, do func()) func() {
	return r.ifStillPromised(epoch, func() {
		if r.role == candidate && r.election.epoch == epoch {
			do()
		}
	})
}

// stepDown ends a candidacy or a leadership. What waits for an answer gets an unclear one: the entry may be committed by the next primary.
func (r *Replica) stepDown() {
	r.role = follower
	r.follower.lastContact = r.now
	for _, p := range r.leadership.proposals {
		r.answer(p.token, unavailable(reasonNoLongerPrimary))
	}
	if staged := r.leadership.staged.proposal; staged != nil {
		r.answer(staged.token, unavailable(reasonNoLongerPrimary))
	}
	for _, c := range r.leadership.confirmations {
		r.answer(c.token, unavailable(reasonNoLongerPrimary))
	}
	r.leadership = leadership{}
}

// resendRequests sends the phase's request to those that have not answered: they may just have started.
func (r *Replica) resendRequests() {
	e := &r.election
	for _, address := range r.contacts() {
		_, promised := e.prepare.promises[address]
		switch {
		case e.phase == preparing && !promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force})
		case e.phase == syncing && promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force}) // it gives this candidate more time
		case e.phase == accepting:
			r.send(address, Accept{View: e.accept.view})
		}
	}
}

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

// learnAcceptedView has the candidate build on a view that a witness accepted, if it is newer, and asks its members for their promises.
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

func (r *Replica) advancePreparing() {
	e := &r.election
	if _, own := e.prepare.promises[r.Self.Address]; !own { // its own disk has to have what its memory has
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
		r.stepDown() // one of the in-sync set has to do it
		return
	}
	e.phase, e.phaseSince = syncing, r.now
	e.sync.synced[r.Self.ID] = true
	r.syncPromised()
	r.advanceSyncing()
}

// promiseWait is for how long promises beyond a majority are waited for: those that come take about as long as the others, but for those
// that this replica, as primary, knows to be reachable.
func (r *Replica) promiseWait() time.Duration {
	prepare := &r.election.prepare
	for _, id := range sortedKeys(r.leadership.statuses) {
		if _, ok := prepare.promises[r.leadership.statuses[id].member.Address]; !ok && r.caughtUp(id) {
			return maxPhaseWait
		}
	}
	return min(maxPhaseWait, promiseWaitMargin+2*prepare.slowestPromise)
}

// allPromised reports whether nothing is gained by waiting for more promises.
func (r *Replica) allPromised() bool {
	for _, address := range r.contacts() {
		if _, ok := r.election.prepare.promises[address]; !ok {
			return false
		}
	}
	return true
}

// syncPromised brings those that promised to this candidate's state: all that lack a few entries; one that needs the complete state only
// where too few others have it, for that takes long and the primary does it beside its other work.
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

// isFromDisk reports whether a replica promised with its disk's identity: it can be in the in-sync set.
func (m *Promise) isFromDisk() bool { return slices.Contains(m.Voters, m.From.ID) }

// membersBeingSynced counts the members, this one included, that were sent what they lack.
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

func (r *Replica) handleSynced(m Synced) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != syncing || m.Position != r.state.position {
		return
	}
	r.election.sync.synced[m.From] = true
	r.advanceSyncing()
}

// minInSync is on how many disks an acknowledged entry is at least.
func (r *Replica) minInSync() int { return r.FaultTolerance + 1 }

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

func (r *Replica) handleAccepted(m Accepted) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != accepting {
		return
	}
	if m.Refused {
		return // the candidacy times out, unless a majority accepts all the same
	}
	accept := &r.election.accept
	for _, id := range m.Voters {
		accept.votes[id] = true
	}
	if majority(accept.view.Members, accept.votes) && majority(accept.view.Old, accept.votes) {
		r.becomePrimary()
	}
}

// electionDelay is for how long a follower waits beyond the election timeout, so that candidates do not hinder one another: the
// in-sync members in their order, and the others after them, spread by a hash.
func (r *Replica) electionDelay() time.Duration {
	newest := r.newestKnown()
	for i, id := range newest.InSync {
		if id == r.Self.ID {
			return time.Duration(i) * electionStagger
		}
	}
	h := fnv.New32a()
	h.Write([]byte(r.Self.ID))
	return time.Duration(len(newest.InSync))*electionStagger + time.Duration(h.Sum32()%400)*time.Millisecond
}
