package placement

import (
	"hash/fnv"
	"time"
)

const (
	maxPrefixes      = 1 << 16 // prefixes in a table
	serversPerPrefix = 3       // servers per prefix: those to which it was sent last
)

// PrefixHash identifies a shared prefix in messages between routers.
type PrefixHash uint32

// HashPrefix returns the hash of a prefix's key. If two keys collide, a request may be sent to a server that does not
// have its prefix cached.
func HashPrefix(key string) PrefixHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // Write of a hash never returns an error
	return PrefixHash(h.Sum32())
}

// prefixTable records to which servers each shared prefix was sent recently, by this router and by the routers that
// reported it. Its size grows with the number of prefixes in use, up to maxPrefixes.
type prefixTable struct {
	ttl  time.Duration // how long a prefix counts as cached after its last use; 0 disables the table
	uses map[PrefixHash][]prefixUse
}

// prefixUse records that a prompt with a given prefix was sent to a server.
type prefixUse struct {
	server string
	at     time.Duration
}

// record adds a use. The uses of a prefix are kept in the order newest first, one per server.
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

// evict removes the prefixes that have expired. If the table is still full, it removes all prefixes.
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

// servers returns the uses of a prefix that have not expired, newest first.
func (t *prefixTable) servers(key PrefixHash, now time.Duration) []prefixUse {
	uses := t.uses[key]
	for i, use := range uses {
		if now-use.at >= t.ttl {
			return uses[:i]
		}
	}
	return uses
}
