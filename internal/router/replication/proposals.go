package replication

import (
	"net/http"
	"time"
)

// Reasons of decisions with status 503, for the response to the client.
const (
	reasonNotPrimary      = "not the primary"
	reasonNoLongerPrimary = "no longer primary"
	reasonViewChanges     = "the view changes"
)

// unavailable returns a decision with status 503. It does not say whether the request had an effect; the caller may retry.
func unavailable(reason string) Decision {
	return Decision{Status: http.StatusServiceUnavailable, Reason: reason}
}

// proposal is an entry that is queued or staged.
type proposal struct {
	token uint64
	data  []byte
}

// stagedEntry is the one proposal that the primary has applied and not yet committed.
type stagedEntry struct {
	proposal *proposal // nil: there is none
	stagedAt time.Duration
	acks     map[string]bool // IDs of in-sync members that have the entry on their disks
}

// timedOut reports whether the entry has not been committed within its timeout.
func (s *stagedEntry) timedOut(now time.Duration) bool {
	return s.proposal != nil && now-s.stagedAt > entryTimeout+time.Duration(len(s.proposal.data))*entryTimeoutPerByte
}

// Propose submits an entry. The replica keeps data: the caller must not change it afterwards. An Answer with the token
// follows unless the process ends: with Accept once the entry is committed, with the machine's decision if the machine
// rejects the entry, and with status 503 if this replica is not the primary, if too many proposals are queued, or if it is
// unclear whether the entry will be committed. After status 503 the caller may propose the entry again, so the machine has
// to recognize an entry that it has already applied.
func (r *Replica) Propose(token uint64, data []byte, now time.Duration) {
	r.now = now
	l := &r.leadership
	// A primary that campaigns for its next view keeps its leadership, and queues proposals until the view is in force.
	campaignsAsPrimary := r.role == candidate && l.statuses != nil
	if r.role != primary && !campaignsAsPrimary || len(l.proposals) >= maxProposals {
		r.answer(token, unavailable(reasonNotPrimary))
		return
	}
	l.proposals = append(l.proposals, proposal{token: token, data: data})
	r.stageNextProposal()
}

// stageNextProposal takes proposals from the queue until the machine accepts one, and stages that proposal. A rejected
// proposal is answered once a majority confirms that this replica is still the primary. The machine decides on the next
// proposal only when the staged entry is committed.
func (r *Replica) stageNextProposal() {
	l := &r.leadership
	for r.role == primary && l.staged.proposal == nil && len(l.proposals) > 0 {
		p := l.proposals[0]
		l.proposals = l.proposals[1:]
		d := r.state.machine.Decide(p.data)
		if !d.Accept {
			r.confirmThenAnswer(p.token, d)
			continue
		}
		r.stage(p)
	}
}

// stage applies an entry at the primary and sends it to the in-sync set.
func (r *Replica) stage(p proposal) {
	l := &r.leadership
	l.staged = stagedEntry{proposal: &p, stagedAt: r.now, acks: map[string]bool{}}
	entry := Entry{Position: Position{Epoch: l.view.Epoch, Sequence: r.state.position.Sequence + 1}, Data: p.data}
	r.state.apply(entry)
	epoch, sequence := entry.Position.Epoch, entry.Position.Sequence
	r.saveEntry(&entry, func() {
		r.handleReplicated(Replicated{Epoch: epoch, From: r.Self.ID, Sequence: sequence})
	})
	for _, id := range l.view.InSync {
		if m := l.view.Member(id); m != nil && id != r.Self.ID {
			r.send(m.Address, Replicate{Epoch: epoch, Sequence: sequence, Entry: p.data})
		}
	}
}

// handleReplicate applies the primary's next entry, and acknowledges it once it is on the disk. An entry is dropped unless
// its epoch is both the promised and the accepted one: if this replica acknowledged an entry of an epoch that it has left,
// the entry could be committed and yet be missing from the next view. An entry whose sequence is not the next one is dropped too.
func (r *Replica) handleReplicate(m Replicate, from string) {
	if m.Epoch != r.hard.Promised || m.Epoch != r.hard.Accepted.Epoch || r.Diskless {
		return
	}
	if m.Sequence != r.state.position.Sequence+1 {
		return
	}
	entry := Entry{Position: Position{Epoch: m.Epoch, Sequence: m.Sequence}, Data: m.Entry}
	r.state.apply(entry)
	r.saveEntry(&entry, r.ifStillPromised(m.Epoch, func() {
		r.send(from, Replicated{Epoch: m.Epoch, From: r.Self.ID, Sequence: m.Sequence})
	}))
}

// handleReplicated records an acknowledgement, and commits the staged entry once the whole in-sync set has acknowledged it.
func (r *Replica) handleReplicated(m Replicated) {
	l := &r.leadership
	if r.role != primary || m.Epoch != l.view.Epoch || l.staged.proposal == nil || m.Sequence != r.state.position.Sequence {
		return
	}
	l.staged.acks[m.From] = true
	for _, id := range l.view.InSync {
		if !l.staged.acks[id] {
			return
		}
	}
	r.commitStaged()
}

// commitStaged commits the staged entry. It is called when all members of the in-sync set have the entry on
// their disks.
func (r *Replica) commitStaged() {
	l := &r.leadership
	token := l.staged.proposal.token
	l.staged.proposal = nil
	l.committed = r.state.position.Sequence
	r.publish()
	r.answer(token, Decision{Accept: true, Status: http.StatusOK})
	r.broadcastHeartbeat()
	r.catchUpAll()
	r.stageNextProposal()
}
