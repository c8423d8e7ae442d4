package replication

import (
	"crypto/sha256"
	"encoding/binary"
)

// key is a hash of a world's state: two worlds with one key behave alike from there.
func (w *world) key() [sha256.Size]byte {
	k := make(keyText, 0, 4<<10)
	k.number(w.remaining.candidacies, w.remaining.writes, w.remaining.wipes, w.remaining.restarts, w.remaining.lateAccepts)
	k.texts(w.committed)
	for _, to := range sortedRequests(w.inFlight) {
		k.text(to.from)
		k.text(to.to)
		k.request(w.inFlight[to])
	}
	for _, l := range w.lateAccepts {
		k.text(l.from)
		k.text(l.to)
		k.epoch(l.message.View.Epoch)
	}
	for _, address := range sortedKeys(w.nodes) {
		n := w.nodes[address]
		if n.key == nil || w.owned[address] {
			own := make(keyText, 0, 1<<10)
			own.node(n)
			n.key = own
		}
		k = append(k, n.key...)
	}
	return sha256.Sum256(k)
}

// keyText is an encoded state: values in a fixed order, each delimited.
type keyText []byte

func (k *keyText) number(values ...int) {
	for _, v := range values {
		*k = binary.AppendVarint(*k, int64(v))
	}
}

func (k *keyText) flag(b bool) {
	if b {
		k.number(1)
	} else {
		k.number(0)
	}
}

func (k *keyText) text(s string) {
	*k = append(*k, s...)
	*k = append(*k, 0)
}

func (k *keyText) texts(list []string) {
	k.number(len(list))
	for _, s := range list {
		k.text(s)
	}
}

func (k *keyText) epoch(e Epoch) {
	k.number(int(e.Round))
	k.text(e.Node)
}

func (k *keyText) position(p Position) {
	k.epoch(p.Epoch)
	k.number(int(p.Sequence))
}

func (k *keyText) members(list []Member) {
	k.number(len(list))
	for _, m := range list {
		k.text(m.ID)
	}
}

func (k *keyText) view(v View) {
	k.epoch(v.Epoch)
	k.texts(v.InSync)
	k.members(v.Members)
	k.members(v.Old)
}

func (k *keyText) request(m Message) {
	switch m := m.(type) {
	case Prepare:
		k.number(1)
		k.epoch(m.Epoch)
	case Sync:
		k.number(2, len(m.Entries), len(m.Snapshot))
		k.epoch(m.Epoch)
		k.position(m.Position)
		k.position(m.After)
	case Accept:
		k.number(3)
		k.view(m.View)
	case Replicate:
		k.number(4, int(m.Sequence))
		k.epoch(m.Epoch)
		k.text(string(m.Entry))
	case Heartbeat:
		k.number(5, int(m.Committed))
		k.epoch(m.Epoch)
		k.flag(m.View != nil)
	}
}

func (k *keyText) node(n *exploredNode) {
	r := n.replica
	k.text(r.Self.ID)
	k.number(int(r.role))
	k.epoch(r.hard.Promised)
	k.view(r.hard.Accepted)
	k.view(r.knownView)
	k.position(r.state.position)
	k.position(r.state.published)
	k.position(r.state.history.base)
	k.texts(n.log.entries)
	if r.role == candidate {
		k.election(&r.election)
	}
	if r.role != follower {
		k.leadership(&r.leadership)
	}
}

func (k *keyText) election(e *election) {
	k.epoch(e.epoch)
	k.number(int(e.phase))
	k.texts(sortedKeys(e.prepare.votes))
	k.view(e.newestView)
	k.texts(sortedKeys(e.sync.synced))
	k.texts(sortedKeys(e.sync.requested))
	k.texts(sortedKeys(e.accept.votes))
	for _, address := range sortedKeys(e.prepare.promises) {
		k.text(address)
		k.position(e.prepare.promises[address].Position)
	}
	if e.phase == accepting {
		k.view(e.accept.view)
	}
}

func (k *keyText) leadership(l *leadership) {
	k.epoch(l.view.Epoch)
	k.flag(l.staged.proposal != nil)
	k.number(int(l.committed), len(l.proposals))
	k.texts(sortedKeys(l.staged.acks))
	for _, id := range sortedKeys(l.statuses) {
		a := l.statuses[id]
		k.text(id)
		k.epoch(a.knownEpoch)
		k.position(a.durablePosition)
		k.flag(a.hasDisk)
		k.flag(a.lastContact == 0)
	}
}
