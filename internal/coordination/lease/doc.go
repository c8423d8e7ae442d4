// Package lease implements the lease service: the commands, the replicated state machine that applies them, and the expiry times that, with
// bounded clock drift, end a client's use of a lease before another session is granted the lease. It does no I/O, reads no clock, and
// depends neither on the log that orders the commands (package replica) nor on the transport. Its types are not safe for concurrent use.
//
// A session belongs to a client, which renews it by keep-alive requests. A lease is held by one session, or free; other sessions wait for
// it in a queue. Each grant has a fencing token, larger than the token of every earlier grant. The resource that the lease protects
// compares these tokens (package lease of the module's root: Guard).
//
// # No two holders
//
// Claim: at any moment at most one client considers itself the holder of a lease, as long as the rates of any two steady clocks differ by
// no more than MaxDrift. Below, moments are in true time, which no process knows, and a duration is measured by the clock that is
// named with it.
//
//  1. A grant ends only by a command in the log: Close, Release, Cancel and Transfer, which a client sends only when it no longer considers
//     itself the holder, or Expire and Free, which a leader proposes. (State.Apply; TestAnyCommands)
//  2. A client sends a keep-alive request at moment t and the leader grants the renewal. The client relies on the renewal until
//     t + TTL/(1+MaxDrift) by its own clock (ValidUntil). By any other clock this is at most TTL after t. (TestExploration: without the
//     margin there are two holders)
//  3. A leader proposes Expire only when TTL has passed by its clock since the last renewal that it granted, or since its term began
//     (Lessor). It grants a renewal only after a majority has confirmed, after the request arrived, that it still leads. (package replica;
//     TestExploration: without the confirmation there are two holders)
//  4. Consider a renewal that was requested at t and granted in a term, and an Expire of the same or a later term. In the same term the
//     leader counts the TTL from when it granted the renewal, which was after t. The leader of a later term was elected after the
//     confirmation of step 3, because the majority that confirmed and the majority that elected share a replica, which confirmed before it
//     voted. So the later leader was elected after t, and counts a complete TTL from its election or later. (NewLessor; TestExploration:
//     without the wait of a new leader there are two holders)
//  5. So an Expire is proposed only when TTL has passed since t by the leader's clock. By step 2 the client does not rely on the renewal any
//     more. Once Expire is proposed, the leader does not renew this session again (Lessor.Renewable). Before a later leader answers any
//     request, it has either applied the proposal, or the proposal is lost. (TestExploration: with a renewal after the proposal there are
//     two holders)
//  6. Grants are made in the order of the log, and a lease is granted only while no session holds it. (State.Apply)
//
// The claim covers only the time in which a client considers itself the holder. An operation of the client may take effect after its lease
// has expired, for example when the process is stopped between the check of the clock and the operation. Only the fencing token protects
// against that: a guard that has seen a newer token refuses an older one.
//
// A back-up may lack sessions whose clients are still alive. The state that is restored from it grants nothing until a leader has led for
// the longest TTL that a session may have. Its tokens are larger than every token that the old group can have granted.
package lease

import "time"

// MaxDrift is the largest difference between the rates of two steady clocks, as a fraction. Crystal oscillators keep within 0.0001, and the
// kernel slews a clock by at most 0.0005; 0.01 leaves room for virtual machines.
const MaxDrift = 0.01

// Instant is a reading of a steady clock: nanoseconds since an arbitrary origin of that clock. Readings of two clocks are never compared.
type Instant time.Duration

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// ValidUntil returns the instant until which a client may rely on a grant of length ttl. requestedAt is when the client sent the request.
// Both instants are of the client's own clock.
func ValidUntil(requestedAt Instant, ttl time.Duration) Instant {
	return requestedAt.Add(time.Duration(float64(ttl) / (1 + MaxDrift)))
}

// The limits of commands and of the state.
const (
	MinTTL = 100 * time.Millisecond
	MaxTTL = 10 * time.Minute

	MaxNameBytes     = 200
	MaxSessionLeases = 20_000  // leases that one session holds or waits for
	MaxWaiters       = 4_000   // sessions that wait for one lease
	MaxSessions      = 100_000 // sessions that exist at the same time
)
