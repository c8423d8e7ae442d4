package fleet

import (
	"context"
	"sync"
	"time"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// idleWait is how long Run waits while nothing is wanted, unless a use is attempted.
const idleWait = time.Hour

// LimitClient is one member's use of one limit. Run requests allocations from the coordinators while Allow, from any goroutine, spends
// them. Allow never waits: while the coordinators are out of reach it spends what is allocated, and then the floor.
type LimitClient struct {
	caller *Caller
	limit  share.Limit
	clock  func() lease.Instant
	wake   chan struct{} // a use was attempted

	mu       sync.Mutex
	consumer *share.Consumer
}

// NewLimitClient returns the client of a member with that name and weight. clock reads a steady clock, such as monotonic.Now.
func NewLimitClient(caller *Caller, l share.Limit, member string, weight float64, clock func() lease.Instant) *LimitClient {
	return &LimitClient{caller: caller, limit: l, clock: clock, wake: make(chan struct{}, 1), consumer: share.NewConsumer(l, member, weight)}
}

// Allow reports whether one use is allowed now, and counts it.
func (c *LimitClient) Allow() bool {
	c.mu.Lock()
	ok := c.consumer.Spend(c.clock())
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return ok
}

// Run sends requests whenever something is wanted, until ctx ends.
func (c *LimitClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		now := c.clock()
		at, wanted := c.consumer.NextRequestAt(now)
		c.mu.Unlock()
		if delay := at.Sub(now); !wanted || delay > 0 {
			c.wait(ctx, delay, wanted)
			continue
		}
		c.request(ctx)
	}
}

// wait waits for the next request's time, or where nothing is wanted for an attempt to spend.
func (c *LimitClient) wait(ctx context.Context, delay time.Duration, wanted bool) {
	if !wanted {
		delay = idleWait
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.wake:
		if wanted { // an attempt does not bring the time forward
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
		}
	}
}

func (c *LimitClient) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.limit.Period)
	defer cancel()
	var requestedAt lease.Instant
	c.mu.Lock()
	now := c.clock()
	request := c.consumer.NewRequest(c.consumer.Demand(now), now)
	c.mu.Unlock()
	in := &Request{Share: &replica.ShareRequest{Limit: c.limit.Name, Request: request}}
	out, err := c.caller.Call(ctx, in, func() { requestedAt = c.clock() })
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || out.LimitError != "" {
		c.consumer.RequestFailed(c.clock())
		return
	}
	c.consumer.ApplyAllocation(requestedAt, out.Share, request.Finished)
}
