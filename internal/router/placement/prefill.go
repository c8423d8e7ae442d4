package placement

import (
	"math"
	"time"
)

const (
	prefillTimeConstant = 30 * time.Second       // after which a sample's weight is a third
	minPrefillSamples   = 30                     // samples, before they are used
	defaultPrefillTime  = 3 * time.Microsecond   // a token, until then: a third of a million tokens a second
	minPrefillTime      = 100 * time.Nanosecond  // a shorter or longer time a token
	maxPrefillTime      = 500 * time.Microsecond // is not a prefill that was measured
)

// prefillEstimate is how long the servers of a pool take to read a token more of a prompt. It fits a line to the time
// to the first part of an answer, by the tokens of the prompt, with exponentially fading samples: the slope does not
// contain what all prompts wait for alike.
type prefillEstimate struct {
	count, tokens, time, squares, products float64 // the fit's sums
	updatedAt                              time.Duration
}

// add adds a sample: a prompt with this many tokens to read, and the time to the first part of its answer.
func (e *prefillEstimate) add(tokens float64, took, now time.Duration) {
	fade := math.Exp(-float64(now-e.updatedAt) / float64(prefillTimeConstant))
	e.updatedAt = now
	y := float64(took)
	e.count = e.count*fade + 1
	e.tokens = e.tokens*fade + tokens
	e.time = e.time*fade + y
	e.squares = e.squares*fade + tokens*tokens
	e.products = e.products*fade + tokens*y
}

// perToken is the slope of the line.
func (e *prefillEstimate) perToken() time.Duration {
	spread := e.count*e.squares - e.tokens*e.tokens
	if e.count < minPrefillSamples || spread <= 0 {
		return defaultPrefillTime
	}
	slope := time.Duration((e.count*e.products - e.tokens*e.time) / spread)
	return min(maxPrefillTime, max(minPrefillTime, slope))
}

// ObservePrefill records that a server sent the first part of an answer after a time, to a prompt with this many tokens
// that were not cached.
func (p *Pool) ObservePrefill(tokens float64, took, now time.Duration) {
	if tokens > 0 {
		p.prefillTime.add(tokens, took, now)
	}
}

// tokensPerGap is how many tokens the servers read within the gap target of long answers; infinitely many where
// there is no target.
func (p *Pool) tokensPerGap() float64 {
	if p.maxGap == 0 {
		return math.Inf(1)
	}
	return float64(p.maxGap) / float64(p.prefillTime.perToken())
}
