package group

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// ShareLimit is what clients of a group take parts of.
var ShareLimit = share.Limit{Name: "limit", Units: 20, Floor: 4, Members: 4, Period: 600 * time.Millisecond}

// take is what a client does now and then: it asks for all of the limit, of whoever it takes for the leader, and the limit itself is set
// again and again. What all believe together is judged whenever an answer is heard.
func (c *simClient) take() {
	s := c.s
	s.after(s.between(5*time.Millisecond, 150*time.Millisecond), func() {
		if !c.stopped {
			c.to(func(r *simReplica, _ func(func())) {
				r.core.Submit(replica.Request{Limit: &share.Command{Set: ShareLimit}, Done: func(replica.Response) {}})
			})
			asked := c.clock()
			q := c.taker.NewRequest(ShareLimit.Units, asked)
			c.to(func(r *simReplica, reply func(func())) {
				r.core.Submit(replica.Request{Share: &replica.ShareRequest{Limit: ShareLimit.Name, Request: q}, Done: func(a replica.Response) {
					reply(func() {
						if a.Err == nil && a.LimitErr == nil {
							c.taker.ApplyAllocation(asked, a.Share, q.Finished)
						}
						s.judgeShares()
					})
				}})
			})
		}
		c.take()
	})
}

func (s *sim) judgeShares() {
	sum := ShareLimit.Floor
	for _, c := range s.clients {
		sum += c.taker.Allocated(c.clock())
	}
	if s.Largest = max(s.Largest, sum); sum > ShareLimit.Units {
		s.Wrong = fmt.Sprintf("at %v clients believe in %d of %d units", s.now, sum, ShareLimit.Units)
	}
}
