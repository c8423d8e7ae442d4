package replication

import (
	"hash/fnv"
	"time"
)

// electionPhase is the phase of a candidacy.
type electionPhase int

const (
	preparing electionPhase = iota // the candidate waits for promises
	syncing                        // it waits until other disks have its state
	accepting                      // it waits until witnesses accept its view
)

// election is a candidacy for one epoch.
type election struct {
	epoch          Epoch
	force          bool // the primary itself wants another view: contact with it is no reason to refuse
	candidateSince time.Duration
	phase          electionPhase
	phaseSince     time.Duration
	lastRequest    time.Duration // when the phase's request was last sent to the replicas that have not answered
	newestView     View          // newest view that this candidate learned of; the proposed one is built on it

	prepare preparePhase
	sync    syncPhase
	accept  acceptPhase
}

// preparePhase holds the answers to Prepare.
type preparePhase struct {
	promises       map[string]Promise // by address
	votes          map[string]bool    // by witness identity
	slowestPromise time.Duration      // longest time from lastRequest until a promise came
	majoritySince  time.Duration      // the time up to which there was no majority of promises
}

// syncPhase holds the replicas that were sent Sync, and those that answered.
type syncPhase struct {
	requested map[string]Member // by ID
	synced    map[string]bool   // by ID, this replica's included
}

// acceptPhase is the proposed view, and the votes of the witnesses that accepted it.
type acceptPhase struct {
	view  View
	votes map[string]bool // by witness identity
}

// campaign begins a candidacy for the next epoch. It does nothing without a working disk.
func (r *Replica) campaign(force bool) {
	if r.Diskless || r.diskStalled() {
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

// nextEpoch returns an epoch larger than all epochs that this replica knows of.
func (r *Replica) nextEpoch() Epoch {
	round := max(r.hard.Promised.Round, r.knownView.Epoch.Round, r.hard.Accepted.Epoch.Round) + 1
	return Epoch{Round: round, Node: r.Self.ID}
}

// ifStillCandidate returns a function that calls do only if this replica is still candidate for the epoch.
func (r *Replica) ifStillCandidate(epoch Epoch, do func()) func() {
	return r.ifStillPromised(epoch, func() {
		if r.role == candidate && r.election.epoch == epoch {
			do()
		}
	})
}

// stepDown ends a candidacy or a leadership. All pending proposals and reads are answered with status 503: the next primary
// may still commit the staged entry.
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

// resendRequests resends the phase's request to the replicas that have not answered: they may just have started.
func (r *Replica) resendRequests() {
	e := &r.election
	for _, address := range r.contacts() {
		_, promised := e.prepare.promises[address]
		switch {
		case e.phase == preparing && !promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force})
		case e.phase == syncing && promised:
			r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: e.force}) // counts as contact, which delays other candidacies
		case e.phase == accepting:
			r.send(address, Accept{View: e.accept.view})
		}
	}
}

// electionDelay returns how long a follower waits beyond the election timeout, so that candidates do not compete: first the
// in-sync members in the order of the view, then the others, spread by a hash of their IDs.
func (r *Replica) electionDelay() time.Duration {
	newest := r.newestKnownView()
	for i, id := range newest.InSync {
		if id == r.Self.ID {
			return time.Duration(i) * electionStagger
		}
	}
	h := fnv.New32a()
	h.Write([]byte(r.Self.ID))
	return time.Duration(len(newest.InSync))*electionStagger + time.Duration(h.Sum32()%400)*time.Millisecond
}
