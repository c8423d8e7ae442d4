package judge

import "math"

// maxDifference returns the upper confidence bound of the new rate minus the control's, valid at all times together with probability
// 1 - missed.
func (c *cellState) maxDifference(missed float64) float64 {
	return upperBound(c.new, missed/2) - (1 - upperBound(Counts{c.control.Total - c.control.Hits, c.control.Total}, missed/2))
}

// RequestsNeeded returns how many more requests the new release needs, and the control group in proportion, until it is judged to be no
// worse, provided that the rates stay the same. ok is false if no number of requests would suffice.
func RequestsNeeded(new, control Counts, missed, effect float64) (more float64, ok bool) {
	shownNoWorse := func(times float64) bool {
		c := cellState{new: Counts{new.Hits * times, new.Total * times}, control: Counts{control.Hits * times, control.Total * times}}
		return c.maxDifference(missed) < effect
	}
	const maxFactor = 1 << 40
	low, high := 1.0, 1.0
	if new.Total == 0 || control.Total == 0 || new.rate()-control.rate() >= effect {
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

// MinDifference returns the lower confidence bound of the rate of now minus that of before, valid at all times together with probability
// 1 - alpha. If the counts are from different times, a difference shows that something has changed, but not what.
func MinDifference(now, before Counts, alpha float64) float64 {
	return 1 - upperBound(Counts{now.Total - now.Hits, now.Total}, alpha/2) - upperBound(before, alpha/2)
}

// upperBound returns the upper bound of a rate by a confidence sequence (Robbins' mixture with a uniform prior), which holds at all times
// together with probability 1 - alpha.
func upperBound(c Counts, alpha float64) float64 {
	logGammaHits, _ := math.Lgamma(c.Hits + 1)
	logGammaMisses, _ := math.Lgamma(c.Total - c.Hits + 1)
	logGammaTotal, _ := math.Lgamma(c.Total + 2)
	threshold := logGammaHits + logGammaMisses - logGammaTotal - math.Log(1/alpha) // the logarithm of the mixture's likelihood times alpha
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
