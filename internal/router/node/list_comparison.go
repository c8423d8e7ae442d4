package node

import "time"

const (
	// differenceTolerance is how long the list of servers may differ from the home's before the complete list is
	// requested, since a change may be in flight.
	differenceTolerance = time.Second
	// fullStateInterval is the time between two requests for the complete list.
	fullStateInterval = 10 * time.Second
)

// listComparison detects that a router's list of servers differs from its home's although the router has applied all
// changes. This happens after a partition that outlasts the time for which the home remembers removed instances.
type listComparison struct {
	differs       bool
	since         time.Duration // when the lists were last equal, or when the present difference was first seen
	nextRequestAt time.Duration // earliest time of the next request for the complete list
}

// observe records whether the lists are equal now, and reports whether to request the complete list.
func (c *listComparison) observe(equal bool, now time.Duration) bool {
	if equal || !c.differs {
		c.differs, c.since = !equal, now
		return false
	}
	if now-c.since < differenceTolerance || now < c.nextRequestAt {
		return false
	}
	c.nextRequestAt = now + fullStateInterval
	return true
}
