package placement

import "iter"

// PrefixUses is a message that says where shared prefixes of one service were read: Keys[i] at Servers[At[i]]. A router
// sends what it placed to its home, which sends it on to the others; receivers add it to their prefix tables.
type PrefixUses struct {
	Service string
	Servers []string
	Keys    []uint32
	At      []uint16
}

// maxUses bounds what is collected for a message; further uses are left out.
const maxUses = 4096

// Add adds a use: that a server was sent a prefix. Beyond maxUses it is left out.
func (u *PrefixUses) Add(key PrefixHash, server string) {
	if len(u.Keys) >= maxUses {
		return
	}
	at := -1
	for i, id := range u.Servers {
		if id == server {
			at = i
			break
		}
	}
	if at < 0 {
		at = len(u.Servers)
		u.Servers = append(u.Servers, server)
	}
	u.Keys = append(u.Keys, uint32(key))
	u.At = append(u.At, uint16(at))
}

// All iterates over the uses; keys without a server are left out.
func (u *PrefixUses) All() iter.Seq2[PrefixHash, string] {
	return func(yield func(PrefixHash, string) bool) {
		for i, key := range u.Keys {
			if i < len(u.At) && int(u.At[i]) < len(u.Servers) && !yield(PrefixHash(key), u.Servers[u.At[i]]) {
				return
			}
		}
	}
}

// Merge adds the uses of another message of the same service.
func (u *PrefixUses) Merge(other PrefixUses) {
	for key, server := range other.All() {
		u.Add(key, server)
	}
}
