// Package rotation picks one of a set of servers by smooth weighted round robin. The weight of a server is
// 100 × multiplier, where errors lower the multiplier and time and success restore it. The package performs no I/O
// and reads no clock. Its values must not be used by two goroutines at the same time.
//
// The multiplier is clamp(0.5, 1, 1 − 0.1 × errors × decay), where errors is the number of errors since the last success
// and decay = exp(−ln2 × (now − last error) / half-life). A server that cannot be reached is also put in cooldown,
// because the multiplier alone would still send it half as many requests as the others get.
//
// The sidecar (package balance) uses the same mechanism with other constants: errors have a half-life of 5 s there, for
// faults that last seconds, and the weight also depends on slow start, learned sizes and subsets. The two
// implementations are separate since they could share no more than the multiplier and one step of the round robin
// (docs/ROADMAP.md).
package rotation

import (
	"math"
	"time"
)

const (
	errorHalfLife = 10 * time.Minute
	errorStep     = 0.1 // the amount by which one error lowers the multiplier
	minMultiplier = 0.5
	baseWeight    = 100.0 // the weight of a server without errors

	initialCooldown    = 250 * time.Millisecond // doubled for each further cooldown without a success in between
	maxCooldown        = 4 * time.Second
	failuresToCooldown = 3 // consecutive errors after which a cooldown begins although the server can be reached
)

// Health is the state of one server as observed by a router's own requests. The zero value is a healthy server. Times
// are readings of the caller's monotonic clock.
type Health struct {
	errors        int // since the last success
	lastError     time.Duration
	cooldowns     int // since the last success
	cooldownUntil time.Duration
}

// Multiplier returns the health factor of the server's weight, from minMultiplier to 1.
func (h *Health) Multiplier(now time.Duration) float64 {
	if h.errors == 0 {
		return 1
	}
	decay := math.Exp(-math.Ln2 * float64(now-h.lastError) / float64(errorHalfLife))
	return math.Min(1, math.Max(minMultiplier, 1-errorStep*float64(h.errors)*decay))
}

// Weight returns the server's weight in the round robin, from 50 to 100.
func (h *Health) Weight(now time.Duration) float64 { return baseWeight * h.Multiplier(now) }

// Success records a successful request: it resets the errors and ends a cooldown.
func (h *Health) Success() { h.errors, h.cooldowns, h.cooldownUntil = 0, 0, 0 }

// Failure records an error. A cooldown begins at once if the server could not be reached, and otherwise once there are
// failuresToCooldown consecutive errors. An error during a cooldown does not extend it.
func (h *Health) Failure(now time.Duration, unreachable bool) {
	h.errors++
	h.lastError = now
	if now < h.cooldownUntil || !unreachable && h.errors < failuresToCooldown {
		return
	}
	const maxDoublings = 6 // more would exceed maxCooldown by far, and eventually overflow a Duration
	h.cooldownUntil = now + min(maxCooldown, initialCooldown<<min(h.cooldowns, maxDoublings))
	h.cooldowns++
}

// TimedOut records an error of a server that did not answer in time. It begins no cooldown: if all servers are slow,
// cooldowns would take requests away from the servers that already have the fewest.
func (h *Health) TimedOut(now time.Duration) {
	h.errors++
	h.lastError = now
}

// CoolingDown reports whether the server is in cooldown and should be used only if no other server is left.
func (h *Health) CoolingDown(now time.Duration) bool { return now < h.cooldownUntil }

// CurrentWeight is a server's current weight in smooth weighted round robin: the running value that Pick raises and
// lowers. Each server has its own. The zero value is ready to use.
type CurrentWeight struct{ value float64 }

// Seed sets the initial value to a fraction, 0 to 1, of a server's full weight. With random fractions, routers that
// start at the same time with the same servers do not all pick the same server first.
func (w *CurrentWeight) Seed(fraction float64) { w.value = fraction * baseWeight }

// Candidate is a server among which Pick chooses.
type Candidate struct {
	Current *CurrentWeight
	Weight  float64
}

// Pick does one step of smooth weighted round robin: it adds each candidate's weight to its current weight, subtracts
// the sum of the weights from the largest current weight, and returns the index of that candidate. It returns -1 if
// there are no candidates.
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
