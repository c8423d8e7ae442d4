package gateway

import "time"

// retryAfterWhileDraining is the Retry-After of a request that a draining router rejects. It is short because any other router
// can serve the request at once.
const retryAfterWhileDraining = 10 * time.Millisecond

// drainPlan determines which requests a draining router still accepts.
type drainPlan struct {
	rejectLongFrom time.Time // from then on, requests with a deadline after the plan's are rejected
	deadline       time.Time // when the caller of Drain closes the connections of requests that are still in progress
}

// Drain starts a graceful shutdown. Responses carry "Connection: close" from now on, and requests in progress are completed.
// From rejectLongFrom on, a request whose own deadline is after the given one is rejected, so that another router serves it
// from start to end. Drain aborts nothing: its caller closes at the deadline what is still in progress. It may be called again
// with other times.
func (g *Gateway) Drain(rejectLongFrom, deadline time.Time) {
	g.draining.Store(&drainPlan{rejectLongFrom, deadline})
}

// mayOutlast reports whether a request that was just received may still be in progress at the plan's deadline and has to be
// rejected. It returns false for a nil plan.
func (p *drainPlan) mayOutlast(req *request) bool {
	return p != nil && !req.times.received.Before(p.rejectLongFrom) && req.times.deadline.After(p.deadline)
}
