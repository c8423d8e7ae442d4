package placement

import (
	"hash/fnv"
	"time"
)

const (
	maxPrefixes      = 1 << 16 // that are remembered
	serversPerPrefix = 3       // those that read it last
)

// PrefixHash identifies a shared prefix in messages between routers.
type PrefixHash uint32

// HashPrefix returns the hash of a prefix' key. Two keys may have the same: a request is then sent to a server without
// its prefix.
func HashPrefix(key string) PrefixHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash returns no error
	return PrefixHash(h.Sum32())
}

// prefixTable says which servers read which shared prefix recently, for this router and for those that reported it. It
// grows with the prefixes in use, up to maxPrefixes.
type prefixTable struct {
	ttl  time.Duration // how long a prefix counts as cached after its last use; 0: the table is not in use
	uses map[PrefixHash][]prefixUse
}

// prefixUse is that a server was sent a prompt with a prefix.
type prefixUse struct {
	server string
	at     time.Duration
}

// record adds a use; a prefix' newest use comes first.
func (t *prefixTable) record(key PrefixHash, server string, at time.Duration) {
	if t.ttl == 0 {
		return
	}
	uses := t.uses[key]
	if len(uses) == 0 && len(t.uses) >= maxPrefixes {
		t.evict(at)
	}
	next := append(make([]prefixUse, 0, serversPerPrefix), prefixUse{server, at})
	for _, use := range uses {
		if use.server != server && at-use.at < t.ttl && len(next) < serversPerPrefix {
			next = append(next, use)
		}
	}
	t.uses[key] = next
}

// evict removes the prefixes that expired, or all where none did.
func (t *prefixTable) evict(now time.Duration) {
	for key, uses := range t.uses {
		if now-uses[0].at >= t.ttl {
			delete(t.uses, key)
		}
	}
	if len(t.uses) >= maxPrefixes {
		clear(t.uses)
	}
}

// servers are the uses of a prefix that have not expired.
func (t *prefixTable) servers(key PrefixHash, now time.Duration) []prefixUse {
	uses := t.uses[key]
	for i, use := range uses {
		if now-use.at >= t.ttl {
			return uses[:i]
		}
	}
	return uses
}
