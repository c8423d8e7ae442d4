package fleet

import (
	"context"
	"sync"
	"time"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/share"
)

// LimitClient is one member's part of one limit, asked of the coordinators beside its uses: Allow never waits, and goes on with what there is,
// and then with the floor, where they are out of reach.
type LimitClient struct {
	caller *Caller
	limit  share.Limit
	clock  func() lease.Instant
	wake   chan struct{}

	mu    sync.Mutex
	taker *share.Consumer
}

// NewLimitClient makes a member's part. Run asks for it.
func NewLimitClient(caller *Caller, l share.Limit, member string, weight float64, clock func() lease.Instant) *LimitClient {
	return &LimitClient{caller: caller, limit: l, clock: clock, wake: make(chan struct{}, 1), taker: share.NewConsumer(l, member, weight)}
}

// Allow reports whether one use is allowed now, and counts it.
func (s *LimitClient) Allow() bool {
	s.mu.Lock()
	ok := s.taker.Spend(s.clock())
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return ok
}

// Run asks whenever something is wanted, until ctx ends.
func (s *LimitClient) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		now := s.clock()
		due, ok := s.taker.NextRequestAt(now)
		s.mu.Unlock()
		if wait := due.Sub(now); !ok || wait > 0 {
			if !ok {
				wait = time.Hour // or until a use is tried
			}
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-timer.C:
			case <-s.wake:
				if ok { // it is not due yet
					select {
					case <-ctx.Done():
					case <-timer.C:
					}
				}
			}
			timer.Stop()
			continue
		}
		s.ask(ctx)
	}
}

func (s *LimitClient) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.limit.Period)
	defer cancel()
	var asked lease.Instant
	s.mu.Lock()
	now := s.clock()
	q := s.taker.NewRequest(s.taker.Demand(now), now)
	s.mu.Unlock()
	told, err := s.caller.Call(ctx, &Request{Share: &replica.ShareRequest{Limit: s.limit.Name, Request: q}}, func() { asked = s.clock() })
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || told.LimitError != "" {
		s.taker.RequestFailed(s.clock())
		return
	}
	s.taker.ApplyAllocation(asked, told.Share, q.Finished)
}
