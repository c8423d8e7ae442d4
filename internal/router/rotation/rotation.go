// Package rotation is the design's choice among the servers of a set: each has a multiplier that errors lower and that
// time and success restore, and smooth weighted round robin with the weight 100 × multiplier. It is pure; a value is
// for one goroutine at a time.
//
// The multiplier is clamp(0.5, 1, 1 − 0.1 × errors × decay), decay = exp(−ln2 × (now − last error) /
// half-life), with the consecutive errors since the last success. A server that cannot be reached is in cooldown
// besides: the multiplier alone would go on sending it half of what others get.
//
// The sidecar's decisions (package balance) have the same mechanism, with figures and neighbours of their own: errors
// there have a half-life of 5 s, for faults that last seconds, and the weight also reflects slow start, learned sizes
// and subsets. The two are kept apart, since what they could share is the multiplier and one step of the round robin
// (docs/ROADMAP.md).
package rotation

import (
	"math"
	"time"
)

// The figures of the design.
const (
	errorHalfLife = 10 * time.Minute
	errorStep     = 0.1 // by which an error lowers the multiplier
	minMultiplier = 0.5
	baseWeight    = 100.0

	initialCooldown    = 250 * time.Millisecond // doubled with each one that follows without a success
	maxCooldown        = 4 * time.Second
	failuresToCooldown = 3 // consecutive errors after which a server that can be reached has a cooldown too
)

// Health is what a router's own requests show of one server. The zero value is a healthy server. Times are on the
// steady clock of the caller.
type Health struct {
	errors        int // since the last success
	lastError     time.Duration
	cooldowns     int // since the last success
	cooldownUntil time.Duration
}

// Multiplier returns the factor of the server's weight, from minMultiplier to 1.
func (h *Health) Multiplier(now time.Duration) float64 {
	if h.errors == 0 {
		return 1
	}
	decay := math.Exp(-math.Ln2 * float64(now-h.lastError) / float64(errorHalfLife))
	return math.Min(1, math.Max(minMultiplier, 1-errorStep*float64(h.errors)*decay))
}

// Weight returns the server's weight in the rotation, from 50 to 100.
func (h *Health) Weight(now time.Duration) float64 { return baseWeight * h.Multiplier(now) }

// Success resets the errors, and ends a cooldown.
func (h *Health) Success() { h.errors, h.cooldowns, h.cooldownUntil = 0, 0, 0 }

// Failure counts an error; for a server that could not be reached a cooldown begins at once.
func (h *Health) Failure(now time.Duration, unreachable bool) {
	h.errors++
	h.lastError = now
	if now < h.cooldownUntil || !unreachable && h.errors < failuresToCooldown {
		return
	}
	const maxDoublings = 6 // more would exceed maxCooldown by far, and at some point the range of a duration
	h.cooldownUntil = now + min(maxCooldown, initialCooldown<<min(h.cooldowns, maxDoublings))
	h.cooldowns++
}

// TimedOut counts an error of a server that did not answer in time. It begins no cooldown: where all servers are slow,
// the ones with the fewest requests would then get the fewest.
func (h *Health) TimedOut(now time.Duration) {
	h.errors++
	h.lastError = now
}

// CoolingDown reports whether the server is in cooldown: it is used only where no other one is left.
func (h *Health) CoolingDown(now time.Duration) bool { return now < h.cooldownUntil }

// CurrentWeight is one server's current weight in smooth weighted round robin: the running value that Pick raises and
// lowers. It belongs to one server of one set of candidates.
type CurrentWeight struct{ value float64 }

// Seed sets the initial value to a fraction, 0 to 1, of a server's weight: routers that start at the same time with the
// same servers then do not all begin with the same one.
func (w *CurrentWeight) Seed(fraction float64) { w.value = fraction * baseWeight }

// Candidate is a server that takes part in a pick.
type Candidate struct {
	Current *CurrentWeight
	Weight  float64
}

// Pick does one step of smooth weighted round robin: it adds each candidate's weight to its current weight, and returns
// the index of the largest, from which the sum of the weights is subtracted. It returns -1 for no candidates.
func Pick(candidates []Candidate) int {
	best, total := -1, 0.0
	for i, c := range candidates {
		c.Current.value += c.Weight
		total += c.Weight
		if best < 0 || c.Current.value > candidates[best].Current.value {
			best = i
		}
	}
	if best >= 0 {
		candidates[best].Current.value -= total
	}
	return best
}
