package placement

import "time"

// Work is what requests have pending at a server.
type Work struct {
	Requests      float64 // in flight: without a complete answer
	PrefillTokens float64 // of prompts that are not read yet: without a first part of their answer
	Streams       float64 // requests with long answers, see Request.DecodeHeavy
}

func (w Work) plus(other Work) Work {
	return Work{w.Requests + other.Requests, w.PrefillTokens + other.PrefillTokens, w.Streams + other.Streams}
}

func (w Work) minus(other Work) Work {
	return Work{w.Requests - other.Requests, w.PrefillTokens - other.PrefillTokens, w.Streams - other.Streams}
}

func (w Work) times(x float64) Work { return Work{w.Requests * x, w.PrefillTokens * x, w.Streams * x} }

// streamPriorityTokens is the pending prefill that is as important to report as a stream: some tenths of a second's
// prefill is more.
const streamPriorityTokens = 1 << 10

// reportPriority orders servers by the work that other routers should know of.
func (w Work) reportPriority() float64 {
	return w.PrefillTokens + streamPriorityTokens*(w.Streams+w.Requests)
}

// freshness is the weight of something that was received at a time: 1 then, falling to 0 within ttl.
func freshness(receivedAt, ttl, now time.Duration) float64 {
	if receivedAt == 0 || now-receivedAt >= ttl {
		return 0
	}
	return 1 - float64(now-receivedAt)/float64(ttl)
}
