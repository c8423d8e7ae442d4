// Package registry is one router's list of model servers: the contents of their heartbeats, the reports of other
// routers about them, and which of them have been silent for longer than the timeout.
//
// It does not decide where a request goes, nor which router sends what to which. It has no clock, network or goroutine
// of its own; the caller passes the time and holds a lock around every call.
//
// A server increments a sequence number with each of its heartbeats, and entries are merged by that number. So it does
// not matter in which order, how often and through which routers reports arrive. Deregistration is final for an
// instance.
//
// Invariant: an entry's stamp increases with every change that the data plane has to know of, so a subscriber that has
// applied all changes up to a stamp lacks exactly the changes after it.
package registry

import (
	"slices"
	"time"
)

// State is the state that a server reports of itself.
type State uint8

// The states of a server, in the only order in which an instance passes through them. Deregistered is final.
const (
	Ready State = iota
	Draining
	Deregistered
)

// Instance is one incarnation of a model server, as it describes itself in heartbeats.
type Instance struct {
	ID              string
	Service         string
	Address         string
	Zone            string
	Generation      string
	Slots           int // requests that it serves concurrently
	State           State
	WarmupRemaining time.Duration // at the heartbeat with Sequence: how much longer it is slow
	Sequence        int64         // incremented by the server with every call
}

// Update is a report about an instance that one router sends to another.
type Update struct {
	Instance Instance
	Lost     bool          // the sender considers the server lost, as in Entry
	Age      time.Duration // time since the server's last heartbeat that the sender knows of
}

// Entry is the record that a registry has of an instance. Callers may read an entry until they release the lock that
// guards the registry.
type Entry struct {
	Instance
	Lost        bool          // silent for longer than the timeout, or another instance has taken over its address
	Stamp       uint64        // of the entry's last change; 0 once the entry was removed
	LastContact time.Duration // when the server's last heartbeat was received, here or at another router
	lastChange  time.Duration // when Stamp was assigned
	usableHash  uint64        // result of hashIfUsable at this stamp; Registry.Digest is the XOR over all entries
}

// Usable reports whether requests may go to the instance.
func (e *Entry) Usable() bool { return e.State == Ready && !e.Lost }

// Registry is one router's list of servers. Create one with New.
type Registry struct {
	entries   map[string]*Entry   // by instance ID
	byAddress map[string][]*Entry // several entries only while one instance replaces another at an address
	stamp     uint64
	changes   []change // sorted by stamp; includes the last change of each entry
	digest    uint64
	received  []string // IDs of the instances whose heartbeats were received here since the last TakeReceived
}

// maxRevivalAge is the maximum age of a heartbeat that makes a lost instance usable again. An older heartbeat proves
// only that the server was alive at some time after its previous known heartbeat.
const maxRevivalAge = time.Second

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*Entry{}, byAddress: map[string][]*Entry{}}
}

// Stamp returns the stamp of the newest change.
func (g *Registry) Stamp() uint64 { return g.stamp }

// Len returns the number of known instances, including those that ended.
func (g *Registry) Len() int { return len(g.entries) }

// Entry returns the entry of an instance, or nil if the instance is not known.
func (g *Registry) Entry(id string) *Entry { return g.entries[id] }

// ReceiveHeartbeat applies a heartbeat that a server sent to this router, directly or forwarded by one of its
// subscribers. It reports whether an entry changed.
func (g *Registry) ReceiveHeartbeat(observed Instance, now time.Duration) bool {
	g.received = append(g.received, observed.ID)
	return g.merge(observed, now, now)
}

// Merge applies an update of another core member and reports whether an entry changed. For an instance that is already
// known it ignores Update.Lost: each core member decides by itself, from the time of the last heartbeat, which
// instances are lost. If members adopted the decisions of one another, two members that disagree would send each other
// updates forever.
func (g *Registry) Merge(u Update, now time.Duration) bool {
	if g.entries[u.Instance.ID] == nil {
		return g.Adopt(u, now)
	}
	return g.merge(u.Instance, now-u.Age, now)
}

// Adopt applies an update of the core member that this router subscribes to, which decides for its subscribers which
// instances are lost. It reports whether an entry changed.
func (g *Registry) Adopt(u Update, now time.Duration) bool {
	changed := g.merge(u.Instance, now-u.Age, now)
	if entry := g.entries[u.Instance.ID]; entry.Lost != u.Lost {
		entry.Lost = u.Lost
		g.recordChange(entry, now)
		changed = true
	}
	return changed
}

// merge applies the contents of a heartbeat that was received at lastContact, here or at another router. It reports
// whether the entry changed in a way that the data plane has to know.
func (g *Registry) merge(observed Instance, lastContact, now time.Duration) bool {
	entry := g.entries[observed.ID]
	if entry == nil {
		g.add(observed, lastContact, now)
		return true
	}
	changed := g.mergeInstance(entry, observed)
	if lastContact > entry.LastContact {
		entry.LastContact = lastContact
		if entry.Lost && now-lastContact < maxRevivalAge && g.ownsAddress(entry) {
			entry.Lost = false
			changed = true
		}
	}
	if changed {
		g.recordChange(entry, now)
	}
	return changed
}

// add creates the entry of a new instance.
func (g *Registry) add(observed Instance, lastContact, now time.Duration) {
	entry := &Entry{Instance: observed, LastContact: lastContact}
	g.entries[observed.ID] = entry
	g.byAddress[observed.Address] = append(g.byAddress[observed.Address], entry)
	g.recordChange(entry, now)
	g.claimAddress(entry, now)
}

// mergeInstance replaces an entry's instance by a newer one. The state never goes back: an instance that is draining
// does not become ready again, and a drain or deregistration applies whatever its sequence number is.
func (g *Registry) mergeInstance(entry *Entry, observed Instance) (changed bool) {
	newer := observed.Sequence > entry.Sequence || observed.State > entry.State
	if !newer || entry.State == Deregistered {
		return false
	}
	changed = entry.State != observed.State || entry.Address != observed.Address ||
		entry.Service != observed.Service || entry.Slots != observed.Slots
	sequence := max(observed.Sequence, entry.Sequence)
	if observed.State < entry.State {
		observed.State = entry.State
		changed = entry.Address != observed.Address
	}
	if entry.Address != observed.Address {
		g.detachAddress(entry)
		g.byAddress[observed.Address] = append(g.byAddress[observed.Address], entry)
	}
	entry.Instance = observed
	entry.Sequence = sequence
	return changed
}

// claimAddress marks the other instances at the address of an entry as lost if their last heartbeats are older than
// that of the entry. A deregistered instance claims no address: another server may be running there by now.
func (g *Registry) claimAddress(entry *Entry, now time.Duration) {
	if entry.State == Deregistered {
		return
	}
	for _, other := range g.byAddress[entry.Address] {
		if other != entry && !other.Lost && other.State != Deregistered && other.LastContact < entry.LastContact {
			other.Lost = true
			g.recordChange(other, now)
		}
	}
}

// ownsAddress reports whether no other instance with the same address had a later heartbeat. Deregistered instances do not
// count.
func (g *Registry) ownsAddress(entry *Entry) bool {
	for _, other := range g.byAddress[entry.Address] {
		if other != entry && other.State != Deregistered && other.LastContact > entry.LastContact {
			return false
		}
	}
	return true
}

// detachAddress removes an entry from the instances at its address.
func (g *Registry) detachAddress(entry *Entry) {
	rest := slices.DeleteFunc(g.byAddress[entry.Address], func(other *Entry) bool { return other == entry })
	if len(rest) == 0 {
		delete(g.byAddress, entry.Address)
		return
	}
	g.byAddress[entry.Address] = rest
}

// RefreshContact records that another core member has just received heartbeats of the instances ids.
func (g *Registry) RefreshContact(ids []string, now time.Duration) {
	for _, id := range ids {
		entry := g.entries[id]
		if entry == nil || now <= entry.LastContact {
			continue
		}
		entry.LastContact = now
		if entry.Lost && g.ownsAddress(entry) {
			entry.Lost = false
			g.recordChange(entry, now)
		}
	}
}

// TakeReceived returns the IDs of the instances whose heartbeats were received here since the previous call.
func (g *Registry) TakeReceived() []string {
	received := g.received
	g.received = nil
	return received
}

// Expire marks as lost the instances without a heartbeat for longer than timeout, and those at whose address another
// instance had a later heartbeat. Instances to which neither applies are no longer lost. Deregistered instances stay as
// they are. Expire reports whether an entry changed. Core members call it; other routers adopt the decisions of their
// core member.
func (g *Registry) Expire(timeout, now time.Duration) bool {
	changed := false
	for _, entry := range g.entries {
		lost := now-entry.LastContact > timeout || !g.ownsAddress(entry)
		if entry.State != Deregistered && entry.Lost != lost {
			entry.Lost = lost
			g.recordChange(entry, now)
			changed = true
		}
	}
	return changed
}
