package replication

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
)

// fingerprint is a hash of a world's state. Two worlds with the same fingerprint are treated as equal: among n different
// states, the probability of a collision is about n² / 2^129.
type fingerprint [2]uint64

var fingerprintSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// fingerprint returns the smallest fingerprint among all renamings of the world (symmetry reduction): the behaviours of such
// worlds differ by names only.
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

// encode encodes a world's state with the names of a renaming. Two worlds with the same encoding behave alike from then on.
func (w *world) encode(renaming int) []byte {
	enc := &stateEncoder{bytes: make([]byte, 0, 4<<10)}
	if len(w.layout.renamings) > 0 {
		enc.names = w.layout.renamings[renaming]
	}
	enc.number(w.remaining.candidacies, w.remaining.writes, w.remaining.wipes, w.remaining.restarts, w.remaining.lateRequests)
	enc.texts(w.committed)
	for _, route := range enc.sortedRequests(w.inFlight) {
		enc.name(route.from)
		enc.name(route.to)
		enc.request(w.inFlight[route])
	}
	for _, l := range w.lateRequests {
		enc.name(l.from)
		enc.name(l.to)
		enc.request(l.message)
	}
	for _, address := range enc.sorted(sortedKeys(w.nodes)) {
		enc.bytes = append(enc.bytes, w.encodedNode(address, renaming, enc.names)...)
	}
	return enc.bytes
}

// encodedNode returns the encoded state of a machine. The encoding of a machine that other worlds share is cached.
func (w *world) encodedNode(address string, renaming int, names map[string]string) []byte {
	n := w.nodes[address]
	if n.encoded == nil || w.owned[address] && renaming == 0 {
		n.encoded = make([][]byte, max(1, len(w.layout.renamings)))
	}
	if n.encoded[renaming] == nil {
		nodeEncoder := &stateEncoder{bytes: make([]byte, 0, 1<<10), names: names}
		nodeEncoder.node(n)
		n.encoded[renaming] = nodeEncoder.bytes
	}
	return n.encoded[renaming]
}

// symmetryRenamings returns all renamings of groups of machines, the identity first. The machines of a group may differ by
// name only: each is alone in its zone, none may campaign, and all begin in the same state.
func symmetryRenamings(groups ...[]string) []map[string]string {
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

// stateEncoder encodes a state as values in a fixed order, each delimited, with other names for some machines.
type stateEncoder struct {
	bytes []byte
	names map[string]string // nil: no machine has another name
}

func (enc *stateEncoder) number(values ...int) {
	for _, v := range values {
		enc.bytes = binary.AppendVarint(enc.bytes, int64(v))
	}
}

func (enc *stateEncoder) flag(b bool) {
	if b {
		enc.number(1)
	} else {
		enc.number(0)
	}
}

func (enc *stateEncoder) text(s string) {
	enc.bytes = append(enc.bytes, s...)
	enc.bytes = append(enc.bytes, 0)
}

func (enc *stateEncoder) texts(list []string) {
	enc.number(len(list))
	for _, s := range list {
		enc.text(s)
	}
}

// renamed returns the name of a machine or disk in the encoding.
func (enc *stateEncoder) renamed(name string) string {
	if other, ok := enc.names[name]; ok {
		return other
	}
	return name
}

// name encodes the name of a machine or disk.
func (enc *stateEncoder) name(name string) { enc.text(enc.renamed(name)) }

// sorted sorts names by their names in the encoding.
func (enc *stateEncoder) sorted(names []string) []string {
	if len(enc.names) == 0 {
		return names
	}
	return slices.SortedFunc(slices.Values(names), func(a, b string) int { return strings.Compare(enc.renamed(a), enc.renamed(b)) })
}

// nameSet encodes a set of machines or disks.
func (enc *stateEncoder) nameSet(names []string) {
	enc.number(len(names))
	for _, name := range enc.sorted(names) {
		enc.name(name)
	}
}

func (enc *stateEncoder) sortedRequests(m map[requestRoute]Message) []requestRoute {
	return slices.SortedFunc(maps.Keys(m), func(a, b requestRoute) int {
		return strings.Compare(enc.renamed(a.from)+">"+enc.renamed(a.to), enc.renamed(b.from)+">"+enc.renamed(b.to))
	})
}

func (enc *stateEncoder) epoch(e Epoch) {
	enc.number(int(e.Round))
	enc.name(e.Node)
}

func (enc *stateEncoder) position(p Position) {
	enc.epoch(p.Epoch)
	enc.number(int(p.Sequence))
}

// members encodes the members of a view. The order of members affects only whether two member lists are equal, and each list
// is made from the previous one by replacements in place. With renamings, the members are therefore encoded as a set.
func (enc *stateEncoder) members(list []Member) {
	var ids []string
	for _, m := range list {
		ids = append(ids, m.ID)
	}
	if len(enc.names) > 0 {
		enc.nameSet(ids)
		return
	}
	enc.texts(ids)
}

func (enc *stateEncoder) view(v View) {
	enc.epoch(v.Epoch)
	enc.nameSet(v.InSync)
	enc.members(v.Members)
	enc.members(v.Old)
}

func (enc *stateEncoder) request(m Message) {
	switch m := m.(type) {
	case Prepare:
		enc.number(1)
		enc.epoch(m.Epoch)
	case Sync:
		enc.number(2, len(m.Entries), len(m.Snapshot))
		enc.epoch(m.Epoch)
		enc.position(m.Position)
		enc.position(m.After)
	case Accept:
		enc.number(3)
		enc.view(m.View)
	case Replicate:
		enc.number(4, int(m.Sequence))
		enc.epoch(m.Epoch)
		enc.text(string(m.Entry))
	case Heartbeat:
		enc.number(5, int(m.Committed))
		enc.epoch(m.Epoch)
		enc.flag(m.View != nil)
	}
}

func (enc *stateEncoder) node(n *exploredNode) {
	r := n.replica
	enc.name(r.Self.ID)
	enc.number(int(r.role))
	enc.epoch(r.hard.Promised)
	enc.view(r.hard.Accepted)
	enc.view(r.knownView)
	enc.position(r.state.position)
	enc.position(r.state.published)
	enc.position(r.state.history.base)
	enc.texts(n.log.entries)
	if r.role == candidate {
		enc.election(&r.election)
	}
	if r.role != follower {
		enc.leadership(&r.leadership)
	}
}

func (enc *stateEncoder) election(e *election) {
	enc.epoch(e.epoch)
	enc.number(int(e.phase))
	enc.nameSet(sortedKeys(e.prepare.votes))
	enc.view(e.newestView)
	enc.nameSet(sortedKeys(e.sync.synced))
	enc.nameSet(sortedKeys(e.sync.requested))
	enc.nameSet(sortedKeys(e.accept.votes))
	for _, address := range enc.sorted(sortedKeys(e.prepare.promises)) {
		enc.name(address)
		enc.position(e.prepare.promises[address].Position)
	}
	if e.phase == accepting {
		enc.view(e.accept.view)
	}
}

func (enc *stateEncoder) leadership(l *leadership) {
	enc.epoch(l.view.Epoch)
	enc.flag(l.staged.proposal != nil)
	enc.number(int(l.committed), len(l.proposals))
	enc.nameSet(sortedKeys(l.staged.acks))
	for _, id := range enc.sorted(sortedKeys(l.statuses)) {
		status := l.statuses[id]
		enc.name(id)
		enc.epoch(status.knownEpoch)
		enc.position(status.durablePosition)
		enc.flag(status.hasDisk)
		enc.flag(status.lastContact == 0)
	}
}
