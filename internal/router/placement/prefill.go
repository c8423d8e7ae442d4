package placement

import (
	"math"
	"time"
)

const (
	prefillTimeConstant = 30 * time.Second       // a sample's weight falls to 1/e in this time
	minPrefillSamples   = 30                     // sum of the samples' weights from which the estimate is used
	defaultPrefillTime  = 3 * time.Microsecond   // per token, until then: a third of a million tokens per second
	minPrefillTime      = 100 * time.Nanosecond  // lower bound of the estimate per token: anything shorter is a measurement error
	maxPrefillTime      = 500 * time.Microsecond // upper bound of the estimate per token: anything longer is a measurement error
)

// prefillEstimate estimates the prefill time per prompt token at the servers of a pool. It is a linear regression of the
// time to the first part of the answer over the tokens of the prompt; the weights of the samples decay exponentially.
// The slope excludes delays that all prompts have in common.
type prefillEstimate struct {
	sumWeights, sumTokens, sumTimeNs, sumTokensSquared, sumTokensTimeNs float64 // weighted sums of the regression
	updatedAt                                                           time.Duration
}

// add adds a sample: the uncached tokens of a prompt, and the time to the first part of its answer.
func (e *prefillEstimate) add(tokens float64, elapsed, now time.Duration) {
	decay := math.Exp(-float64(now-e.updatedAt) / float64(prefillTimeConstant))
	e.updatedAt = now
	elapsedNs := float64(elapsed)
	e.sumWeights = e.sumWeights*decay + 1
	e.sumTokens = e.sumTokens*decay + tokens
	e.sumTimeNs = e.sumTimeNs*decay + elapsedNs
	e.sumTokensSquared = e.sumTokensSquared*decay + tokens*tokens
	e.sumTokensTimeNs = e.sumTokensTimeNs*decay + tokens*elapsedNs
}

// perToken returns the estimated prefill time per token: the slope of the regression line, within bounds, or
// defaultPrefillTime if there are too few samples.
func (e *prefillEstimate) perToken() time.Duration {
	denominator := e.sumWeights*e.sumTokensSquared - e.sumTokens*e.sumTokens
	if e.sumWeights < minPrefillSamples || denominator <= 0 {
		return defaultPrefillTime
	}
	slope := time.Duration((e.sumWeights*e.sumTokensTimeNs - e.sumTokens*e.sumTimeNs) / denominator)
	return min(maxPrefillTime, max(minPrefillTime, slope))
}

// ObservePrefill records the time from sending a prompt to the first part of the answer; tokens is the number of the
// prompt's tokens that were not cached.
func (p *Pool) ObservePrefill(tokens float64, elapsed, now time.Duration) {
	if tokens > 0 {
		p.prefillTime.add(tokens, elapsed, now)
	}
}

// tokensPerGap returns the number of prompt tokens that a server processes within the gap target of long answers, +Inf
// if there is no target.
func (p *Pool) tokensPerGap() float64 {
	if p.maxGap == 0 {
		return math.Inf(1)
	}
	return float64(p.maxGap) / float64(p.prefillTime.perToken())
}
