// Package lease is who holds what: commands, the state that they act on, and the bounds of clocks that make a holder stop before
// another may begin. It is pure. It does no I/O, reads no clock and knows neither the log that keeps the commands in order (package
// replica) nor what carries them.
//
// A session is a client that says now and then that it lives. A lease is held by a session, or free; sessions wait for it in a
// queue. Each grant has a token, larger than every one before it, that what is guarded by the lease compares (package lease of the
// module's root: Guard).
//
// # No two holders
//
// Claim: at any moment at most one session believes that it holds a lease, as long as any two steady clocks differ in rate by no
// more than Drift. True time is not known to anybody; below, each moment is one of true time and each length is measured by the
// clock that is named.
//
//  1. A session is gone, and its leases free, only by a command in the log: Close, Release and Transfer, which its client sends
//     after it has stopped to believe, or Expire and Free, which come from a leader. (State.Apply; TestAnyCommands)
//  2. A client that asked at a and was told yes believes until a + TTL/(1+Drift) by its clock (Until), hence in true time for less
//     than TTL by any other clock, counted from a. (TestExploration: without the margin two hold)
//  3. A leader proposes Expire only when TTL has passed by its clock since the last yes that it gave, or since it began to lead
//     (Clock). It says yes only after a majority has confirmed, after the question came, that it still led. (package replica;
//     TestExploration: without the confirmation two hold)
//  4. Take a yes to a question of moment a, given in a term, and an Expire of a later or the same term. In the same term the leader
//     counted from when it answered, after a. In a later term the later leader was elected after the confirmation, for the two
//     majorities share a replica that had not yet voted for it, hence after a; and it counts a whole TTL from then or later.
//     (Clock.Lead; TestExploration: without the wait of a new leader two hold)
//  5. So an Expire is proposed after a + TTL by the leader's clock, which by 2 is after the client has stopped to believe. Once it
//     is proposed the leader says yes to this session no more (Clock.Alive), and a leader that follows has applied or lost it before it
//     says anything. (TestExploration: with a yes after it two hold)
//  6. What a lease is granted by is the log's order, and a grant is made only where nobody holds. (State.Apply)
//
// The claim is of what sessions believe. What one of them does may arrive later than it believes, or be done by a process that was
// stopped between its look at the clock and its act. Against that nothing helps but the token: a guard that has seen a newer one
// refuses.
//
// A restore from a back-up may lack sessions that still believe. The state that comes of it grants nothing (State.Embargo) until a
// leader has led for the longest TTL that a session may have, and its tokens begin beyond all that the old group can have given.
package lease

import "time"

// MaxDrift is by how much the rates of two steady clocks may differ, as a part. Crystals keep to 0.0001, and the kernel slews by
// 0.0005 at most; 0.01 leaves room for machines that are virtual.
const MaxDrift = 0.01

// Instant is a reading of a steady clock, counted from any start. Readings of two clocks are never compared.
type Instant time.Duration

// Add is an instant some time later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub is the time from another instant to this one.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// ValidUntil is the end of what a client may believe that asked at an instant and was told yes.
func ValidUntil(asked Instant, ttl time.Duration) Instant {
	return asked.Add(time.Duration(float64(ttl) / (1 + MaxDrift)))
}

// The bounds of what is asked for.
const (
	MinTTL, MaxTTL   = 100 * time.Millisecond, 10 * time.Minute
	MaxNameBytes     = 200     // bytes
	MaxSessionLeases = 20_000  // leases that one session holds or waits for
	MaxWaiters       = 4_000   // sessions that wait for one lease
	MaxSessions      = 100_000 // at one time
)
