package judge

import "math"

// maxDifference returns an upper confidence bound of the new release's rate minus the control group's rate. With probability 1 - alpha,
// the bounds that are returned while the counts grow are all correct.
func (c *cellState) maxDifference(alpha float64) float64 {
	return upperBound(c.new, alpha/2) - (1 - upperBound(Counts{c.control.Total - c.control.Hits, c.control.Total}, alpha/2))
}

// RequestsNeeded returns how many more requests the new release needs until it is judged to be no worse than the control group, if both
// rates stay the same and the control group's requests grow by the same factor. missedStopRate and minEffect are those of the judge's
// plan. ok is false if no number of requests would suffice.
func RequestsNeeded(new, control Counts, missedStopRate, minEffect float64) (more float64, ok bool) {
	shownNoWorse := func(factor float64) bool {
		c := cellState{new: Counts{new.Hits * factor, new.Total * factor}, control: Counts{control.Hits * factor, control.Total * factor}}
		return c.maxDifference(missedStopRate) < minEffect
	}
	const maxFactor = 1 << 40
	low, high := 1.0, 1.0
	if new.Total == 0 || control.Total == 0 || new.rate()-control.rate() >= minEffect {
		return 0, false
	}
	for ; !shownNoWorse(high); high *= 2 {
		if low = high; high > maxFactor {
			return 0, false
		}
	}
	for range 30 {
		if mid := (low + high) / 2; shownNoWorse(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return math.Ceil(new.Total * (high - 1)), true
}

// MinDifference returns a lower confidence bound of the rate in now minus the rate in before. With probability 1 - alpha, the bounds
// that are returned while the counts grow are all correct. If the counts are from different times, a difference shows that something
// has changed, but not what.
func MinDifference(now, before Counts, alpha float64) float64 {
	return 1 - upperBound(Counts{now.Total - now.Hits, now.Total}, alpha/2) - upperBound(before, alpha/2)
}

// upperBound returns an upper confidence bound of a rate, from a confidence sequence: Robbins' mixture with a uniform prior. With
// probability 1 - alpha, the bounds that are returned while the counts grow are all correct.
func upperBound(c Counts, alpha float64) float64 {
	logGammaHits, _ := math.Lgamma(c.Hits + 1)
	logGammaMisses, _ := math.Lgamma(c.Total - c.Hits + 1)
	logGammaTotal, _ := math.Lgamma(c.Total + 2)
	threshold := logGammaHits + logGammaMisses - logGammaTotal - math.Log(1/alpha) // log(alpha * the mixture's likelihood)
	lo, hi := c.rate(), 1.0
	if c.Total == 0 {
		return 1
	}
	for range 60 {
		mid := (lo + hi) / 2
		if c.likelihood(mid) > threshold {
			lo = mid
		} else {
			hi = mid
		}
	}
	return hi
}
