package replication

import (
	"net/http"
	"slices"
	"time"
)

const statusUnavailable = http.StatusServiceUnavailable

// leading is what a primary knows.
type leading struct {
	view      View
	queue     []proposal
	staged    *proposal
	stagedAt  time.Duration
	acks      map[string]bool // in-sync members that have the staged entry
	committed uint64
	beat      uint64
	lastBeat  time.Duration
	acked     map[string]memberAck // by ID
	confirms  []confirmation
	reviewed  time.Duration
	wait      time.Duration // until the next review
	since     time.Duration
}

type memberAck struct {
	beat  uint64
	at    time.Duration
	fails bool
	known Epoch
}

// confirmation is an answer that waits until a majority has said that this is still the primary.
type confirmation struct {
	token    uint64
	beat     uint64
	decision Decision
}

// lead begins a primary's time: the view has been accepted.
func (r *Replica) lead() {
	old := r.leading
	r.role = primary
	wait := time.Duration(0)
	if slices.Equal(old.view.InSync, r.election.view.InSync) && len(old.view.Members) == len(r.election.view.Members) {
		wait = min(maxReviewWait, max(reviewEvery, 2*old.wait)) // the change brought nothing
	}
	r.election.view.Old = r.election.view.Members // it is in force: the members before need not agree any more
	r.known = r.election.view
	r.hard.Accepted = r.known
	r.save(nil, false, func() {})
	r.leading = leading{view: r.election.view, queue: old.queue, confirms: old.confirms, acked: map[string]memberAck{},
		committed: r.position.Sequence, since: r.now, reviewed: r.now, wait: wait, beat: old.beat}
	for address := range r.election.promises {
		for _, m := range r.known.Members {
			if m.Address == address {
				r.leading.acked[m.ID] = memberAck{at: r.now}
			}
		}
	}
	r.publish()
	if old.staged != nil { // its entry is part of the state that this view began with
		r.answer(old.staged.token, Decision{Accept: true, Status: http.StatusOK})
	}
	r.heartbeat()
	r.nextProposal()
}

// Propose hands in an entry; an Answer with the token follows, unless the replica ends.
func (r *Replica) Propose(token uint64, data []byte, now time.Duration) {
	r.now = now
	if r.role != primary && !(r.role == candidate && r.leading.acked != nil) || len(r.leading.queue) >= maxProposals {
		r.answer(token, Decision{Status: statusUnavailable, Reason: "not the primary"})
		return
	}
	r.leading.queue = append(r.leading.queue, proposal{token: token, data: data})
	r.nextProposal()
}

// Confirm asks for an Answer with status 200 as soon as a majority has said that this is still the primary.
func (r *Replica) Confirm(token uint64, now time.Duration) {
	r.now = now
	if r.role != primary {
		r.answer(token, Decision{Status: statusUnavailable, Reason: "not the primary"})
		return
	}
	r.confirm(token, Decision{Status: http.StatusOK})
}

func (r *Replica) confirm(token uint64, d Decision) {
	r.heartbeat()
	r.leading.confirms = append(r.leading.confirms, confirmation{token: token, beat: r.leading.beat, decision: d})
	r.checkConfirms()
}

func (r *Replica) answer(token uint64, d Decision) {
	r.out = append(r.out, Answer{Token: token, Decision: d})
}

// nextProposal decides on proposals until one is staged: it has to be committed before the next is looked at.
func (r *Replica) nextProposal() {
	l := &r.leading
	for r.role == primary && l.staged == nil && len(l.queue) > 0 {
		p := l.queue[0]
		l.queue = l.queue[1:]
		d := r.machine.Decide(p.data)
		if !d.Accept {
			r.confirm(p.token, d)
			continue
		}
		r.stage(p)
	}
}

func (r *Replica) stage(p proposal) {
	l := &r.leading
	l.staged, l.stagedAt, l.acks = &p, r.now, map[string]bool{}
	r.machine.Apply(p.data)
	r.position = Position{Epoch: l.view.Epoch, Sequence: r.position.Sequence + 1}
	r.remember(p.data)
	entry := Entry{Position: r.position, Data: p.data}
	epoch, sequence := l.view.Epoch, r.position.Sequence
	r.save(&entry, false, func() {
		r.onReplicated(Replicated{Epoch: epoch, From: r.Self.ID, Sequence: sequence})
	})
	for _, id := range l.view.InSync {
		if m := l.view.Member(id); m != nil && id != r.Self.ID {
			r.send(m.Address, Replicate{Epoch: epoch, Sequence: sequence, Entry: p.data})
		}
	}
}

func (r *Replica) onReplicate(m Replicate, from string) {
	if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Witness {
		return
	}
	epoch, sequence := m.Epoch, m.Sequence
	done := func() {
		if r.hard.Promised == epoch {
			r.send(from, Replicated{Epoch: epoch, From: r.Self.ID, Sequence: sequence})
		}
	}
	if sequence != r.position.Sequence+1 {
		return
	}
	r.machine.Apply(m.Entry)
	r.position = Position{Epoch: epoch, Sequence: sequence}
	r.remember(m.Entry)
	r.save(&Entry{Position: r.position, Data: m.Entry}, false, done)
}

func (r *Replica) onReplicated(m Replicated) {
	l := &r.leading
	if r.role != primary || m.Epoch != l.view.Epoch || l.staged == nil || m.Sequence != r.position.Sequence {
		return
	}
	l.acks[m.From] = true
	for _, id := range l.view.InSync {
		if !l.acks[id] {
			return
		}
	}
	token := l.staged.token
	l.staged = nil
	l.committed = r.position.Sequence
	r.publish()
	r.answer(token, Decision{Accept: true, Status: http.StatusOK})
	r.heartbeat()
	r.nextProposal()
}

// heartbeat tells everybody who is primary.
func (r *Replica) heartbeat() {
	l := &r.leading
	l.beat++
	l.lastBeat = r.now
	l.acked[r.Self.ID] = memberAck{beat: l.beat, at: r.now}
	knows := map[string]bool{} // by address
	for _, to := range r.candidates {
		knows[to.Address] = knows[to.Address] || l.acked[to.ID].known == l.view.Epoch
	}
	for _, to := range l.view.Members {
		knows[to.Address] = l.acked[to.ID].known == l.view.Epoch
	}
	view := l.view
	for _, address := range sortedKeys(knows) {
		m := Heartbeat{Epoch: l.view.Epoch, Beat: l.beat, Committed: l.committed}
		if !knows[address] {
			m.View = &view
		}
		r.send(address, m)
	}
}

func (r *Replica) onHeartbeat(m Heartbeat, from string) {
	ack := HeartbeatAck{Epoch: m.Epoch, Beat: m.Beat, From: r.Self, Promised: r.hard.Promised, Known: r.known.Epoch, DiskFails: r.stalled()}
	if m.Epoch.Less(r.hard.Promised) {
		r.send(from, ack)
		return
	}
	if r.role != follower {
		r.stepDown()
	}
	if m.View != nil {
		r.LearnView(*m.View)
	}
	r.heard, r.heardEver = r.now, true
	r.preVote = preVote{}
	ack.Known = r.known.Epoch
	r.send(from, ack)
	if r.known.Epoch != m.Epoch {
		return // the next heartbeat brings the view
	}
	r.known.Old = r.known.Members // it is in force
	if r.hard.Accepted.Epoch.Less(m.Epoch) || r.hard.Accepted.joint() {
		r.hard.Promised, r.hard.Accepted = m.Epoch, r.known // it is in force: to accept it late does no harm
		r.save(nil, false, func() {})
	}
	current := r.position.Sequence <= m.Committed && r.known.inSync(r.Self.ID) && r.hard.Accepted.Epoch == m.Epoch
	if current && r.position.Sequence == m.Committed {
		r.publish()
	}
}

func (r *Replica) onHeartbeatAck(m HeartbeatAck) {
	l := &r.leading
	if r.role != primary || m.Epoch != l.view.Epoch {
		return
	}
	if l.view.Epoch.Less(m.Promised) {
		if r.hard.Promised.Round < m.Promised.Round {
			r.hard.Promised = Epoch{Round: m.Promised.Round}
		}
		r.recampaign()
		return
	}
	r.Eligible(m.From)
	a := l.acked[m.From.ID]
	l.acked[m.From.ID] = memberAck{beat: max(a.beat, m.Beat), at: r.now, fails: m.DiskFails, known: m.Known}
	r.checkConfirms()
}

func (r *Replica) checkConfirms() {
	l := &r.leading
	l.confirms = slices.DeleteFunc(l.confirms, func(c confirmation) bool {
		votes := map[string]bool{}
		for id, a := range l.acked {
			votes[id] = a.beat >= c.beat
		}
		if !majority(l.view.Members, votes) {
			return false
		}
		r.answer(c.token, c.decision)
		return true
	})
}

func (r *Replica) majorityReachable() bool {
	votes := map[string]bool{}
	for id, a := range r.leading.acked {
		votes[id] = id == r.Self.ID || r.now-a.at < suspectAfter
	}
	return majority(r.leading.view.Members, votes)
}

func (r *Replica) silentLong(m Member) bool {
	a, ok := r.leading.acked[m.ID]
	since := r.leading.since
	if ok {
		since = a.at
	}
	return r.leading.acked != nil && r.now-since > successorWait
}

// recampaign takes the next epoch with what this primary has, staged entry included.
func (r *Replica) recampaign() {
	for _, c := range r.leading.confirms {
		r.answer(c.token, Decision{Status: statusUnavailable, Reason: "the view changes"})
	}
	r.leading.confirms = nil
	r.campaign(true)
}

// review looks whether the view should change.
func (r *Replica) review() {
	l := &r.leading
	if r.now-l.reviewed < max(l.wait, reviewEvery) {
		return
	}
	l.reviewed = r.now
	if r.wantsChange() && r.majorityReachable() {
		r.recampaign()
	}
}

func (r *Replica) wantsChange() bool {
	l := &r.leading
	for id, a := range l.acked {
		alive := r.now-a.at < reachable && !a.fails && id != r.Self.ID
		if alive && !l.view.inSync(id) {
			return true
		}
	}
	for _, old := range l.view.Members {
		if !r.silentLong(old) || old.ID == r.Self.ID {
			continue
		}
		for _, m := range l.view.Members {
			if m.Zone == old.Zone && m.Joined > old.Joined && r.now-l.acked[m.ID].at < reachable {
				return true
			}
		}
	}
	return false
}
