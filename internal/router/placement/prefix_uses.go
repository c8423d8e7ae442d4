package placement

import "iter"

// PrefixUses is the message that reports to which servers of one service shared prefixes were sent: Keys[i] to
// Servers[At[i]]. A router sends the uses of its own requests to its home, which forwards them to the other routers;
// receivers add them to their prefix tables.
type PrefixUses struct {
	Service string
	Servers []string
	Keys    []uint32
	At      []uint16
}

// maxPrefixUses bounds the number of uses in one message.
const maxPrefixUses = 4096

// Add adds a use: a prompt with this prefix was sent to a server. If the message already has maxPrefixUses uses, Add
// drops the new one.
func (u *PrefixUses) Add(key PrefixHash, server string) {
	if len(u.Keys) >= maxPrefixUses {
		return
	}
	index := -1
	for i, id := range u.Servers {
		if id == server {
			index = i
			break
		}
	}
	if index < 0 {
		index = len(u.Servers)
		u.Servers = append(u.Servers, server)
	}
	u.Keys = append(u.Keys, uint32(key))
	u.At = append(u.At, uint16(index))
}

// All iterates over the uses. It skips keys without a server.
func (u *PrefixUses) All() iter.Seq2[PrefixHash, string] {
	return func(yield func(PrefixHash, string) bool) {
		for i, key := range u.Keys {
			if i < len(u.At) && int(u.At[i]) < len(u.Servers) && !yield(PrefixHash(key), u.Servers[u.At[i]]) {
				return
			}
		}
	}
}

// Merge adds the uses of another message for the same service.
func (u *PrefixUses) Merge(other PrefixUses) {
	for key, server := range other.All() {
		u.Add(key, server)
	}
}
