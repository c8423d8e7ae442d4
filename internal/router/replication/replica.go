package replication

import (
	"fmt"
	"time"
)

// Options hold a replica's identity and settings. They do not change during its lifetime.
type Options struct {
	Self           Member   // Joined is not used
	Diskless       bool     // the replica stores nothing and, if it is a seed, votes for the first view alone
	Seeds          []string // internal addresses, in the order of the settings
	Bootstrap      bool     // this is the first start of the whole system
	FaultTolerance int      // number of disks that may be lost at one time without the loss of an acknowledged entry
}

// role is a replica's current role in the protocol.
type role int

const (
	follower role = iota
	candidate
	primary
)

func (r role) String() string { return [...]string{"follower", "candidate", "primary"}[r] }

// Replica is one member of the core, a learner that may become one, or a seed that only votes for the first view. Create
// it with New. See the package's comment for how the shell calls it.
type Replica struct {
	Options

	hard      HardState // in memory; a save is issued after each change that an answer depends on
	knownView View      // the newest view known to be in force
	role      role
	leaving   bool          // the process is about to end
	now       time.Duration // of the event that is being handled
	effects   []Effect      // since the last call of Effects

	state    replicatedState
	disk     diskState
	follower followerState
	eligible eligibleReplicas

	preVote    preVoteRound // of a follower that suspects the primary
	election   election     // of a candidate
	leadership leadership   // of a primary; also kept while it is candidate again, for the view after its own
}

// followerState is a follower's contact with the primary, and the snapshot that it is receiving.
type followerState struct {
	lastContact      time.Duration // with the primary, or with a candidate whose epoch was promised
	everContacted    bool          // by a primary
	incomingSnapshot incomingSnapshot
}

// New returns a replica with the state from its disk; persisted is nil without a disk. It restores the machine, which only
// the replica may use from then on. An error means that the machine cannot read the snapshot: the process cannot go on
// with this disk.
func New(o Options, persisted *PersistedState, machine StateMachine, now time.Duration) (*Replica, error) {
	r := &Replica{
		Options:  o,
		now:      now,
		state:    replicatedState{machine: machine},
		follower: followerState{lastContact: now - contactAgeAtStart},
		eligible: eligibleReplicas{byID: map[string]Member{}, lastAddedAt: now},
	}
	if persisted == nil {
		r.hard.Genesis = o.Bootstrap
		return r, nil
	}
	r.hard = persisted.Hard
	if len(persisted.Snapshot.Data) > 0 {
		if err := machine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("replication: restore the snapshot at %d/%s %d: %w", persisted.Snapshot.Position.Epoch.Round,
				persisted.Snapshot.Position.Epoch.Node, persisted.Snapshot.Position.Sequence, err)
		}
	}
	r.state.position = persisted.Snapshot.Position
	r.state.history.restart(r.state.position)
	for _, e := range persisted.Entries {
		r.state.apply(e)
		r.disk.bytesSinceSnapshot += len(e.Data)
	}
	r.disk.durablePosition = r.state.position
	r.disk.entriesSinceSnapshot = len(persisted.Entries)
	return r, nil
}

// View returns the newest view that is known to be in force; its epoch's round is 0 where none is known.
func (r *Replica) View() View { return r.knownView }

// IsPrimary reports whether this replica is the primary, as far as it knows. Another one may have been elected meanwhile: a
// read that must not be stale needs Confirm.
func (r *Replica) IsPrimary() bool { return r.role == primary }

// HasContact reports whether this replica had contact with the core within the election timeout: as primary with a majority
// of the members, otherwise with the primary or a candidate.
func (r *Replica) HasContact() bool {
	if r.role == primary {
		return r.majorityReachable()
	}
	return r.follower.everContacted && r.now-r.follower.lastContact < electionTimeout
}

// LearnView adopts a view that another router reports to be in force, if it is newer than the known one. The shell calls it
// for views that do not come with a Heartbeat.
func (r *Replica) LearnView(v View) {
	if r.knownView.Epoch.Less(v.Epoch) {
		r.knownView = v
	}
}

// Status describes a replica on one line, for logs and for the router's status.
func (r *Replica) Status() string {
	return fmt.Sprintf("%s promised %d/%s accepted %d known %d pending %d stalled %t", r.role, r.hard.Promised.Round,
		r.hard.Promised.Node, r.hard.Accepted.Epoch.Round, r.knownView.Epoch.Round, len(r.disk.pendingSaves), r.diskStalled())
}
