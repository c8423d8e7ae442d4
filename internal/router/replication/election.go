package replication

import (
	"hash/fnv"
	"slices"
	"time"
)

type phase int

const (
	preparing phase = iota
	syncing
	accepting
)

// election is a candidacy.
type election struct {
	epoch    Epoch
	phase    phase
	began    time.Duration // of the phase
	start    time.Duration
	promises map[string]Promise // by address
	votes    map[string]bool
	newest   View
	synced   map[string]bool   // IDs
	joining  map[string]Member // those that were sent the state, by ID
	asked    time.Duration     // when the phase's question was last sent
	slowest  time.Duration     // that a promise took from then
	agreed   time.Duration     // since when a majority has promised
	force    bool
	accepts  map[string]bool
	view     View
}

// contacts are the addresses of all whose promise may be needed, in order.
func (r *Replica) contacts() []string {
	addresses := map[string]bool{}
	views := []View{r.known, r.hard.Accepted, r.election.newest}
	if r.known.Epoch.Round == 0 && r.hard.Accepted.Epoch.Round == 0 {
		views = append(views, r.base())
	}
	for _, v := range views {
		for _, m := range v.Members {
			addresses[m.Address] = true
		}
		for _, m := range v.Old {
			addresses[m.Address] = true
		}
	}
	for _, m := range r.candidates {
		addresses[m.Address] = true
	}
	delete(addresses, r.Self.Address)
	return sortedKeys(addresses)
}

// campaign begins a candidacy for the next epoch.
func (r *Replica) campaign(force bool) {
	if r.Witness || r.stalled() {
		return
	}
	r.incoming = incoming{}
	round := max(r.hard.Promised.Round, r.known.Epoch.Round, r.hard.Accepted.Epoch.Round) + 1
	r.role = candidate
	r.election = election{
		epoch: Epoch{Round: round, Node: r.Self.ID}, began: r.now, start: r.now,
		promises: map[string]Promise{}, votes: map[string]bool{}, synced: map[string]bool{},
		joining: map[string]Member{}, asked: r.now, agreed: r.now, force: force, accepts: map[string]bool{}, newest: r.base(),
	}
	if r.hard.Accepted.Epoch.Round > 0 {
		r.election.newest = r.hard.Accepted
	}
	r.hard.Promised = r.election.epoch
	epoch := r.election.epoch
	r.save(nil, false, func() {
		if r.role == candidate && r.election.epoch == epoch && r.hard.Promised == epoch {
			r.onPromise(r.ownPromise(epoch))
		}
	})
	for _, address := range r.contacts() {
		r.send(address, Prepare{Epoch: epoch, From: r.Self, Force: force})
	}
}

func (r *Replica) stepDown() {
	r.role = follower
	r.heard = r.now
	for _, p := range r.leading.queue {
		r.answer(p.token, Decision{Status: statusUnavailable, Reason: "no longer primary"})
	}
	if r.leading.staged != nil {
		r.answer(r.leading.staged.token, Decision{Status: statusUnavailable, Reason: "no longer primary"})
	}
	for _, c := range r.leading.confirms {
		r.answer(c.token, Decision{Status: statusUnavailable, Reason: "no longer primary"})
	}
	r.leading = leading{}
}

func (r *Replica) onPromise(m Promise) {
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
	e.promises[m.From.Address] = m
	e.slowest = max(e.slowest, r.now-e.asked)
	for _, v := range m.Voters {
		e.votes[v] = true
	}
	if later := laterView(e.newest, m.Accepted); later.Epoch != e.newest.Epoch || later.joint() != e.newest.joint() {
		e.newest = later
		for _, address := range r.contacts() {
			if _, ok := e.promises[address]; !ok {
				r.send(address, Prepare{Epoch: e.epoch, From: r.Self, Force: true})
			}
		}
	}
	r.advancePreparing()
}

func (r *Replica) advancePreparing() {
	e := &r.election
	if _, own := e.promises[r.Self.Address]; !own { // its own disk has to be as far as its memory
		return
	}
	if !majority(e.newest.Members, e.votes) || !majority(e.newest.Old, e.votes) {
		e.agreed = r.now
		return
	}
	if !r.allPromised() && r.now-e.agreed < r.patience() {
		return
	}
	if e.newest.Epoch.Round > 0 && !e.newest.inSync(r.Self.ID) {
		r.LearnView(e.newest)
		r.stepDown() // one of the in-sync set has to do it
		return
	}
	e.phase, e.began = syncing, r.now
	e.synced[r.Self.ID] = true
	r.syncPromised()
	r.advanceSyncing()
}

// syncPromised brings those that promised to this candidate's state: all that lack a few entries; one that needs the whole state only
// where too few others have it, for that takes long and the primary does it beside its other work.
func (r *Replica) syncPromised() {
	e := &r.election
	far := []Promise{}
	for _, address := range sortedKeys(e.promises) {
		p := e.promises[address]
		if p.From.ID == r.Self.ID || !r.mayJoin(p.From, p) {
			continue
		}
		missing, ok := r.history.after(p.Position)
		if p.Position != r.position && !ok {
			far = append(far, p)
			continue
		}
		e.joining[p.From.ID] = p.From
		r.send(p.From.Address, Sync{Epoch: e.epoch, Position: r.position, After: p.Position, Entries: slices.Clone(missing)})
	}
	if r.nearMembers() >= r.minInSync() {
		return
	}
	for _, p := range far {
		e.joining[p.From.ID] = p.From
		r.send(p.From.Address, Sync{Epoch: e.epoch, Position: r.position, Snapshot: r.machine.Snapshot()})
	}
}

// nearMembers counts the members, this one included, that were sent what they lack.
func (r *Replica) nearMembers() int {
	e := &r.election
	n := 1
	for id := range e.joining {
		if e.newest.Member(id) != nil {
			n++
		}
	}
	return n
}

// patience is for how long promises beyond a majority are waited for: those that come take about as long as the others, but for those
// that this replica, as primary, knows to be there.
func (r *Replica) patience() time.Duration {
	for _, id := range sortedKeys(r.leading.acked) {
		if _, ok := r.election.promises[r.leading.acked[id].member.Address]; !ok && r.caughtUp(id) {
			return phaseWait
		}
	}
	return min(phaseWait, promiseSlack+2*r.election.slowest)
}

// allPromised: nothing is gained by waiting for more promises.
func (r *Replica) allPromised() bool {
	for _, address := range r.contacts() {
		if _, ok := r.election.promises[address]; !ok {
			return false
		}
	}
	return true
}

func (r *Replica) onSynced(m Synced) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != syncing || m.Position != r.position {
		return
	}
	r.election.synced[m.From] = true
	r.advanceSyncing()
}

// minInSync is how many disks an acknowledged entry is on at the least.
func (r *Replica) minInSync() int { return r.FaultTolerance + 1 }

func (r *Replica) advanceSyncing() {
	e := &r.election
	if len(e.synced) < len(e.joining)+1 && r.now-e.began < phaseWait {
		return
	}
	view := r.nextView()
	if len(view.InSync) < r.minInSync() {
		return
	}
	e.phase, e.began, e.view = accepting, r.now, view
	r.hard.Accepted = e.view
	epoch := e.epoch
	r.save(nil, false, func() {
		if r.role == candidate && r.election.epoch == epoch && r.hard.Promised == epoch {
			r.onAccepted(Accepted{Epoch: epoch, Voters: r.voters()})
		}
	})
	for _, address := range r.contacts() {
		r.send(address, Accept{View: view})
	}
}

func (r *Replica) onAccepted(m Accepted) {
	if r.role != candidate || m.Epoch != r.election.epoch || r.election.phase != accepting {
		return
	}
	if m.Refused {
		return
	}
	e := &r.election
	for _, v := range m.Voters {
		e.accepts[v] = true
	}
	if majority(e.view.Members, e.accepts) && majority(e.view.Old, e.accepts) {
		r.lead()
	}
}

// electionTurn spreads candidates out, so that they do not hinder one another.
func (r *Replica) electionTurn() time.Duration {
	newest := r.newestKnown()
	for i, id := range newest.InSync {
		if id == r.Self.ID {
			return time.Duration(i) * suspectStep
		}
	}
	h := fnv.New32a()
	h.Write([]byte(r.Self.ID))
	return time.Duration(len(newest.InSync))*suspectStep + time.Duration(h.Sum32()%400)*time.Millisecond
}

// firstTurn reports whether this sidecar is the one that proposes the first view.
func (r *Replica) firstTurn() time.Duration {
	rank := 0
	for _, m := range r.candidates {
		if m.Address < r.Self.Address {
			rank++
		}
	}
	return genesisWait + time.Duration(rank)*genesisStep
}
