package node

import "time"

const (
	// differenceTolerance is how long the list of servers may differ from the home's before the complete one is
	// requested: a change may be in flight.
	differenceTolerance = time.Second
	// fullStateInterval is the time between two requests for the complete list.
	fullStateInterval = 10 * time.Second
)

// listComparison finds out that a router's list of servers differs from its home's although it applied all changes, as
// after a partition that outlasted the time for which the home remembers ended instances.
type listComparison struct {
	differs       bool
	since         time.Duration // when the lists were last seen to be equal, or the first difference after that
	nextRequestAt time.Duration // the complete list is not requested before
}

// observe records whether the lists are equal now, and reports whether the complete list is to be requested.
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
