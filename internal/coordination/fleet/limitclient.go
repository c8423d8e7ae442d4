package fleet

import (
	"context"
	"sync"
	"time"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// idleWait is how long Run waits without a demand for an allocation, unless Allow is called.
const idleWait = time.Hour

// LimitClient is one member's use of one limit. Run requests allocations from the coordinators; Allow, which may be called from
// any goroutine, spends them. Allow never waits for the coordinators: while they are unreachable it spends the remaining
// allocation, and then the floor.
type LimitClient struct {
	caller *Caller
	limit  share.Limit
	clock  func() lease.Instant
	wake   chan struct{} // signals a call of Allow

	mu       sync.Mutex
	consumer *share.Consumer
}

// NewLimitClient returns the client of the member with the given name and weight. clock reads a monotonic clock, such as
// monotonic.Now.
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

// Run requests allocations whenever there is a demand, until ctx ends.
func (c *LimitClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		now := c.clock()
		requestAt, wanted := c.consumer.NextRequestAt(now)
		c.mu.Unlock()
		if delay := requestAt.Sub(now); !wanted || delay > 0 {
			c.wait(ctx, delay, wanted)
			continue
		}
		c.request(ctx)
	}
}

// wait waits for the time of the next request or, if nothing is wanted, for a call of Allow.
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
		if wanted { // a call of Allow does not advance the time of the request
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
		}
	}
}

// request requests an allocation, and applies the response.
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
