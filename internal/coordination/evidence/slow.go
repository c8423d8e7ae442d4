package evidence

import (
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// slowMetric is the rate of requests that took longer than the bound.
const slowMetric = "slow"

// slowBoundSample is the minimum number of requests that a bound is computed from.
const slowBoundSample = 100

// slowBound computes the bound of slow requests: the lowest step of the latency histogram that at most a tenth of the sampled
// requests exceed.
type slowBound struct {
	latency  [counts.Buckets]uint64 // the histogram of the sample
	requests uint64
	step     int // the bound; -1: not known yet
}

// add adds requests to the sample and sets the bound once there are slowBoundSample of them.
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

// slow returns the counts of served requests and, as hits, of those that took longer than the bound.
func (b *slowBound) slow(c counts.Class) judge.Counts {
	slow := judge.Counts{Total: float64(c.Served)}
	for _, n := range c.Latency[b.step+1:] {
		slow.Hits += float64(n)
	}
	return slow
}
