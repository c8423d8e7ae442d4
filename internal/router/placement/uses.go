package placement

import "iter"

// PrefixUses says where shared parts of one service were read: part Keys[i] at Servers[At[i]].
type PrefixUses struct {
	Service string
	Servers []string
	Keys    []uint32
	At      []uint16
}

// maxUses bounds what is kept for telling; what comes beyond it is left out.
const maxUses = 4096

// Add adds a use, as long as there is room.
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

// All lists the uses.
func (u *PrefixUses) All() iter.Seq2[PrefixHash, string] {
	return func(yield func(PrefixHash, string) bool) {
		for i, key := range u.Keys {
			if i < len(u.At) && int(u.At[i]) < len(u.Servers) && !yield(PrefixHash(key), u.Servers[u.At[i]]) {
				return
			}
		}
	}
}

// Merge adds what another says of the same service.
func (u *PrefixUses) Merge(other PrefixUses) {
	for key, server := range other.All() {
		u.Add(key, server)
	}
}
