package replication

import (
	"fmt"
	"time"
)

// Options say who a replica is. They do not change while it lives.
type Options struct {
	Self           Member   // Joined is not used
	Diskless       bool     // it has no disk: it stores nothing, and votes, where it is a seed, for the first view alone
	Seeds          []string // internal addresses, in the order of the settings
	Bootstrap      bool     // this is the first start of the whole system
	FaultTolerance int      // disks that may be lost at one time without losing what was acknowledged
}

// role is what a replica is at the moment.
type role int

const (
	follower role = iota
	candidate
	primary
)

func (r role) String() string { return [...]string{"follower", "candidate", "primary"}[r] }

// Replica is one member of the core, a learner that may become one, or a seed that only votes for the first view. Make
// it by New. See the package's comment for how the shell calls it.
type Replica struct {
	Options

	hard      HardState // as it was saved last
	knownView View      // the newest view known to be in force
	role      role
	leaving   bool          // the process is about to end
	now       time.Duration // of the event that is being handled
	effects   []Effect      // since the last call of Effects

	state    replicatedState
	disk     diskState
	follower followerState
	eligible eligibleReplicas

	preVote    preVoteRequests // of a follower that suspects the primary
	election   election        // of a candidate
	leadership leadership      // of a primary, also while it is candidate again for a view that follows its own
}

// followerState is what a follower has received.
type followerState struct {
	lastContact      time.Duration // with the primary, or with a candidate that was promised its epoch
	everContacted    bool          // by a primary
	incomingSnapshot incomingSnapshot
}

// New returns a replica with what its disk holds; persisted is nil without a disk. It restores the machine, which is
// the replica's from then on. An error means that the snapshot is not one of the machine: the process cannot go on with
// this disk.
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
	}
	r.disk.durablePosition = r.state.position
	r.disk.entriesSinceSnapshot = len(persisted.Entries)
	return r, nil
}

// View returns the newest view that is known to be in force; its epoch's round is 0 where none is known.
func (r *Replica) View() View { return r.knownView }

// IsPrimary reports whether this replica is the primary, as far as it knows. Another one may have taken over: what must
// not be stale is asked for with Confirm.
func (r *Replica) IsPrimary() bool { return r.role == primary }

// InTouch reports whether a majority answered this primary lately or, for another replica, whether it had contact with
// the primary lately.
func (r *Replica) InTouch() bool {
	if r.role == primary {
		return r.majorityReachable()
	}
	return r.follower.everContacted && r.now-r.follower.lastContact < electionTimeout
}

// LearnView adopts a view that another router says is in force, if it is newer than the known one. The shell calls it
// for views that come by other ways than Heartbeat.
func (r *Replica) LearnView(v View) {
	if r.knownView.Epoch.Less(v.Epoch) {
		r.knownView = v
	}
}

// Status describes a replica for logs and for the router's status.
func (r *Replica) Status() string {
	return fmt.Sprintf("%s promised %d/%s accepted %d known %d pending %d stalled %t", r.role, r.hard.Promised.Round,
		r.hard.Promised.Node, r.hard.Accepted.Epoch.Round, r.knownView.Epoch.Round, len(r.disk.pendingSaves), r.diskStalled())
}
