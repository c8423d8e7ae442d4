package registry

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

// EndedRetention is how long an unusable instance is kept after its last change: all subscribers of this registry learn that
// it ended, and a heartbeat that was sent before its end has arrived. The operators' pages let a heartbeat come seconds late.
const EndedRetention = 2 * time.Minute

// compactionSlack determines when the superseded changes are removed: when there are more changes than twice the number of
// entries plus compactionSlack.
const compactionSlack = 64

// change records that an entry changed. Its stamp is the number of the change in the registry.
type change struct {
	stamp uint64
	entry *Entry
}

// isLatest reports whether this is the last change of its entry and the entry has not been removed.
func (c change) isLatest() bool { return c.entry.Stamp == c.stamp }

// recordChange gives a changed entry the next stamp, updates the digest and appends to the list of changes.
func (g *Registry) recordChange(entry *Entry, now time.Duration) {
	g.stamp++
	entry.Stamp, entry.lastChange = g.stamp, now
	hash := entry.hashIfUsable()
	g.digest ^= entry.usableHash ^ hash
	entry.usableHash = hash
	g.changes = append(g.changes, change{g.stamp, entry})
	if len(g.changes) > 2*len(g.entries)+compactionSlack {
		g.changes = slices.DeleteFunc(g.changes, func(c change) bool { return !c.isLatest() })
	}
}

// hashIfUsable returns a hash of the fields of a usable instance that request routing needs, or 0 if the instance is
// not usable.
func (e *Entry) hashIfUsable() uint64 {
	if !e.Usable() {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(e.ID + "\n" + e.Service + "\n" + e.Address))
	return hash.Sum64()
}

// Digest returns a hash of the usable instances. Two registries with the same usable instances have the same digest, in
// whatever order they learned of them.
func (g *Registry) Digest() uint64 { return g.digest }

// ChangedSince returns the entries that changed after stamp, in the order of their last changes. Its cost is
// proportional to the number of changes since stamp, not to the number of entries, because it is called for every
// subscriber at every push.
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

// UpdatesSince returns the entries that ChangedSince returns, as updates to send to another router.
func (g *Registry) UpdatesSince(stamp uint64, now time.Duration) []Update {
	var updates []Update
	for _, entry := range g.ChangedSince(stamp) {
		updates = append(updates, Update{Instance: entry.Instance, Lost: entry.Lost, Age: now - entry.LastContact})
	}
	return updates
}

// Replace applies the complete list of the core member that this router subscribes to. Usable instances that are
// missing from the list become lost.
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

// Forget removes the instances that have been unusable for longer than EndedRetention. It keeps an entry whose stamp is
// greater than appliedStamp, the last stamp that the data plane of this router has applied.
func (g *Registry) Forget(appliedStamp uint64, now time.Duration) {
	for id, entry := range g.entries {
		if entry.Usable() || entry.Stamp > appliedStamp || now-entry.lastChange <= EndedRetention {
			continue
		}
		delete(g.entries, id)
		entry.Stamp = 0 // ChangedSince no longer returns its changes
		g.detachAddress(entry)
	}
}
