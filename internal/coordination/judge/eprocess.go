package judge

import "math"

// cellState is the evidence of a cell.
type cellState struct {
	new, control       Counts
	windows            float64
	logEvidence        float64 // the logarithm of the evidence that the new release is worse
	startedLogEvidence float64 // the same of the part of the mixture that begins at one of the windows so far; see addWindow
	foundWorse         bool    // the evidence has reached the threshold once, which is never withdrawn
}

// addWindow adds the logarithm of a window's factor. A release may become worse at any window, for example under load alone or after hours,
// and the product over all windows would have become too small by then. So the evidence is a mixture of the products that begin at each
// window n, with weights 1/n(n+1), whose sum is 1; those that have not begun stand at 1. A mean of terms whose expectation is at most 1
// has such an expectation too.
func (c *cellState) addWindow(logFactor float64) {
	if c.windows++; c.windows == 1 {
		c.startedLogEvidence = math.Inf(-1)
	}
	n := c.windows
	c.startedLogEvidence = logSum(c.startedLogEvidence, -math.Log(n*(n+1))) + logFactor
	c.logEvidence = logSum(c.startedLogEvidence, -math.Log(n+1))
}

// logSum returns the logarithm of the sum of two numbers, of which it is given the logarithms.
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

// alternative returns the two rates that a window is judged by, from the windows before it alone: the control's, and a rate of the new release
// that is larger by the smallest effect, or by what was seen if that is more.
func (c *cellState) alternative(effect float64) (base, worse float64) {
	const prior = 1 // an imagined request, of which half the effect failed
	base = (c.control.Hits + prior*effect/2) / (c.control.Total + prior)
	worse = (c.new.Hits + prior*(base+effect)) / (c.new.Total + prior)
	worse = math.Min(max(worse, base+effect), (1+base)/2)
	return base, max(worse, base)
}
