// Package reuse estimates how long a connection to a server may have been idle and still be used for a request. It learns from
// the ends of exchanges. Servers, and network devices between the sidecar and the servers, close idle connections after a time
// that the sidecar does not know. A request that is written to such a connection fails with a reset: the server may have executed
// the request, so an unsafe request cannot be retried.
//
// The package performs no I/O and reads no clock: its caller passes idle times, results and the current time, and gets a limit.
// It does not distinguish servers, because devices on the network are common to all of them, and because a sidecar with little
// traffic would learn about each server too late.
//
// Invariants: if connections do not break more often after having been idle, there is no limit; observations decay, so that
// longer idle times are tried again when the cause of a limit may have gone; the limit is never below firstBucket.
package reuse

import (
	"math"
	"time"
)

const (
	// firstBucket is the end of the first bucket of idle times. Each further bucket ends at twice the end of the previous one;
	// the last has no end.
	firstBucket = time.Millisecond
	bucketCount = 16
	// halfLife is the time in which the weight of an observation halves. Faults of this kind last for seconds.
	halfLife = 10 * time.Second
	// decayStep is the minimum time between two decays. The limit is computed for each use of a connection, and need not decay
	// each time.
	decayStep = halfLife / 20
	// tolerance is the accepted difference between the probability that a connection breaks and the same probability for
	// connections that were idle for a shorter time. If a connection breaks, an unsafe request fails; but a new connection costs
	// one or two round trips and some work of the server.
	tolerance = 0.05
	// minDeviations is the number of standard deviations by which the breaks must exceed the expected number of breaks. It is
	// high because all buckets are tested for each use of a connection.
	minDeviations = 3
)

// Unlimited is the limit if a connection may have been idle for any time.
const Unlimited = time.Duration(math.MaxInt64)

// Fresh is the idle time of a connection that carries its first request.
const Fresh = time.Duration(-1)

// Estimator holds the observations from which MaxIdle is computed. Its zero value has no observations. It is not safe for
// concurrent use. The times given to its methods must not decrease.
type Estimator struct {
	fresh     tally
	buckets   [bucketCount]tally
	lastDecay time.Time
}

// tally holds decayed counts of the uses of connections, and of the uses during which the connection broke.
type tally struct{ uses, breaks float64 }

// add counts one use.
func (t *tally) add(broke bool) {
	t.uses++
	if broke {
		t.breaks++
	}
}

// Record adds an exchange on a connection that had been idle for idleTime, or Fresh; broke is whether the connection broke during
// the exchange. Cancelled exchanges say nothing about the connection and must not be recorded.
func (e *Estimator) Record(now time.Time, idleTime time.Duration, broke bool) {
	e.decay(now)
	if idleTime < 0 {
		e.fresh.add(broke)
	} else {
		e.buckets[bucketOf(idleTime)].add(broke)
	}
}

// MaxIdle returns how long a connection may have been idle to be used now.
func (e *Estimator) MaxIdle(now time.Time) time.Duration {
	e.decay(now)
	shorter := e.fresh
	for i := range e.buckets {
		bucket := e.buckets[i]
		rate := shorter.breaks / math.Max(shorter.uses, 1)
		excess, deviation := bucket.breaks-rate*bucket.uses, math.Sqrt(rate*(1-rate)*bucket.uses+1)
		if i > 0 && excess > tolerance*bucket.uses && excess > minDeviations*deviation { // longer idle times are excluded too
			return firstBucket << (i - 1)
		}
		shorter.uses += bucket.uses
		shorter.breaks += bucket.breaks
	}
	return Unlimited
}

// bucketOf returns the bucket of an idle time: 0 below firstBucket, 1 below twice that, and so on.
func bucketOf(idleTime time.Duration) int {
	i := 0
	for i < bucketCount-1 && idleTime >= firstBucket<<i {
		i++
	}
	return i
}

// decay reduces the weight of earlier observations, in steps.
func (e *Estimator) decay(now time.Time) {
	passed := now.Sub(e.lastDecay)
	if passed < decayStep {
		return
	}
	e.lastDecay = now
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	e.fresh.decay(factor)
	for i := range e.buckets {
		e.buckets[i].decay(factor)
	}
}

// decay multiplies the counts by factor.
func (t *tally) decay(factor float64) {
	t.uses *= factor
	t.breaks *= factor
}
