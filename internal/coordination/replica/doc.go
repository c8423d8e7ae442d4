// Package replica is one of the 1, 3 or 5 replicas that keep the coordinators' commands in one order: those of leases, rolling changes,
// limits and configuration versions. Core is the replica as a deterministic state machine around a raft log: ticks, messages of peers and
// requests go in; what to persist, what to send and the responses come out. It has no goroutine, no clock, no socket and no disk, so that
// complete groups run in virtual time from one seed. Package disk persists what Core returns, package fleet is the process around it.
// A Core belongs to one goroutine.
//
// The owner of a Core calls Tick at a fixed interval, Step with each message of a peer and Submit with each request of a client. After any
// of them it takes what Ready returns, persists it, sends its messages and calls Advance, until Ready returns nothing.
//
// The log is go.etcd.io/raft/v3. Three things differ from its usual use. The election time-out is drawn from a source of random numbers that
// the owner supplies (Options.Rand), because raft's own cannot be seeded. A leader confirms that a session lives only after a majority has
// confirmed, after the request came, that it leads (a read index). Its lessor and its allocators begin once it has applied an entry of
// its own term.
//
// Invariants: what a Ready asks to persist is durable before its messages are sent and before any request is answered from it. A positive
// response is given by a leader, from a state that holds everything that was committed when the request came. A replica that loses the
// leadership answers what is pending with ErrLeaderChanged, which says that the request may have been carried out.
package replica

import "errors"

// Errors of a Response. With all of them but ErrLeaderChanged nothing was done.
//
// The texts are sent to clients; ErrMembershipChangePending has a code beside it (package fleet), and earlier clients recognize it by its text.
var (
	// ErrNotLeader says that another replica leads; Response.Leader says which, if it is known.
	ErrNotLeader = errors.New("another replica leads")
	// ErrNoLeader says that no majority is in reach of this replica.
	ErrNoLeader = errors.New("no replica leads: a majority is out of reach")
	// ErrLeaderChanged says that the leadership was lost before the request was answered: it may have been carried out.
	ErrLeaderChanged = errors.New("the leader has changed: the request may have been carried out")
	// ErrBusy says that too many requests are pending.
	ErrBusy = errors.New("too many requests are pending")
	// ErrMembershipChangePending says that one change of the membership has to end before the next.
	ErrMembershipChangePending = errors.New("a change of the replicas is on its way")
)
