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
	teaching  map[string]*teaching // by ID
	confirms  []confirmation
	reviewed  time.Duration
	wanted    string        // the change that was last proposed
	wait      time.Duration // until that change is proposed again
	since     time.Duration // when the view came into force
	began     time.Duration // when this replica became primary: views since then are its own
}

// lead begins a primary's time: the view has been accepted.
func (r *Replica) lead() {
	old := r.leading
	r.role = primary
	next := leading{view: r.election.view, queue: old.queue, confirms: old.confirms, acked: map[string]memberAck{}, teaching: map[string]*teaching{},
		committed: r.position.Sequence, since: r.now, began: r.now, reviewed: r.now, beat: old.beat}
	if old.acked != nil { // it was primary before: who was silent then is so still
		next.acked, next.began, next.wanted = old.acked, old.began, old.wanted
	}
	if slices.Equal(old.view.InSync, next.view.InSync) && slices.Equal(old.view.Members, next.view.Members) {
		next.wait = min(maxReviewWait, max(reviewEvery, 2*old.wait)) // the change brought nothing
	}
	next.view.Old = next.view.Members // it is in force: the members before need not agree any more
	r.known = next.view
	r.hard.Accepted = r.known
	r.save(nil, false, func() {})
	r.leading = next
	for address := range r.election.promises {
		for _, m := range r.known.Members {
			if m.Address == address {
				a := r.leading.acked[m.ID]
				a.member, a.at = m, r.now
				r.leading.acked[m.ID] = a
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
	entry := Entry{Position: Position{Epoch: l.view.Epoch, Sequence: r.position.Sequence + 1}, Data: p.data}
	r.apply(entry)
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
	entry := Entry{Position: Position{Epoch: epoch, Sequence: sequence}, Data: m.Entry}
	r.apply(entry)
	r.save(&entry, false, done)
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
	r.teachAll()
	r.nextProposal()
}

// recampaign takes the next epoch with what this primary has, staged entry included.
func (r *Replica) recampaign() {
	for _, c := range r.leading.confirms {
		r.answer(c.token, Decision{Status: statusUnavailable, Reason: "the view changes"})
	}
	r.leading.confirms = nil
	r.campaign(true)
}

// review looks whether the view should change. A change that was proposed and brought nothing waits longer each time; another one does not.
func (r *Replica) review() {
	l := &r.leading
	if r.now-l.reviewed < reviewEvery {
		return
	}
	wanted := r.wantedChange()
	if wanted == "" || wanted == l.wanted && r.now-l.reviewed < l.wait {
		return
	}
	l.reviewed = r.now
	if r.majorityReachable() {
		l.wanted = wanted
		r.recampaign()
	}
}
