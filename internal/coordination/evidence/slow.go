package evidence

import (
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// slowMetric is the rate of requests that took longer than the bound.
const slowMetric = "slow"

// slowBoundSample is the number of requests that a bound is drawn from.
const slowBoundSample = 100

// slowBound is the step of the histogram of times that a tenth of some requests took longer than.
type slowBound struct {
	latency  [counts.Buckets]uint64 // the histogram
	requests uint64
	step     int // -1: it is not known yet
}

// add adds requests, until there are enough to know the bound.
func (b *slowBound) add(c counts.Class) {
	for i, n := range c.Latency {
		b.latency[i] += n
		b.requests += n
	}
	if b.step >= 0 || b.requests < slowBoundSample {
		return
	}
	above := b.requests
	for i, n := range b.latency {
		if above -= n; above*10 <= b.requests {
			b.step = i
			return
		}
	}
}

// slow counts the served requests that took longer than the bound.
func (b *slowBound) slow(c counts.Class) judge.Counts {
	slow := judge.Counts{Total: float64(c.Served)}
	for _, n := range c.Latency[b.step+1:] {
		slow.Hits += float64(n)
	}
	return slow
}
