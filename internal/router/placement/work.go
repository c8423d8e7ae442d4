package placement

import "time"

// Work is the work that requests have pending at a server.
type Work struct {
	Requests      float64 // requests in flight: their answers are not complete
	PrefillTokens float64 // tokens of prompts in prefill: the first part of their answers has not arrived
	Streams       float64 // requests in flight with long answers, see Request.DecodeHeavy
}

func (w Work) plus(other Work) Work {
	return Work{w.Requests + other.Requests, w.PrefillTokens + other.PrefillTokens, w.Streams + other.Streams}
}

func (w Work) minus(other Work) Work {
	return Work{w.Requests - other.Requests, w.PrefillTokens - other.PrefillTokens, w.Streams - other.Streams}
}

func (w Work) times(x float64) Work { return Work{w.Requests * x, w.PrefillTokens * x, w.Streams * x} }

// streamPriorityTokens is the amount of pending prefill that is as important to report as one stream or request. The
// prefill of a few tenths of a second is more than that.
const streamPriorityTokens = 1 << 10

// reportPriority returns the priority by which servers are chosen for a report that cannot contain all of them.
func (w Work) reportPriority() float64 {
	return w.PrefillTokens + streamPriorityTokens*(w.Streams+w.Requests)
}

// freshness returns the weight of a value received at receivedAt: 1 at that time, falling linearly to 0 within ttl. It
// is 0 if receivedAt is 0, which means that no value was received.
func freshness(receivedAt, ttl, now time.Duration) float64 {
	if receivedAt == 0 || now-receivedAt >= ttl {
		return 0
	}
	return 1 - float64(now-receivedAt)/float64(ttl)
}
