package judge

import "math"

// cellState is the evidence of a cell.
type cellState struct {
	new, control       Counts
	windows            float64 // the number of windows so far
	logEvidence        float64 // the logarithm of the evidence that the new release is worse
	startedLogEvidence float64 // the logarithm of the part of the mixture that has started at one of the windows so far; see addWindow
	foundWorse         bool    // the evidence has reached the threshold; this is never reset
}

// addWindow adds the logarithm of a window's factor. A release may become worse at any window, for example only under load or after
// hours, and by then the product over all windows would have become too small. So the evidence is a mixture of the products that start at
// each window n, with weights 1/n(n+1), whose sum is 1. Products that have not started have the value 1. A weighted mean of terms whose
// expectation is at most 1 has an expectation of at most 1 too.
func (c *cellState) addWindow(logFactor float64) {
	if c.windows++; c.windows == 1 {
		c.startedLogEvidence = math.Inf(-1)
	}
	n := c.windows
	c.startedLogEvidence = logSum(c.startedLogEvidence, -math.Log(n*(n+1))) + logFactor
	c.logEvidence = logSum(c.startedLogEvidence, -math.Log(n+1))
}

// logSum returns log(exp(a) + exp(b)).
func logSum(a, b float64) float64 {
	larger := max(a, b)
	if math.IsInf(larger, -1) {
		return larger
	}
	return larger + math.Log(math.Exp(a-larger)+math.Exp(b-larger))
}

// windowLogEvidence returns the logarithm of a window's factor of the e-process.
func (c *cellState) windowLogEvidence(new, control Counts, effect float64) float64 {
	base, worse := c.alternative(effect)
	pooled := (new.Total*worse + control.Total*base) / (new.Total + control.Total)
	return new.likelihood(worse) + control.likelihood(base) - new.likelihood(pooled) - control.likelihood(pooled)
}

// alternative returns the two rates of the alternative hypothesis for a window, estimated from the earlier windows alone: the rate of the
// control group, and a rate of the new release that is larger by the smallest relevant effect, or by the observed difference if that is
// more.
func (c *cellState) alternative(effect float64) (base, worse float64) {
	const prior = 1 // pseudo-requests added to the counts; for the control group effect/2 of them are hits
	base = (c.control.Hits + prior*effect/2) / (c.control.Total + prior)
	worse = (c.new.Hits + prior*(base+effect)) / (c.new.Total + prior)
	worse = math.Min(max(worse, base+effect), (1+base)/2)
	return base, max(worse, base)
}
