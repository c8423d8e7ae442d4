package placement

import (
	"math"
	"time"
)

const (
	readingFor     = 30 * time.Second       // after which what was seen counts for a third
	readingLeast   = 30                     // prompts, before anything is said of them
	readingUnknown = 3 * time.Microsecond   // a token, until then: a third of a million tokens a second
	readingFastest = 100 * time.Nanosecond  // beyond these it is no reading that was seen
	readingSlowest = 500 * time.Microsecond // ...
)

// reading is how long the servers of a pool take to read a token more, from how the time to a first part grows with the tokens of prompts: a
// line through what was seen, of which what all prompts wait for is no part.
type reading struct {
	count, tokens, took, squares, products float64
	at                                     time.Duration
}

// note takes in a prompt of so many unread tokens, and the time to its first part.
func (r *reading) note(tokens float64, took, now time.Duration) {
	fade := math.Exp(-float64(now-r.at) / float64(readingFor))
	r.at = now
	y := float64(took)
	r.count = r.count*fade + 1
	r.tokens = r.tokens*fade + tokens
	r.took = r.took*fade + y
	r.squares = r.squares*fade + tokens*tokens
	r.products = r.products*fade + tokens*y
}

// perToken is the line's slope.
func (r *reading) perToken() time.Duration {
	spread := r.count*r.squares - r.tokens*r.tokens
	if r.count < readingLeast || spread <= 0 {
		return readingUnknown
	}
	slope := time.Duration((r.count*r.products - r.tokens*r.took) / spread)
	return min(readingSlowest, max(readingFastest, slope))
}

// ObservePrefill takes in that a server sent the first part of an answer: after a time, to a prompt of so many tokens that were not kept.
func (p *Pool) ObservePrefill(tokens float64, took, now time.Duration) {
	if tokens > 0 {
		p.reading.note(tokens, took, now)
	}
}

// pauseTokens is how many tokens the servers read in the longest pause that long answers may have; infinitely many where none has a bound.
func (p *Pool) pauseTokens() float64 {
	if p.pause == 0 {
		return math.Inf(1)
	}
	return float64(p.pause) / float64(p.reading.perToken())
}
