// Package replication keeps one small state machine on the disks of the core members, by primary-backup replication. It
// answers three questions: who is the primary, whose disks hold everything that was acknowledged, and what is
// committed.
//
// It does not send messages, write to disks, read clocks or start goroutines, and it does not know what the state
// machine is for.
//
// # Use
//
// The package is a pure core: events go in by method calls, effects come out as values. The shell
// (internal/router/node, or a simulation in the tests) makes a Replica from what its disk holds, and then repeats:
//
//	replica.Receive(from, message, now) // or Tick, Propose, Confirm, Saved, SaveFailed, Leave ...
//	for effects := replica.Effects(); len(effects) > 0; effects = replica.Effects() {
//		for _, effect := range effects {
//			switch e := effect.(type) {
//			case Send:    // send e.Message to e.To; it may be lost
//			case Save:    // write and sync in the order given, then call Saved or SaveFailed
//			case Publish: // e.Value is committed: show it to readers
//			case Answer:  // the proposal or read with e.Token has ended
//			}
//		}
//	}
//
// A Replica is not safe for concurrent use: the shell holds a lock around every call. Times are offsets of one steady
// clock of the process. What a replica does follows from its events alone, in their order: it draws no random numbers,
// and it iterates over maps in the order of their keys where the order shows.
//
// # Concepts
//
// A view is an epoch, a primary, the in-sync set, and the members. Views are decided by the members as witnesses, who
// persist no more for this than the epoch they promised and the view they accepted last (HardState). Data goes from the
// primary to the in-sync set alone. There is no log that a majority replicates.
//
// A view comes into force by Paxos, of which it is the value and its epoch the proposal number, with a phase of its own
// between the two usual ones. A candidate runs them (election.go, phases.go): it prepares (phase 1: a majority promises
// to follow no smaller epoch), syncs (those that promised are brought to its state and become the in-sync set), and has
// the view accepted (phase 2, by a majority again). A replica with a disk outside the in-sync set is a learner:
// the primary catches it up beside its other work.
//
// # Invariants
//
//  1. An entry is committed when every member of the in-sync set has it on its disk, under an epoch that none of
//     them has left. Only then is it published and its proposer answered. (TestGuards: without the disk, without the epoch
//     check, or with a subset of the in-sync set, entries get lost.)
//  2. A candidate needs promises of a majority of the members of the newest accepted view that it learns of (and of the members
//     before, while both have to agree), and goes on only if it is in that view's in-sync set.
//  3. A view's in-sync set has the candidate's state on its disks before any witness is asked to accept the view; it
//     has at least FaultTolerance+1 members.
//  4. A member is a disk. A machine that lost its disk comes back as another member, without a vote, until a view takes it in.
//  5. Members change by one view that both sets of members accept; those before do not count any more as soon as the view is known
//     to be in force. A change that is not known to be in force is finished before another one is built on it.
//  6. A newcomer replaces one member in one step, once it has nearly all of the primary's state.
//
// docs/design/control.md has the argument for each, and the tests that fail without it.
//
// The first view is decided by the seeds of the first start of the whole system. They hold a vote that is named by
// their address, for this view alone, and only in a process or with a disk of that first start.
package replication
