// Package replication keeps one small state machine on the disks of the core, by primary-backup replication. It is
// pure: messages, time and what the disk says go in, effects come out.
//
// A view is an epoch, a primary, the in-sync set, and the members. Views are decided by the members as witnesses, which
// keep no more than epochs and the last accepted view for this; data goes from the primary to the in-sync set alone.
// There is no log that a majority replicates.
//
// # Invariants
//
//  1. An entry is committed when every member of the in-sync set has it on its disk, under an epoch that none of
//     them has left. Only then is it published, and its proposer told. (TestGuards: without the disk, without the epoch
//     check, or with a part of the set, entries get lost.)
//  2. A candidate reads promises of a majority of the members of the newest accepted view it hears of (and of the members
//     before, while both have to agree), and goes on only if it is in that view's in-sync set.
//  3. A view's in-sync set is on the candidate's state, on the disk, before any witness is asked to accept the view; it
//     has at least FaultTolerance+1 members.
//  4. A member is a disk. One that lost it comes back as another member, without a vote, until a view takes it in.
//  5. Members change by one view that both sets of members accept; those before count no more as soon as it is known to be
//     in force. A change that is not known to be in force is finished before another one is built on it.
//  6. A newcomer takes one member's place in one step, once it has nearly all of the primary's state.
//
// docs/design/control.md has the argument for each, and the tests that fail without it.
//
// The first view is decided by the seeds of the first start, which hold a vote named by their address for this alone and
// only in a process, or with a disk, of that first start.
package replication

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Times of the protocol.
const (
	HeartbeatInterval = 100 * time.Millisecond
	suspectAfter      = 600 * time.Millisecond  // without a heartbeat
	suspectStep       = 50 * time.Millisecond   // candidates of a view wait in turn
	restartLead       = suspectAfter            // a process that starts has heard nobody, and asks at once whether others do
	heardRecently     = 400 * time.Millisecond  // a witness that hears the primary promises nothing to others
	phaseWait         = 200 * time.Millisecond  // for answers beyond those that are needed, at the most
	promiseSlack      = 40 * time.Millisecond   // for promises beyond a majority, and twice what the others took
	phaseLimit        = 1200 * time.Millisecond // after which a candidacy is given up
	resendEvery       = 100 * time.Millisecond
	entryLimit        = 350 * time.Millisecond // after which an in-sync member that does not answer is dropped
	entryLimitByte    = 500 * time.Nanosecond  // more of it for each byte of the entry
	reachable         = 500 * time.Millisecond // since its last heartbeat ack
	reviewEvery       = 400 * time.Millisecond // between two changes of a view that nobody waits for
	maxReviewWait     = 4 * time.Second        // where changes bring nothing
	genesisStep       = 500 * time.Millisecond // candidates for the first view wait in turn
	genesisWait       = 700 * time.Millisecond // from the last new sidecar of the first start to the first view
	diskStall         = 500 * time.Millisecond
	diskRetry         = 300 * time.Millisecond
	recentEntries     = 32 // published with a state
	compactEvery      = 32 // entries between two snapshots on the disk
	maxProposals      = 64
)

// Options say who a replica is.
type Options struct {
	Self           Member   // Joined is not used
	Witness        bool     // it may have no disk: then it votes for the first view alone
	Seeds          []string // addresses, in the order of the settings
	Bootstrap      bool     // this is the first start of the whole system
	FaultTolerance int      // disks that may be lost at one time
}

type role int

const (
	follower role = iota
	candidate
	primary
)

type proposal struct {
	token uint64
	data  []byte
}

// Replica is one member of the core, or a seed that only witnesses the first view.
type Replica struct {
	Options
	machine StateMachine

	hard      HardState
	position  Position // of machine
	published Position
	durable   Position // of what is on the disk
	history   history
	known     View // the newest view known to be in force
	role      role
	now       time.Duration
	out       []Effect

	// What the disk is doing.
	saves        uint64
	pending      []pendingSave
	needSnapshot bool // the disk lacks something that memory has
	diskFails    bool
	diskTried    time.Duration
	sinceCompact int

	leaving bool // the process is about to end

	// As a follower.
	incoming  incoming
	heard     time.Duration // the last heartbeat
	heardEver bool

	// Before the first view.
	candidates   map[string]Member // eligible sidecars, by ID
	lastNewcomer time.Duration

	preVote  preVote
	election election
	leading  leading
}

type pendingSave struct {
	number   uint64
	since    time.Duration
	snapshot bool
	position *Position // of what is on the disk afterwards, where that changes
	then     func()
}

// New makes a replica from what its disk holds; kept is nil without a disk.
func New(o Options, kept *PersistedState, machine StateMachine, now time.Duration) (*Replica, error) {
	r := &Replica{Options: o, machine: machine, now: now, heard: now - restartLead, lastNewcomer: now}
	r.candidates = map[string]Member{}
	if kept == nil {
		r.hard.Genesis = o.Bootstrap
		return r, nil
	}
	r.hard = kept.Hard
	if len(kept.Snapshot.Data) > 0 {
		if err := machine.Restore(kept.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	r.position = kept.Snapshot.Position
	r.history.restart(r.position)
	for _, e := range kept.Entries {
		r.apply(e)
	}
	r.durable = r.position
	r.sinceCompact = len(kept.Entries)
	return r, nil
}

// Effects takes what is to be carried out, in order.
func (r *Replica) Effects() []Effect {
	out := r.out
	r.out = nil
	return out
}

// View is the newest view that is known to be in force.
func (r *Replica) View() View { return r.known }

// IsPrimary reports whether this replica leads.
func (r *Replica) IsPrimary() bool { return r.role == primary }

// InTouch reports whether a majority answered this primary, or the primary was heard, lately.
func (r *Replica) InTouch() bool {
	if r.role == primary {
		return r.majorityReachable()
	}
	return r.heardEver && r.now-r.heard < suspectAfter
}

// AddEligible notes a sidecar that can be a member.
func (r *Replica) AddEligible(m Member) {
	if _, ok := r.candidates[m.ID]; !ok {
		r.lastNewcomer = r.now
	}
	r.candidates[m.ID] = m
}

// LearnView takes in a view that somebody says is in force.
func (r *Replica) LearnView(v View) {
	if r.known.Epoch.Less(v.Epoch) {
		r.known = v
	}
}

// sortedKeys puts a map's keys in order: what a replica does follows from what it heard alone, also in which order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (r *Replica) send(to string, m Message) {
	if to == r.Self.Address {
		return
	}
	r.out = append(r.out, Send{To: to, Message: m})
}

// save writes the hard state and, where given, more, and does what has to wait for the disk afterwards.
func (r *Replica) save(entry *Entry, snapshot bool, then func()) {
	if r.Witness {
		then()
		return
	}
	r.saves++
	s := Save{Number: r.saves, Hard: r.hard}
	switch {
	case snapshot || r.needSnapshot || entry != nil && r.sinceCompact >= compactEvery:
		s.Snapshot = &SnapshotRecord{Position: r.position, Data: r.machine.Snapshot()}
		r.sinceCompact = 0
	case entry != nil:
		s.Entry = entry
		r.sinceCompact++
	}
	p := pendingSave{number: s.Number, since: r.now, snapshot: s.Snapshot != nil, then: then}
	switch {
	case s.Snapshot != nil:
		p.position = &s.Snapshot.Position
	case s.Entry != nil:
		p.position = &s.Entry.Position
	}
	r.pending = append(r.pending, p)
	r.out = append(r.out, s)
}

// Saved says that a save, and all before it, is on the disk.
func (r *Replica) Saved(number uint64, now time.Duration) {
	r.now = now
	r.diskFails = false
	for len(r.pending) > 0 && r.pending[0].number <= number {
		p := r.pending[0]
		r.pending = r.pending[1:]
		if p.number != number {
			continue
		}
		if p.snapshot {
			r.needSnapshot = false
		}
		if p.position != nil {
			r.durable = *p.position
		}
		p.then()
	}
}

// SaveFailed says that a save is not on the disk; those after it may be.
func (r *Replica) SaveFailed(number uint64, now time.Duration) {
	r.now = now
	r.pending = slices.DeleteFunc(r.pending, func(p pendingSave) bool { return p.number <= number })
	r.needSnapshot = true
	r.diskFails = true
	r.diskTried = now
}

// apply takes in an entry that follows the machine's state.
func (r *Replica) apply(e Entry) {
	r.machine.Apply(e.Data)
	r.position = e.Position
	r.history.add(e)
}

// publish says that the machine's state is committed.
func (r *Replica) publish() {
	if r.published == r.position {
		return
	}
	r.published = r.position
	r.out = append(r.out, Publish{Position: r.position, Entries: r.history.last(recentEntries), Value: r.machine.Value()})
}

func (r *Replica) stalled() bool {
	return r.diskFails || len(r.pending) > 0 && r.now-r.pending[0].since > diskStall
}

// voters are the witness identities that this process votes with.
func (r *Replica) voters() []string {
	var ids []string
	if !r.Witness {
		ids = append(ids, r.Self.ID)
	}
	if r.hard.Genesis && slices.Contains(r.Seeds, r.Self.Address) {
		ids = append(ids, genesisID(r.Self.Address))
	}
	return ids
}

func genesisID(address string) string { return "seed/" + address }

// base is the view that a first view follows: the seeds are its members.
func (r *Replica) base() View {
	var v View
	for _, s := range r.Seeds {
		v.Members = append(v.Members, Member{ID: genesisID(s), Address: s})
	}
	v.Old = v.Members
	return v
}

// Status describes a replica for logs.
func (r *Replica) Status() string {
	names := [...]string{"follower", "candidate", "primary"}
	return fmt.Sprintf("%s promised %d/%s accepted %d known %d pending %d stalled %t", names[r.role], r.hard.Promised.Round,
		r.hard.Promised.Node, r.hard.Accepted.Epoch.Round, r.known.Epoch.Round, len(r.pending), r.stalled())
}
