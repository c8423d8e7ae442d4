// Package replica implements one of the 1, 3 or 5 replicas that keep the coordinators' commands in one total order: the commands
// for leases, rolling changes, limits and configuration versions. Core is a deterministic state machine around a raft log. Its
// inputs are ticks, messages from peers and requests from clients; its outputs are the state to persist, the messages to send and
// the responses. It has no goroutine, no clock, no socket and no disk, so a test can run a complete group in virtual time from
// one seed. Package disk persists what Core returns; package fleet is the process around it. A Core belongs to one goroutine.
//
// The owner of a Core calls Tick at a fixed interval, Step with each message from a peer and Submit with each request from a
// client. After each of these calls it repeats the following until Ready returns nothing: take the Ready, persist its state, send
// its messages and call Advance.
//
// The log is go.etcd.io/raft/v3. Three things differ from its usual use:
//   - The election time-out is drawn from a source of random numbers that the owner supplies (Options.Rand), because raft's own
//     source cannot be seeded.
//   - A leader renews a session only after a majority has confirmed its leadership by a read index that was requested after the
//     keep-alive request arrived.
//   - A leader starts its lessor and its allocators once it has applied an entry of its own term.
//
// Invariants: the state of a Ready is durable before its messages are sent and before any request is answered from it. Only a
// leader gives a positive response, from a state that holds everything that was committed when the request arrived. A replica
// that loses the leadership answers all pending requests with ErrLeaderChanged: each of them may have been carried out.
package replica

import "errors"

// Errors of a Response. After any of them except ErrLeaderChanged, the request has had no effect.
//
// The texts are sent to clients. ErrMembershipChangePending is sent with a code as well (package fleet), but clients of earlier
// versions recognize it by its text.
var (
	// ErrNotLeader is returned where another replica leads; Response.Leader is its id, or 0 if it is not known.
	ErrNotLeader = errors.New("another replica leads")
	// ErrNoLeader is returned where no leader is known, or a majority has not confirmed this replica's leadership in time.
	ErrNoLeader = errors.New("no replica leads: a majority is out of reach")
	// ErrLeaderChanged is returned where this replica lost the leadership before the request was answered. The request may have been
	// carried out.
	ErrLeaderChanged = errors.New("the leader has changed: the request may have been carried out")
	// ErrBusy is returned where too many requests are pending, or raft does not accept the command.
	ErrBusy = errors.New("too many requests are pending")
	// ErrMembershipChangePending is returned while another membership change is not applied yet, or the leader is not ready for one.
	ErrMembershipChangePending = errors.New("a change of the replicas is on its way")
)
