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
	never      history = iota // no request
	once                      // one request; clients that open a connection for each request never send a second one
	occasional                // more than one, but fewer than regularRequests
	regular                   // at least regularRequests: the client keeps its connection for reuse
	histories                 // the number of histories
)

// regularRequests is the number of requests from which on a connection is regular.
const regularRequests = 4

// historyOf returns the history of a connection with a number of answered requests.
func historyOf(requests int) history {
	switch {
	case requests >= regularRequests:
		return regular
	case requests >= 2:
		return occasional
	}
	return history(requests)
}

// Idle times are counted in buckets whose ends double: up to 2 ms, 4 ms, 8 ms, ... The rate is assumed to be constant within a
// bucket.
const (
	firstBucket = 2 * time.Millisecond
	buckets     = 16 // the last begins after 32 s
)

// bucketOf returns the bucket of an idle time.
func bucketOf(idleTime time.Duration) int {
	return min(bits.Len64(uint64(max(0, idleTime)/firstBucket)), buckets-1)
}

// bucketEnd returns the idle time at which a bucket ends and the next begins.
func bucketEnd(bucket int) time.Duration { return firstBucket << bucket }

// decayTime is the time in which the weight of an observation falls to 1/e. It is a few times the longest idle time after which
// clients still send a request, and short compared to the minutes for which a client's behaviour stays the same.
const decayTime = 20 * time.Second

// rates holds the observed times from one response to the next: for each history and bucket, the number of responses after an
// idle time in it, and the total time that connections were idle in it. The quotient is the rate of responses. Responses are
// counted rather than requests, because a client that sends invalid or incomplete requests occupies a connection all the same.
type rates struct {
	responses, idleSeconds [histories][buckets]float64
	decayed                time.Time // time of the last decay
}

// decayInterval is how often the observations decay and idle times that still last are added. It is short enough to follow
// behaviour that changes within seconds.
const decayInterval = decayTime / 64

// decay reduces the weight of earlier observations, once per decayInterval, and reports whether it did.
func (r *rates) decay(now time.Time) bool {
	elapsed := now.Sub(r.decayed)
	if elapsed < decayInterval {
		return false
	}
	factor := math.Exp(-float64(elapsed) / float64(decayTime))
	for h := range r.responses {
		for c := range r.responses[h] {
			r.responses[h][c] *= factor
			r.idleSeconds[h][c] *= factor
		}
	}
	r.decayed = now
	return true
}

// observe adds the part of an idle time between from and to, both measured from its start. The part before from was added
// earlier.
func (r *rates) observe(h history, from, to time.Duration) {
	for bucket := bucketOf(from); from < to; bucket++ {
		until := to
		if bucket < buckets-1 {
			until = min(to, bucketEnd(bucket))
		}
		r.idleSeconds[h][bucket] += (until - from).Seconds()
		from = until
	}
}

// ended records that an idle time ended with a response.
func (r *rates) ended(h history, idleTime time.Duration) { r.responses[h][bucketOf(idleTime)]++ }

// mean returns the rate, per second, at which connections with a history get responses, over all idle times.
func (r *rates) mean(h history) float64 {
	responses, seconds := 0.0, 0.0
	for c := range buckets {
		responses += r.responses[h][c]
		seconds += r.idleSeconds[h][c]
	}
	if seconds == 0 {
		return 0
	}
	return responses / seconds
}

// expected returns the rate, per second, at which a connection with a history sends a request after an idle time. Without
// observations the rate is one request per idle time so far, which assumes no time scale. This prior has, over all buckets, the
// weight of one observed connection.
func (r *rates) expected(h history, idleTime time.Duration) float64 {
	const weight = 1.0 / buckets
	bucket := bucketOf(idleTime)
	return (weight + r.responses[h][bucket]) / (weight*max(idleTime, firstBucket).Seconds() + r.idleSeconds[h][bucket])
}

// probability returns the probability that a connection with a history, which has been idle for idleTime, sends a request within
// the time that follows. It is computed from the rates of the buckets that this time crosses.
func (r *rates) probability(h history, idleTime, within time.Duration) float64 {
	remaining, expected := within, 0.0
	for at := idleTime; remaining > 0; {
		step := remaining
		if bucket := bucketOf(at); bucket < buckets-1 {
			step = min(remaining, bucketEnd(bucket)-at)
		}
		expected += r.expected(h, at) * step.Seconds()
		remaining -= step
		at += step
	}
	return -math.Expm1(-expected)
}
