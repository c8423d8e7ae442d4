package registry

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

// endedRetention is for how long an instance that requests may not go to any more is remembered after its last change, so that
// all that follow this registry hear of its end.
const endedRetention = 2 * time.Minute

// spareChanges is how many changes that others have followed are kept beside two for each entry.
const spareChanges = 64

// change is one change of an entry.
type change struct {
	stamp uint64
	entry *Entry
}

// isLatest reports whether the entry has not changed since, and is still there.
func (c change) isLatest() bool { return c.entry.Stamp == c.stamp }

// recordChange notes that an entry is another than before.
func (g *Registry) recordChange(e *Entry, now time.Duration) {
	g.stamp++
	e.Stamp, e.lastChange = g.stamp, now
	digest := e.digest()
	g.digest ^= e.digestPart ^ digest
	e.digestPart = digest
	g.changes = append(g.changes, change{g.stamp, e})
	if len(g.changes) > 2*len(g.entries)+spareChanges {
		g.changes = slices.DeleteFunc(g.changes, func(c change) bool { return !c.isLatest() })
	}
}

// digest is what an entry adds to the registry's digest: 0 where requests may not go there.
func (e *Entry) digest() uint64 {
	if !e.Usable() {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(e.ID + "\n" + e.Service + "\n" + e.Address))
	return h.Sum64()
}

// Digest is the same for registries that list the same usable instances, whatever the order in which they heard of them.
func (g *Registry) Digest() uint64 { return g.digest }

// ChangedSince lists the entries that changed after a stamp, in the order of their changes. It takes as long as there are changes since,
// for it is asked for every subscriber at every push.
func (g *Registry) ChangedSince(stamp uint64) []*Entry {
	first := sort.Search(len(g.changes), func(i int) bool { return g.changes[i].stamp > stamp })
	var out []*Entry
	for _, c := range g.changes[first:] {
		if c.isLatest() {
			out = append(out, c.entry)
		}
	}
	return out
}

// UpdatesSince is Changed in the form in which others are told.
func (g *Registry) UpdatesSince(stamp uint64, now time.Duration) []Update {
	var out []Update
	for _, e := range g.ChangedSince(stamp) {
		out = append(out, Update{Instance: e.Instance, Lost: e.Lost, Age: now - e.LastContact})
	}
	return out
}

// Replace takes in the whole list of a home: what is not in it is lost.
func (g *Registry) Replace(list []Update, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Instance.ID] = true
		g.Adopt(u, now)
	}
	for id, e := range g.entries {
		if !listed[id] && e.Usable() {
			e.Lost = true
			g.recordChange(e, now)
		}
	}
}

// Forget drops instances that ended long ago, up to a stamp that the sidecar's own data plane has followed.
func (g *Registry) Forget(followed uint64, now time.Duration) {
	for id, e := range g.entries {
		if e.Usable() || e.Stamp > followed || now-e.lastChange <= endedRetention {
			continue
		}
		delete(g.entries, id)
		e.Stamp = 0 // its changes are told no more
		g.detachAddress(e)
	}
}
