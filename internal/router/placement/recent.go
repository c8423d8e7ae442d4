package placement

import (
	"hash/fnv"
	"time"
)

const (
	recentKeys    = 1 << 16 // parts that are remembered
	recentServers = 3       // where each was read last
)

// PrefixHash names a shared part between sidecars.
type PrefixHash uint32

// HashPrefix is the name of a part.
func HashPrefix(key string) PrefixHash {
	h := fnv.New32a()
	h.Write([]byte(key))
	return PrefixHash(h.Sum32())
}

// recent is where shared parts were read lately, by this sidecar and by those that told it. It grows with the parts in use,
// up to recentKeys.
type recent struct {
	again time.Duration // for which a part counts as kept after its last use
	uses  map[PrefixHash][]use
}

type use struct {
	server string
	at     time.Duration
}

// note remembers a use; the newest stands first.
func (r *recent) note(key PrefixHash, server string, at time.Duration) {
	if r.again == 0 {
		return
	}
	list := r.uses[key]
	if len(list) == 0 && len(r.uses) >= recentKeys {
		r.forget(at)
	}
	next := append(make([]use, 0, recentServers), use{server, at})
	for _, one := range list {
		if one.server != server && at-one.at < r.again && len(next) < recentServers {
			next = append(next, one)
		}
	}
	r.uses[key] = next
}

// forget drops what is old, or all where everything is new.
func (r *recent) forget(now time.Duration) {
	for key, list := range r.uses {
		if now-list[0].at >= r.again {
			delete(r.uses, key)
		}
	}
	if len(r.uses) >= recentKeys {
		clear(r.uses)
	}
}

// kept are the servers that read a part lately.
func (r *recent) kept(key PrefixHash, now time.Duration) []use {
	list := r.uses[key]
	for i, one := range list {
		if now-one.at >= r.again {
			return list[:i]
		}
	}
	return list
}
