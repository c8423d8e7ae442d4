package replication

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
)

// fingerprint is a hash of a world's state. Two worlds with one fingerprint are taken for one: of n states, two that
// differ have the same one with a probability of about n² / 2^129.
type fingerprint [2]uint64

var fingerprintSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// fingerprint returns the smallest fingerprint of the world and of those that it becomes by the renamings of its layout:
// what such worlds do differs by names only.
func (w *world) fingerprint() (least fingerprint) {
	for i := range max(1, len(w.layout.renamings)) {
		encoded := w.encode(i)
		f := fingerprint{maphash.Bytes(fingerprintSeeds[0], encoded), maphash.Bytes(fingerprintSeeds[1], encoded)}
		if i == 0 || f[0] < least[0] || f[0] == least[0] && f[1] < least[1] {
			least = f
		}
	}
	return least
}

// encode encodes a world's state with the names of a renaming: two worlds with one encoding behave alike from there.
func (w *world) encode(renaming int) []byte {
	k := &keyText{bytes: make([]byte, 0, 4<<10)}
	if len(w.layout.renamings) > 0 {
		k.names = w.layout.renamings[renaming]
	}
	k.number(w.remaining.candidacies, w.remaining.writes, w.remaining.wipes, w.remaining.restarts, w.remaining.lateRequests)
	k.texts(w.committed)
	for _, to := range k.sortedRequests(w.inFlight) {
		k.name(to.from)
		k.name(to.to)
		k.request(w.inFlight[to])
	}
	for _, l := range w.lateRequests {
		k.name(l.from)
		k.name(l.to)
		k.request(l.message)
	}
	for _, address := range k.sorted(sortedKeys(w.nodes)) {
		k.bytes = append(k.bytes, w.encodedNode(address, renaming, k.names)...)
	}
	return k.bytes
}

// encodedNode returns the encoded state of a machine. It is kept with a machine that other worlds share.
func (w *world) encodedNode(address string, renaming int, names map[string]string) []byte {
	n := w.nodes[address]
	if n.key == nil || w.owned[address] && renaming == 0 {
		n.key = make([][]byte, max(1, len(w.layout.renamings)))
	}
	if n.key[renaming] == nil {
		own := &keyText{bytes: make([]byte, 0, 1<<10), names: names}
		own.node(n)
		n.key[renaming] = own.bytes
	}
	return n.key[renaming]
}

// alike returns all renamings of groups of machines, the identity first. The machines of a group may differ by name only:
// in their zones nobody else is, they may not campaign, and they begin alike.
func alike(groups ...[]string) []map[string]string {
	all := []map[string]string{{}}
	for _, group := range groups {
		var extended []map[string]string
		for _, renaming := range all {
			for _, order := range permutations(group) {
				next := maps.Clone(renaming)
				for i, name := range group {
					next[name], next[name+"'"] = order[i], order[i]+"'" // the machine, and its disk after a loss
				}
				extended = append(extended, next)
			}
		}
		all = extended
	}
	return all
}

// permutations returns all orders of some names, the given one first.
func permutations(names []string) (all [][]string) {
	if len(names) == 0 {
		return [][]string{nil}
	}
	for i, first := range names {
		rest := slices.Concat(names[:i], names[i+1:])
		for _, order := range permutations(rest) {
			all = append(all, append([]string{first}, order...))
		}
	}
	return all
}

// keyText is an encoded state: values in a fixed order, each delimited, with other names for some machines.
type keyText struct {
	bytes []byte
	names map[string]string // nil: no machine has another name
}

func (k *keyText) number(values ...int) {
	for _, v := range values {
		k.bytes = binary.AppendVarint(k.bytes, int64(v))
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
	k.bytes = append(k.bytes, s...)
	k.bytes = append(k.bytes, 0)
}

func (k *keyText) texts(list []string) {
	k.number(len(list))
	for _, s := range list {
		k.text(s)
	}
}

// renamed returns the name that a machine or disk has in the encoding.
func (k *keyText) renamed(name string) string {
	if other, ok := k.names[name]; ok {
		return other
	}
	return name
}

// name encodes the name of a machine or disk.
func (k *keyText) name(name string) { k.text(k.renamed(name)) }

// sorted orders names by those that they have in the encoding.
func (k *keyText) sorted(names []string) []string {
	if len(k.names) == 0 {
		return names
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int { return strings.Compare(k.renamed(a), k.renamed(b)) })
}

// nameSet encodes a set of machines or disks.
func (k *keyText) nameSet(names []string) {
	k.number(len(names))
	for _, name := range k.sorted(names) {
		k.name(name)
	}
}

func (k *keyText) sortedRequests(m map[requestRoute]Message) []requestRoute {
	return slices.SortedFunc(maps.Keys(m), func(a, b requestRoute) int {
		return strings.Compare(k.renamed(a.from)+">"+k.renamed(a.to), k.renamed(b.from)+">"+k.renamed(b.to))
	})
}

func (k *keyText) epoch(e Epoch) {
	k.number(int(e.Round))
	k.name(e.Node)
}

func (k *keyText) position(p Position) {
	k.epoch(p.Epoch)
	k.number(int(p.Sequence))
}

// members encodes the members of a view. Their order shows nowhere but in whether two sets are equal, and a set is made from
// the one before by replacements in place: where machines are alike it is a set.
func (k *keyText) members(list []Member) {
	var ids []string
	for _, m := range list {
		ids = append(ids, m.ID)
	}
	if len(k.names) > 0 {
		k.nameSet(ids)
		return
	}
	k.texts(ids)
}

func (k *keyText) view(v View) {
	k.epoch(v.Epoch)
	k.nameSet(v.InSync)
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
	k.name(r.Self.ID)
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
	k.nameSet(sortedKeys(e.prepare.votes))
	k.view(e.newestView)
	k.nameSet(sortedKeys(e.sync.synced))
	k.nameSet(sortedKeys(e.sync.requested))
	k.nameSet(sortedKeys(e.accept.votes))
	for _, address := range k.sorted(sortedKeys(e.prepare.promises)) {
		k.name(address)
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
	k.nameSet(sortedKeys(l.staged.acks))
	for _, id := range k.sorted(sortedKeys(l.statuses)) {
		a := l.statuses[id]
		k.name(id)
		k.epoch(a.knownEpoch)
		k.position(a.durablePosition)
		k.flag(a.hasDisk)
		k.flag(a.lastContact == 0)
	}
}
