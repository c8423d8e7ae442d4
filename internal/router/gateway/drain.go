package gateway

import "time"

// retryElsewhere is the Retry-After of a client that another router had better serve: at once.
const retryElsewhere = 10 * time.Millisecond

// drainPlan says which requests a draining router still accepts.
type drainPlan struct {
	rejectLongFrom time.Time // until then it accepts requests whose deadline lies beyond its own too
	deadline       time.Time // when the caller of Drain cuts off the answers that are still open
}

// Drain begins a graceful shutdown: answers say that their connections close. Open requests are answered; from
// rejectLongFrom on a request whose own deadline lies beyond the given one is rejected, so that another router serves
// all of it. Drain cuts off nothing: its caller closes at the deadline what is still open. It may be called again with
// another plan.
func (g *Gateway) Drain(rejectLongFrom, deadline time.Time) {
	g.draining.Store(&drainPlan{rejectLongFrom, deadline})
}

// mayOutlast reports whether a request that was just received may still be open at the deadline. A nil plan has none.
func (p *drainPlan) mayOutlast(req *request) bool {
	return p != nil && !req.times.received.Before(p.rejectLongFrom) && req.times.deadline.After(p.deadline)
}
