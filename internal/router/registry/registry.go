// Package registry is the list of servers: what their heartbeats said, what other sidecars said of them, and who has been
// silent for too long. It is pure; each sidecar holds one.
//
// Merging is by the sequence number that a server counts up with every call, so that it does not matter in which order, how
// often or by which way news comes. Deregistration is final for an instance. Invariant: an entry's stamp grows whenever
// what the data plane has to know of it changes, so that a subscriber is told of exactly that.
package registry

import (
	"slices"
	"time"
)

// State is what a server says of itself.
type State uint8

// The states of a server. Gone is final.
const (
	Ready State = iota
	Draining
	Deregistered
)

// Instance is one life of a server.
type Instance struct {
	ID              string
	Service         string
	Address         string
	Zone            string
	Generation      string
	Slots           int
	State           State
	WarmupRemaining time.Duration // how much longer it is slow, as of Sequence
	Sequence        int64
}

// Update is what one sidecar tells another of an instance.
type Update struct {
	Instance Instance
	Lost     bool
	Age      time.Duration // since it was last heard
}

// Entry is what a registry holds of an instance.
type Entry struct {
	Instance
	Lost        bool // silent for too long, or another server has its address
	Stamp       uint64
	LastContact time.Duration // when
	lastChange  time.Duration // when, last
	digestPart  uint64        // what it adds to the registry's digest
}

// Usable reports whether requests may go there.
func (e *Entry) Usable() bool { return e.State == Ready && !e.Lost }

// Registry is one sidecar's list.
type Registry struct {
	entries   map[string]*Entry
	byAddress map[string][]*Entry // by address: more than one only while an address passes on
	stamp     uint64
	changes   []change // in the order of their stamps; each entry's last change is in it
	digest    uint64
	received  []string // heard here since Fresh was called
}

// freshHeartbeatAge is how recent a heartbeat has to be for an instance that was lost to be back.
const freshHeartbeatAge = time.Second

// New makes an empty registry.
func New() *Registry {
	return &Registry{entries: map[string]*Entry{}, byAddress: map[string][]*Entry{}}
}

// Stamp is the stamp of the newest change.
func (g *Registry) Stamp() uint64 { return g.stamp }

// Len is the number of instances known, ended ones included.
func (g *Registry) Len() int { return len(g.entries) }

// Entry finds an instance.
func (g *Registry) Entry(id string) *Entry { return g.entries[id] }

// ReceiveHeartbeat takes in a call of the server itself and reports whether something changed.
func (g *Registry) ReceiveHeartbeat(i Instance, now time.Duration) bool {
	g.received = append(g.received, i.ID)
	return g.merge(i, now, now)
}

// Merge takes in what another control sidecar says. Whether an instance that is known is lost each of them judges by itself,
// from when it was heard: a word that is taken over both ways would go back and forth for ever.
func (g *Registry) Merge(u Update, now time.Duration) bool {
	if g.entries[u.Instance.ID] == nil {
		return g.Adopt(u, now)
	}
	return g.merge(u.Instance, now-u.Age, now)
}

// Adopt takes in what the home says, which judges for its subscribers who is lost.
func (g *Registry) Adopt(u Update, now time.Duration) bool {
	changed := g.merge(u.Instance, now-u.Age, now)
	if e := g.entries[u.Instance.ID]; e.Lost != u.Lost {
		e.Lost = u.Lost
		g.recordChange(e, now)
		changed = true
	}
	return changed
}

func (g *Registry) merge(observed Instance, lastContact, now time.Duration) bool {
	entry := g.entries[observed.ID]
	if entry == nil {
		entry = &Entry{Instance: observed, LastContact: lastContact}
		g.entries[observed.ID] = entry
		g.byAddress[observed.Address] = append(g.byAddress[observed.Address], entry)
		g.recordChange(entry, now)
		g.claimAddress(entry, now)
		return true
	}
	changed := false
	if observed.Sequence > entry.Sequence && entry.State != Deregistered || observed.State == Deregistered && entry.State != Deregistered {
		changed = entry.State != observed.State || entry.Address != observed.Address || entry.Service != observed.Service || entry.Slots != observed.Slots
		sequence := max(observed.Sequence, entry.Sequence)
		if observed.State < entry.State { // a drain is not taken back
			observed.State = entry.State
			changed = entry.Address != observed.Address
		}
		if entry.Address != observed.Address {
			g.detachAddress(entry)
			g.byAddress[observed.Address] = append(g.byAddress[observed.Address], entry)
		}
		entry.Instance = observed
		entry.Sequence = sequence
	}
	if lastContact > entry.LastContact {
		entry.LastContact = lastContact
		if entry.Lost && now-lastContact < freshHeartbeatAge && g.ownsAddress(entry) {
			entry.Lost = false
			changed = true
		}
	}
	if changed {
		g.recordChange(entry, now)
	}
	return changed
}

// claimAddress marks instances lost that had the address of one that was heard later.
func (g *Registry) claimAddress(e *Entry, now time.Duration) {
	for _, other := range g.byAddress[e.Address] {
		if other != e && !other.Lost && other.State != Deregistered && other.LastContact < e.LastContact {
			other.Lost = true
			g.recordChange(other, now)
		}
	}
}

// ownsAddress reports whether no other instance was heard later at the same address.
func (g *Registry) ownsAddress(e *Entry) bool {
	for _, other := range g.byAddress[e.Address] {
		if other != e && other.LastContact > e.LastContact {
			return false
		}
	}
	return true
}

// RefreshContact notes that instances were heard by another sidecar.
func (g *Registry) RefreshContact(ids []string, now time.Duration) {
	for _, id := range ids {
		if e := g.entries[id]; e != nil && now > e.LastContact {
			e.LastContact = now
			if e.Lost && g.ownsAddress(e) {
				e.Lost = false
				g.recordChange(e, now)
			}
		}
	}
}

// TakeReceived takes the instances that were heard here since the last call.
func (g *Registry) TakeReceived() []string {
	out := g.received
	g.received = nil
	return out
}

// Expire judges who is lost: those that have been silent for longer than a time, and those at whose address another was
// heard later.
func (g *Registry) Expire(timeout, now time.Duration) bool {
	changed := false
	for _, e := range g.entries {
		lost := now-e.LastContact > timeout || !g.ownsAddress(e)
		if e.State != Deregistered && e.Lost != lost {
			e.Lost = lost
			g.recordChange(e, now)
			changed = true
		}
	}
	return changed
}

// detachAddress takes an entry from its address.
func (g *Registry) detachAddress(e *Entry) {
	rest := slices.DeleteFunc(g.byAddress[e.Address], func(other *Entry) bool { return other == e })
	if len(rest) == 0 {
		delete(g.byAddress, e.Address)
		return
	}
	g.byAddress[e.Address] = rest
}
