// Package registry is one router's list of model servers: what their heartbeats said, what other routers reported of
// them, and which of them have been silent for too long.
//
// It does not decide where a request goes, nor who sends what to whom. It is pure: no clock, network or goroutine of
// its own; the caller passes the time and holds a lock around every call.
//
// A server counts up a sequence number with each of its heartbeats, and entries are merged by that number. So the order
// in which reports arrive, how often, and by way of which routers does not matter. Deregistration is final for an
// instance.
//
// Invariant: an entry's stamp grows whenever anything changes that the data plane has to know of it, so a subscriber
// that has applied all changes up to a stamp lacks exactly the changes after it.
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
	Slots           int // requests that it serves at the same time
	State           State
	WarmupRemaining time.Duration // how much longer it is slow, counted from the heartbeat with Sequence
	Sequence        int64         // counted up by the server with every call
}

// Update is what one router sends another about an instance.
type Update struct {
	Instance Instance
	Lost     bool          // the sender judges that the server has been silent for too long
	Age      time.Duration // time since the server's last heartbeat that the sender knows of
}

// Entry is what a registry holds of an instance. Callers may read an entry until they release the lock that guards the
// registry.
type Entry struct {
	Instance
	Lost        bool          // silent for too long, or another instance has its address
	Stamp       uint64        // of the entry's last change; 0 once the entry was dropped
	LastContact time.Duration // when the server's last heartbeat was received, here or at another router
	lastChange  time.Duration // when Stamp was given
	usableHash  uint64        // as hashIfUsable returned it for this stamp; Registry.Digest is the XOR of all
}

// Usable reports whether requests may go to the instance.
func (e *Entry) Usable() bool { return e.State == Ready && !e.Lost }

// Registry is one router's list of servers. Make one by New.
type Registry struct {
	entries   map[string]*Entry   // by instance ID
	byAddress map[string][]*Entry // more than one only while an address passes from one instance to the next
	stamp     uint64
	changes   []change // in the order of their stamps; each entry's last change is among them
	digest    uint64
	received  []string // instances whose heartbeats were received here since TakeReceived was called
}

// maxRevivalAge is the largest age of a heartbeat by which an instance that was lost becomes usable again. An older one
// proves only that the server lived at some time after the last one known.
const maxRevivalAge = time.Second

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*Entry{}, byAddress: map[string][]*Entry{}}
}

// Stamp returns the stamp of the newest change.
func (g *Registry) Stamp() uint64 { return g.stamp }

// Len returns the number of instances known, ended ones included.
func (g *Registry) Len() int { return len(g.entries) }

// Entry returns the entry of an instance, or nil where the instance is not known.
func (g *Registry) Entry(id string) *Entry { return g.entries[id] }

// ReceiveHeartbeat applies a heartbeat that a server sent to this router, directly or forwarded by one of its
// subscribers. It reports whether an entry changed.
func (g *Registry) ReceiveHeartbeat(i Instance, now time.Duration) bool {
	g.received = append(g.received, i.ID)
	return g.merge(i, now, now)
}

// Merge applies an update of another core member and reports whether an entry changed. Of an instance that is known,
// Update.Lost is ignored: each core member judges by itself, from the time of the last heartbeat, who is lost. If
// members adopted one another's judgement, two that differ would exchange it for ever.
func (g *Registry) Merge(u Update, now time.Duration) bool {
	if g.entries[u.Instance.ID] == nil {
		return g.Adopt(u, now)
	}
	return g.merge(u.Instance, now-u.Age, now)
}

// Adopt applies an update of the core member that this router subscribes to, which judges for its subscribers who is
// lost. It reports whether an entry changed.
func (g *Registry) Adopt(u Update, now time.Duration) bool {
	changed := g.merge(u.Instance, now-u.Age, now)
	if entry := g.entries[u.Instance.ID]; entry.Lost != u.Lost {
		entry.Lost = u.Lost
		g.recordChange(entry, now)
		changed = true
	}
	return changed
}

// merge applies what a server said of itself in a heartbeat that was received at lastContact. It reports whether its
// entry changed in a way that the data plane has to know.
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

// add makes the entry of an instance that was not known.
func (g *Registry) add(observed Instance, lastContact, now time.Duration) {
	entry := &Entry{Instance: observed, LastContact: lastContact}
	g.entries[observed.ID] = entry
	g.byAddress[observed.Address] = append(g.byAddress[observed.Address], entry)
	g.recordChange(entry, now)
	g.claimAddress(entry, now)
}

// mergeInstance replaces an entry's instance by a newer one. Its state never goes back: an instance that is draining
// does not become ready again, and a deregistration counts whatever its sequence number is.
func (g *Registry) mergeInstance(entry *Entry, observed Instance) (changed bool) {
	newer := observed.Sequence > entry.Sequence || observed.State == Deregistered
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

// claimAddress marks the instances lost that had the address of an entry and sent their last heartbeat before it.
func (g *Registry) claimAddress(entry *Entry, now time.Duration) {
	for _, other := range g.byAddress[entry.Address] {
		if other != entry && !other.Lost && other.State != Deregistered && other.LastContact < entry.LastContact {
			other.Lost = true
			g.recordChange(other, now)
		}
	}
}

// ownsAddress reports whether no other instance sent a later heartbeat with the same address.
func (g *Registry) ownsAddress(entry *Entry) bool {
	for _, other := range g.byAddress[entry.Address] {
		if other != entry && other.LastContact > entry.LastContact {
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

// RefreshContact records that another core member has just received heartbeats of these instances.
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

// TakeReceived returns the instances whose heartbeats were received here since the last call.
func (g *Registry) TakeReceived() []string {
	received := g.received
	g.received = nil
	return received
}

// Expire judges who is lost: the instances without a heartbeat for longer than timeout, and those at whose address
// another instance was seen later. It reports whether an entry changed. Core members call it; other routers adopt the
// judgement of theirs.
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
