// Package lease says which session holds which lease: the commands, the state that they act on, and the bounds on clocks that make a
// holder stop before another one may begin. It is pure: it does no I/O, reads no clock, and knows neither the log that keeps the commands
// in order (package replica) nor the transport. Its types are not safe for concurrent use.
//
// A session is a client that renews itself now and then. A lease is held by one session, or free; other sessions wait for it in a queue.
// Each grant has a fencing token, larger than every one before it, which the resource that the lease protects compares (package lease of
// the module's root: Guard).
//
// # No two holders
//
// Claim: at any moment at most one session believes that it holds a lease, as long as any two steady clocks differ in rate by no
// more than MaxDrift. True time is not known to anybody; below, each moment is one of true time and each length is measured by the
// clock that is named.
//
//  1. A session ends, and its leases become free, only by a command in the log: Close, Release and Transfer, which its client sends
//     after it has stopped to believe, or Expire and Free, which come from a leader. (State.Apply; TestAnyCommands)
//  2. A client whose keep-alive request, sent at a, was granted believes until a + TTL/(1+MaxDrift) by its clock (ValidUntil), hence in
//     true time for less than TTL by any other clock, counted from a. (TestExploration: without the margin two hold)
//  3. A leader proposes Expire only when TTL has passed by its clock since the last renewal that it granted, or since it began to lead
//     (Lessor). It grants a renewal only after a majority has confirmed, after the request came, that it still led. (package replica;
//     TestExploration: without the confirmation two hold)
//  4. Take a renewal that was requested at a and granted in a term, and an Expire of the same or a later term. In the same term the
//     leader counted from when it granted, after a. In a later term the later leader was elected after the confirmation, for the two
//     majorities share a replica that had not yet voted for it, hence after a; and it counts a complete TTL from then or later.
//     (NewLessor; TestExploration: without the wait of a new leader two hold)
//  5. So an Expire is proposed after a + TTL by the leader's clock, which by 2 is after the client has stopped to believe. Once it
//     is proposed the leader renews this session no more (Lessor.Renewable), and a leader that follows has applied or lost it before it
//     answers anything. (TestExploration: with a renewal after it two hold)
//  6. The order of grants is that of the log, and a lease is granted only while nobody holds it. (State.Apply)
//
// The claim is about what sessions believe. What one of them does may take effect later than it believes, or be done by a process that
// was stopped between its check of the clock and its act. Against that only the token helps: a guard that has seen a newer one refuses.
//
// A restore from a back-up may lack sessions that still believe. The state that is made of it grants nothing until a
// leader has led for the longest TTL that a session may have, and its tokens begin beyond all that the old group can have granted.
package lease

import "time"

// MaxDrift is by how much the rates of two steady clocks may differ, as a fraction. Crystals keep to 0.0001, and the kernel slews by
// 0.0005 at most; 0.01 leaves room for virtual machines.
const MaxDrift = 0.01

// Instant is a reading of a steady clock: nanoseconds since a moment that the clock has chosen. Readings of two clocks are never compared.
type Instant time.Duration

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// ValidUntil returns until when, by its clock, a client may believe in what was granted for a TTL upon a request that it sent at
// requestedAt.
func ValidUntil(requestedAt Instant, ttl time.Duration) Instant {
	return requestedAt.Add(time.Duration(float64(ttl) / (1 + MaxDrift)))
}

// The bounds of a request.
const (
	MinTTL = 100 * time.Millisecond
	MaxTTL = 10 * time.Minute

	MaxNameBytes     = 200
	MaxSessionLeases = 20_000  // that one session holds or waits for
	MaxWaiters       = 4_000   // sessions that wait for one lease
	MaxSessions      = 100_000 // at one time
)
