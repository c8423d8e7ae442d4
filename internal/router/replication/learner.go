package replication

import (
	"slices"
	"time"
)

// Catching up. A replica with a disk that is outside the in-sync set is a learner: the primary brings it a snapshot in pieces and then the
// entries after it, beside the orders that it takes. Only when it has nearly all is a view proposed that has it in the in-sync set; the few
// entries that it lacks by then are sent within the candidacy.

const (
	pieceBytes    = 32 << 10
	batchEntries  = 64
	batchBytes    = pieceBytes
	teachAgain    = 300 * time.Millisecond // after which what was not answered is sent again
	maxTransfers  = 2                      // snapshots under way at a time
	transferLimit = 2 * time.Second        // of silence, after which another learner has its turn
	learnerLag    = 8                      // entries that a learner may lack when a view takes it in
	maxSnapshot   = 64 << 20
	savesOneByOne = 2 // entries; more are saved as a snapshot
)

// transfer is a snapshot on its way to a learner.
type transfer struct {
	position Position
	data     []byte
	received int
	heard    time.Duration
}

// teaching is what a primary knows of a learner.
type teaching struct {
	transfer *transfer
	sent     time.Duration // when something was sent that was not answered
	waits    bool
}

// incoming is a snapshot that a learner is receiving.
type incoming struct {
	position Position
	data     []byte
}

// caughtUp reports whether a replica is heard, can write, and has all but a few entries on its disk.
func (r *Replica) caughtUp(id string) bool {
	a, ok := r.leading.acked[id]
	if !ok || !a.disk || a.fails || a.leaving || r.now-a.at >= reachable {
		return false
	}
	missing, ok := r.history.after(a.position)
	return a.position == r.position || ok && len(missing) <= learnerLag
}

// teach sends a learner the next of what it lacks. Only committed entries are sent: nothing is while one is staged.
func (r *Replica) teach(id string) {
	l := &r.leading
	a, ok := l.acked[id]
	if r.role != primary || l.staged != nil || !ok || !a.disk || a.fails || l.view.inSync(id) || a.known != l.view.Epoch {
		return
	}
	if a.position == r.position {
		delete(l.teaching, id)
		return
	}
	t := l.teaching[id]
	if t == nil {
		t = &teaching{}
		l.teaching[id] = t
	}
	if t.waits && r.now-t.sent < teachAgain {
		return
	}
	missing, ok := r.history.after(a.position)
	if batch := firstBatch(missing); ok && len(batch) > 0 {
		t.transfer = nil
		r.sendEntries(a, t, batch)
		return
	}
	r.sendPiece(a, t)
}

// firstBatch is as many entries as go in one message; none where the first is too large: a snapshot goes in pieces, between which the
// link carries orders.
func firstBatch(entries []Entry) []Entry {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Data)
		if i == batchEntries || bytes > batchBytes {
			return entries[:i]
		}
	}
	return entries
}

func (r *Replica) sendEntries(a memberAck, t *teaching, batch []Entry) {
	t.sent, t.waits = r.now, true
	r.send(a.member.Address, MissingEntries{Epoch: r.leading.view.Epoch, After: a.position, Entries: slices.Clone(batch)})
}

func (r *Replica) sendPiece(a memberAck, t *teaching) {
	if t.transfer != nil && t.transfer.position == a.position { // it has all of it, and what followed is forgotten
		t.transfer = nil
	}
	if t.transfer == nil {
		if r.transfers() >= maxTransfers {
			return
		}
		t.transfer = &transfer{position: r.position, data: r.machine.Snapshot(), heard: r.now}
	}
	s := t.transfer
	end := min(len(s.data), s.received+pieceBytes)
	t.sent, t.waits = r.now, true
	r.send(a.member.Address, SnapshotChunk{Epoch: r.leading.view.Epoch, Position: s.position, Size: len(s.data),
		Offset: s.received, Data: s.data[s.received:end]})
}

// transfers are the snapshots whose learners answer.
func (r *Replica) transfers() int {
	n := 0
	for _, t := range r.leading.teaching {
		if t.transfer != nil && r.now-t.transfer.heard < transferLimit {
			n++
		}
	}
	return n
}

// teachAll sends all learners what they lack.
func (r *Replica) teachAll() {
	for _, id := range sortedKeys(r.leading.teaching) {
		r.teach(id)
	}
}

func (r *Replica) onLearnerAck(m LearnerAck) {
	l := &r.leading
	if r.role != primary || m.Epoch != l.view.Epoch {
		return
	}
	t, a := l.teaching[m.From.ID], l.acked[m.From.ID]
	if t == nil {
		return
	}
	t.waits = false
	a.position = m.Position
	l.acked[m.From.ID] = a
	if s := t.transfer; s != nil && s.position == m.Transfer {
		s.received, s.heard = min(max(0, m.Received), len(s.data)), r.now
	}
	r.teach(m.From.ID)
}

// learns reports whether this replica takes what a primary of an epoch teaches: it follows that epoch, whose view is in force without
// it in the in-sync set, so nothing that was acknowledged rests on what it has.
func (r *Replica) learns(epoch Epoch) bool {
	follows := r.role == follower && !r.Witness && r.hard.Promised == epoch && r.hard.Accepted.Epoch == epoch && r.known.Epoch == epoch
	return follows && !r.hard.Accepted.joint() && !r.known.inSync(r.Self.ID)
}

func (r *Replica) onSnapshotPiece(m SnapshotChunk, from string) {
	if !r.learns(m.Epoch) || m.Size > maxSnapshot || m.Offset+len(m.Data) > m.Size {
		return
	}
	if m.Offset == 0 || r.incoming.position != m.Position {
		r.incoming = incoming{position: m.Position}
	}
	if m.Offset == len(r.incoming.data) {
		r.incoming.data = append(r.incoming.data, m.Data...)
	}
	if len(r.incoming.data) < m.Size {
		r.acknowledgeLesson(m.Epoch, from)
		return
	}
	data := r.incoming.data
	r.incoming = incoming{}
	if r.machine.Restore(data) != nil {
		return
	}
	r.position = m.Position
	r.history.restart(m.Position)
	r.save(nil, true, func() { r.acknowledgeLesson(m.Epoch, from) })
}

func (r *Replica) onMissingEntries(m MissingEntries, from string) {
	if !r.learns(m.Epoch) || r.position != m.After {
		return
	}
	r.applyEntries(m.Entries, func() { r.acknowledgeLesson(m.Epoch, from) })
}

// applyEntries applies entries that follow the machine's state, and does something once they are on the disk.
func (r *Replica) applyEntries(entries []Entry, then func()) {
	if len(entries) > savesOneByOne {
		for _, e := range entries {
			r.apply(e)
		}
		r.save(nil, true, then)
		return
	}
	for i := range entries {
		r.apply(entries[i])
		saved := func() {}
		if i == len(entries)-1 {
			saved = then
		}
		r.save(&entries[i], false, saved)
	}
}

func (r *Replica) acknowledgeLesson(epoch Epoch, to string) {
	if r.hard.Promised != epoch {
		return
	}
	r.send(to, LearnerAck{Epoch: epoch, From: r.Self, Position: r.durable, Transfer: r.incoming.position, Received: len(r.incoming.data)})
}
