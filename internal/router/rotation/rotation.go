// Package rotation is the design's choice among the servers of a pool: each has a multiplier that errors lower and time
// and success restore, and smooth weighted round robin goes by 100 × multiplier. It is pure.
//
// The multiplier is clamp(0.5, 1, 1 − 0.1 × errors × decay), decay = exp(−ln2 × (now − last error) / half-life), with the
// errors in a row since the last success. A server that cannot be reached rests besides: a multiplier alone would go
// on sending it half of what others get.
package rotation

import (
	"math"
	"time"
)

// The figures of the design.
const (
	halfLife   = 10 * time.Minute
	slope      = 0.1
	floor      = 0.5
	baseWeight = 100.0

	restFirst = 250 * time.Millisecond
	restMost  = 4 * time.Second
	strikes   = 3 // errors in a row after which a server that can be reached rests too
)

// Health is what a sidecar's own sends say of one server.
type Health struct {
	errors    int
	last      time.Duration
	rests     int
	restUntil time.Duration
}

// Multiplier is m.
func (h *Health) Multiplier(now time.Duration) float64 {
	if h.errors == 0 {
		return 1
	}
	decay := math.Exp(-math.Ln2 * float64(now-h.last) / float64(halfLife))
	return math.Min(1, math.Max(floor, 1-slope*float64(h.errors)*decay))
}

// Weight is the server's weight in the rotation.
func (h *Health) Weight(now time.Duration) float64 { return baseWeight * h.Multiplier(now) }

// Success resets the errors in a row.
func (h *Health) Success() { h.errors, h.rests, h.restUntil = 0, 0, 0 }

// Failure counts an error; a server that could not be reached rests at once.
func (h *Health) Failure(now time.Duration, unreachable bool) {
	h.errors++
	h.last = now
	if now < h.restUntil || !unreachable && h.errors < strikes {
		return
	}
	h.restUntil = now + min(restMost, restFirst<<min(h.rests, 6))
	h.rests++
}

// TimedOut counts an error of a server that did not answer in time. It does not rest for that: where all servers are slow, those that
// are asked least would be asked least of all.
func (h *Health) TimedOut(now time.Duration) {
	h.errors++
	h.last = now
}

// CoolingDown reports whether the server is left alone for now.
func (h *Health) CoolingDown(now time.Duration) bool { return now < h.restUntil }

// CurrentWeight is one server's running value in smooth weighted round robin.
type CurrentWeight struct{ running float64 }

// Seed sets the running value at the start to a part, 0 to 1, of a server's weight: many that begin at the same time with the same
// servers then do not all begin with the same one.
func (t *CurrentWeight) Seed(part float64) { t.running = part * baseWeight }

// Candidate is a server that takes part in a pick.
type Candidate struct {
	Current *CurrentWeight
	Weight  float64
}

// Pick grows each running value by its weight; the largest wins and loses the sum. It returns -1 for no candidates.
func Pick(candidates []Candidate) int {
	best, total := -1, 0.0
	for i, c := range candidates {
		c.Current.running += c.Weight
		total += c.Weight
		if best < 0 || c.Current.running > candidates[best].Current.running {
			best = i
		}
	}
	if best >= 0 {
		candidates[best].Current.running -= total
	}
	return best
}
