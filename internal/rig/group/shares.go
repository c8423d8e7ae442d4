package group

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// ShareLimit is the limit that clients of a group request allocations of.
var ShareLimit = share.Limit{Name: "limit", Units: 20, Floor: 4, Members: 4, Period: 600 * time.Millisecond}

// scheduleShareRequests has the client set the limit, as an operator does, and request an allocation, again and again.
func (c *simClient) scheduleShareRequests() {
	c.sim.after(c.sim.uniform(5*time.Millisecond, 150*time.Millisecond), func() {
		if !c.paused {
			c.setLimit()
			c.requestShare()
		}
		c.scheduleShareRequests()
	})
}

// setLimit sets ShareLimit at the replica that the client assumes to lead.
func (c *simClient) setLimit() {
	c.callLeader(func(r *simReplica, _ func(func())) {
		r.core.Submit(replica.Request{Limit: &share.Command{Set: ShareLimit}, Done: func(replica.Response) {}})
	})
}

// requestShare requests all units of the limit from the replica that the client assumes to lead. The sum over all clients is checked
// whenever a response arrives.
func (c *simClient) requestShare() {
	sentAt := c.clock()
	request := c.consumer.NewRequest(ShareLimit.Units, sentAt)
	c.callLeader(func(r *simReplica, reply func(func())) {
		r.core.Submit(replica.Request{Share: &replica.ShareRequest{Limit: ShareLimit.Name, Request: request}, Done: func(response replica.Response) {
			reply(func() {
				if response.Err == nil && response.LimitErr == nil {
					c.consumer.ApplyAllocation(sentAt, response.Share, request.Finished)
				}
				c.sim.checkShares()
			})
		}})
	})
}

// checkShares checks that clients together do not believe in more units than the limit has.
func (s *sim) checkShares() {
	sum := ShareLimit.Floor
	for _, c := range s.clients {
		sum += c.consumer.Allocated(c.clock())
	}
	if s.MaxUnitsInUse = max(s.MaxUnitsInUse, sum); sum > ShareLimit.Units {
		s.Violation = fmt.Sprintf("at %v clients use %d of %d units", s.now, sum, ShareLimit.Units)
	}
}
