package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"petrelhook/internal/coordination/monotonic"
	"petrelhook/lease"
)

// How sessions join.
const (
	concurrentJoins = 64 // sessions of a process that open at the same time
	// Sessions open one after the other over the mean time between two renewals of the default TTL (a third of 10 s, less up to
	// half of it), or longer: sessions that open together would renew together for a while.
	joinPeriod = 2500 * time.Millisecond
)

// sessions are hollow members that hold a lease each. They use the product's own client; only the work under the lease is left out.
type sessions struct {
	clients []*lease.Client
	leases  []*lease.Held
	sockets *sockets
}

// joinSessions returns when each member has its lease.
func joinSessions(ctx context.Context, j *join) (s *sessions, err error) {
	s = &sessions{clients: make([]*lease.Client, j.Members.Count), leases: make([]*lease.Held, j.Members.Count)}
	if s.sockets, err = newSockets(j.Coordinators); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var joining sync.WaitGroup
	limit := make(chan struct{}, concurrentJoins)
	ticker := time.NewTicker(joinPeriod / time.Duration(j.Members.Count))
	defer ticker.Stop()
	for i := range j.Members.Count {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		limit <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		joining.Go(func() {
			defer func() { <-limit }()
			m := drawMember(j.Seed, j.Members.First+i)
			c, err := lease.New(lease.Options{Addrs: j.Coordinators, Owner: m.Name, TTL: j.TTL})
			if err == nil {
				s.clients[i] = c
				s.leases[i], err = c.Hold(ctx, "scale/"+m.Name)
			}
			if err != nil {
				cancel(fmt.Errorf("member %s: %w", m.Name, err))
			}
		})
	}
	joining.Wait()
	return s, context.Cause(ctx)
}

func (s *sessions) sample() (*sample, error) {
	all, err := s.sockets.poll()
	n := &sample{Time: int64(monotonic.Now()), Traffic: all}
	for _, h := range s.leases {
		if !h.Valid() {
			n.LostLeases++
		}
	}
	return n, err
}

var errNothingToAwait = errors.New("sessions have no condition to wait for")

func (s *sessions) await(context.Context, *condition) ([]int64, error) { return nil, errNothingToAwait }

func (s *sessions) agents() []string { return nil }
