package replication

import "time"

// Heartbeats: they tell everybody who is primary and what is committed, and the primary who hears it and what is on whose disk.

// memberAck is what a replica said in its last answer to a heartbeat.
type memberAck struct {
	member   Member
	beat     uint64
	at       time.Duration // when it came
	fails    bool          // its disk
	known    Epoch
	disk     bool
	position Position // of what is on the disk
	leaving  bool
}

// heartbeat tells everybody who is primary.
func (r *Replica) heartbeat() {
	l := &r.leading
	l.beat++
	l.lastBeat = r.now
	l.acked[r.Self.ID] = memberAck{member: r.Self, beat: l.beat, at: r.now, known: l.view.Epoch, disk: true, position: r.position}
	knows := map[string]bool{} // by address
	for _, to := range r.candidates {
		knows[to.Address] = knows[to.Address] || l.acked[to.ID].known == l.view.Epoch
	}
	for _, to := range l.view.Members {
		knows[to.Address] = l.acked[to.ID].known == l.view.Epoch
	}
	view := l.view
	for _, address := range sortedKeys(knows) {
		m := Heartbeat{Epoch: l.view.Epoch, Number: l.beat, Committed: l.committed}
		if !knows[address] {
			m.View = &view
		}
		r.send(address, m)
	}
}

func (r *Replica) onHeartbeat(m Heartbeat, from string) {
	ack := HeartbeatAck{Epoch: m.Epoch, Number: m.Number, From: r.Self, Promised: r.hard.Promised, KnownEpoch: r.known.Epoch, DiskFails: r.stalled(),
		HasDisk: !r.Witness, Position: r.durable, Leaving: r.leaving}
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
	ack.KnownEpoch = r.known.Epoch
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
	r.AddEligible(m.From)
	a := l.acked[m.From.ID]
	l.acked[m.From.ID] = memberAck{member: m.From, beat: max(a.beat, m.Number), at: r.now, fails: m.DiskFails, known: m.KnownEpoch,
		disk: m.HasDisk, position: m.Position, leaving: m.Leaving}
	r.checkConfirms()
	r.teach(m.From.ID)
}

func (r *Replica) majorityReachable() bool {
	votes := map[string]bool{}
	for id, a := range r.leading.acked {
		votes[id] = id == r.Self.ID || r.now-a.at < suspectAfter
	}
	return majority(r.leading.view.Members, votes)
}
