package admission

import (
	"math"
	"math/bits"
	"time"
)

// history classifies a connection by its number of answered requests.
type history uint8

// The histories. Connections with different histories are expected to behave differently.
const (
	unused       history = iota // no request
	usedOnce                    // one request; clients that open a connection for each request never send a second request
	occasional                  // more than one, but fewer than minRegularRequests
	regular                     // at least minRegularRequests: the client keeps its connection for reuse
	historyCount                // the number of histories
)

// minRegularRequests is the least number of answered requests of a regular connection.
const minRegularRequests = 4

// historyOf returns the history of a connection with the given number of answered requests.
func historyOf(requests int) history {
	switch {
	case requests >= minRegularRequests:
		return regular
	case requests >= 2:
		return occasional
	}
	return history(requests)
}

// Idle times are counted in buckets whose ends double: up to 2 ms, 4 ms, 8 ms, ... The rate of responses is assumed to be constant
// within a bucket.
const (
	firstBucketEnd = 2 * time.Millisecond
	bucketCount    = 16 // the last begins after 32 s
)

// bucketOf returns the bucket of an idle time.
func bucketOf(idleTime time.Duration) int {
	return min(bits.Len64(uint64(max(0, idleTime)/firstBucketEnd)), bucketCount-1)
}

// bucketEnd returns the idle time at which a bucket ends and the next begins.
func bucketEnd(bucket int) time.Duration { return firstBucketEnd << bucket }

// decayTime is the time in which the weight of an observation falls to 1/e. It is a few times the longest idle time after which
// clients still send a request, and short compared to the minutes for which a client's behaviour stays the same.
const decayTime = 20 * time.Second

// rates holds the observed times from one response to the next. For each history and bucket it holds the number of responses after
// an idle time in that bucket, and the total time that connections were idle in that bucket; the quotient is the rate of responses.
// Responses are counted rather than requests, because a client that sends invalid or incomplete requests occupies a connection too.
type rates struct {
	responses, idleSeconds [historyCount][bucketCount]float64
	decayed                time.Time // time of the last decay
}

// decayInterval is how often the observations decay and the idle times of open connections are added. It is short enough to follow
// behaviour that changes within seconds.
const decayInterval = decayTime / 64

// decay reduces the weight of earlier observations unless it did so less than decayInterval ago. It reports whether it reduced the
// weight.
func (r *rates) decay(now time.Time) bool {
	elapsed := now.Sub(r.decayed)
	if elapsed < decayInterval {
		return false
	}
	factor := math.Exp(-float64(elapsed) / float64(decayTime))
	for h := range r.responses {
		for bucket := range r.responses[h] {
			r.responses[h][bucket] *= factor
			r.idleSeconds[h][bucket] *= factor
		}
	}
	r.decayed = now
	return true
}

// addIdleTime adds the part of an idle time between from and to, both measured from the start of the idle time. The part before
// from was added earlier.
func (r *rates) addIdleTime(h history, from, to time.Duration) {
	for bucket := bucketOf(from); from < to; bucket++ {
		until := to
		if bucket < bucketCount-1 {
			until = min(to, bucketEnd(bucket))
		}
		r.idleSeconds[h][bucket] += (until - from).Seconds()
		from = until
	}
}

// recordResponse records that an idle time ended with a response.
func (r *rates) recordResponse(h history, idleTime time.Duration) {
	r.responses[h][bucketOf(idleTime)]++
}

// meanRate returns the rate, per second, at which connections with a history get responses, over all idle times.
func (r *rates) meanRate(h history) float64 {
	responses, seconds := 0.0, 0.0
	for bucket := range bucketCount {
		responses += r.responses[h][bucket]
		seconds += r.idleSeconds[h][bucket]
	}
	if seconds == 0 {
		return 0
	}
	return responses / seconds
}

// rateAt returns the rate, per second, at which a connection with a history gets a response after an idle time. Without
// observations it is 1/idleTime, a prior that prefers no time scale. Over all buckets together, the prior has the weight of one
// observed response.
func (r *rates) rateAt(h history, idleTime time.Duration) float64 {
	const priorWeight = 1.0 / bucketCount
	bucket := bucketOf(idleTime)
	return (priorWeight + r.responses[h][bucket]) / (priorWeight*max(idleTime, firstBucketEnd).Seconds() + r.idleSeconds[h][bucket])
}

// probability returns the probability that a connection with a history, which has been idle for idleTime, gets a response within
// the next period of length within. It is 1 - exp(-n), where n is the number of responses expected in that period according to
// the rates of its buckets.
func (r *rates) probability(h history, idleTime, within time.Duration) float64 {
	remaining, expectedResponses := within, 0.0
	for stepStart := idleTime; remaining > 0; {
		step := remaining
		if bucket := bucketOf(stepStart); bucket < bucketCount-1 {
			step = min(remaining, bucketEnd(bucket)-stepStart)
		}
		expectedResponses += r.rateAt(h, stepStart) * step.Seconds()
		remaining -= step
		stepStart += step
	}
	return -math.Expm1(-expectedResponses)
}
