package registry

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

// endedRetention is how long an instance that requests may not go to any more is remembered after its last change, so
// that all subscribers of this registry learn of its end.
const endedRetention = 2 * time.Minute

// spareChanges is how many superseded changes are kept besides two changes for each entry, before they are removed in
// one go.
const spareChanges = 64

// change is one change of an entry.
type change struct {
	stamp uint64
	entry *Entry
}

// isLatest reports whether the entry has not changed since, and was not dropped.
func (c change) isLatest() bool { return c.entry.Stamp == c.stamp }

// recordChange gives an entry that has changed the next stamp.
func (g *Registry) recordChange(entry *Entry, now time.Duration) {
	g.stamp++
	entry.Stamp, entry.lastChange = g.stamp, now
	hash := entry.hashIfUsable()
	g.digest ^= entry.usableHash ^ hash
	entry.usableHash = hash
	g.changes = append(g.changes, change{g.stamp, entry})
	if len(g.changes) > 2*len(g.entries)+spareChanges {
		g.changes = slices.DeleteFunc(g.changes, func(c change) bool { return !c.isLatest() })
	}
}

// hashIfUsable returns a hash of what requests need of an instance, or 0 where they may not go to it.
func (e *Entry) hashIfUsable() uint64 {
	if !e.Usable() {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(e.ID + "\n" + e.Service + "\n" + e.Address))
	return hash.Sum64()
}

// Digest returns a hash of the usable instances. It is equal for registries that list the same ones, in whatever order
// they learned of them.
func (g *Registry) Digest() uint64 { return g.digest }

// ChangedSince returns the entries that changed after a stamp, in the order of their last changes. It takes time in
// proportion to the number of changes since, not of entries: it is called for every subscriber at every push.
func (g *Registry) ChangedSince(stamp uint64) []*Entry {
	first := sort.Search(len(g.changes), func(i int) bool { return g.changes[i].stamp > stamp })
	var changed []*Entry
	for _, c := range g.changes[first:] {
		if c.isLatest() {
			changed = append(changed, c.entry)
		}
	}
	return changed
}

// UpdatesSince returns what ChangedSince does, as updates to be sent to another router.
func (g *Registry) UpdatesSince(stamp uint64, now time.Duration) []Update {
	var updates []Update
	for _, entry := range g.ChangedSince(stamp) {
		updates = append(updates, Update{Instance: entry.Instance, Lost: entry.Lost, Age: now - entry.LastContact})
	}
	return updates
}

// Replace applies the complete list of the core member that this router subscribes to: usable instances that are not in
// it are lost.
func (g *Registry) Replace(list []Update, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.Instance.ID] = true
		g.Adopt(u, now)
	}
	for id, entry := range g.entries {
		if !listed[id] && entry.Usable() {
			entry.Lost = true
			g.recordChange(entry, now)
		}
	}
}

// Forget drops instances that ended long ago. Only those go whose last change has a stamp up to applied, which the data
// plane of this router has applied.
func (g *Registry) Forget(applied uint64, now time.Duration) {
	for id, entry := range g.entries {
		if entry.Usable() || entry.Stamp > applied || now-entry.lastChange <= endedRetention {
			continue
		}
		delete(g.entries, id)
		entry.Stamp = 0 // its changes are no longer listed
		g.detachAddress(entry)
	}
}
