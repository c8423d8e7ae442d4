// Package replication keeps one small state machine on the disks of the core members, by primary-backup replication. It
// decides which replica is the primary, which replicas hold every acknowledged entry on their disks, and which entries
// are committed.
//
// The package does not send messages, write to disks, read clocks or start goroutines, and it does not depend on the
// purpose of the state machine.
//
// # Use
//
// The package has no side effects: events go in by method calls, effects come out as values. The shell
// (internal/router/node, or a simulation in the tests) creates a Replica from the state on its disk, and then repeats:
//
//	replica.Receive(from, message, now) // or Tick, Propose, Confirm, Saved, SaveFailed, Leave ...
//	for effects := replica.Effects(); len(effects) > 0; effects = replica.Effects() {
//		for _, effect := range effects {
//			switch e := effect.(type) {
//			case Send:    // send e.Message to e.To; it may be lost
//			case Save:    // write and sync in the order given, then call Saved or SaveFailed
//			case Publish: // e.Value is committed: show it to readers
//			case Answer:  // e.Decision is the result of the proposal or read with e.Token
//			}
//		}
//	}
//
// A Replica is not safe for concurrent use: the shell holds a lock around every call. Times are offsets of one monotonic
// clock of the process. A replica is deterministic: the same events in the same order have the same effects. It draws no
// random numbers, and it iterates over a map in the order of the keys wherever the order affects the outcome.
//
// # Concepts
//
// A view is an epoch, a primary, the in-sync set, and the members. The members vote on views as witnesses, and for this
// persist only the epoch that they promised and the view that they accepted last (HardState). The primary replicates
// entries to the in-sync set alone. There is no log that a majority replicates.
//
// A view comes into force by Paxos: the view is the value and its epoch is the proposal number. Between the two usual
// phases there is an additional one. A candidate runs all three (election.go, phases.go): it prepares (phase 1: a majority
// promises to follow no smaller epoch), syncs (it brings the replicas that promised to its own state; they become the
// in-sync set), and has the view accepted (phase 2, by a majority again). A replica with a disk outside the in-sync set
// is a learner: the primary catches it up while it goes on handling proposals.
//
// # Invariants
//
//  1. An entry is committed when every member of the in-sync set has it on its disk, under an epoch that none of
//     them has left. Only then is it published and its proposer answered. (TestGuards: without the disk, without the epoch
//     check, or with a subset of the in-sync set, entries get lost.)
//  2. A candidate needs promises of a majority of the members of the newest accepted view that it learns of. While a change
//     of members is not known to be in force, it also needs a majority of the previous members. It goes on only if it is
//     in that view's in-sync set.
//  3. All members of a view's in-sync set have the candidate's state on their disks before any witness is asked to accept
//     the view. The set has at least FaultTolerance+1 members.
//  4. A member is a disk. A machine that lost its disk comes back as another member, which has no vote until a view adds it.
//  5. Members change by one view that a majority of both the new and the previous members accepts. The previous members lose
//     their vote as soon as the view is known to be in force. A change that is not known to be in force is finished before
//     another one is built on it.
//  6. A newcomer replaces one member in one step, once it has nearly all of the primary's state.
//
// docs/design/control.md has the argument for each invariant, and the tests that fail without it.
//
// The seeds of the first start of the whole system decide the first view. Each has a vote under its address for this view
// alone, and only while the process, or the disk, is one of that first start.
package replication
