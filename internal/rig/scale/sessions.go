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

// The joining.
const (
	joinsAtOnce = 64 // sessions of a process that begin at the same time
	// Sessions begin one after the other over the mean time between two renewals of the default TTL (a third of 10 s,
	// less up to half of it), or longer: those that begin in step would renew in step for a while.
	joinOver = 2500 * time.Millisecond
)

// sessions are hollow members that hold a lease each. Their client is the product's own; nothing is left out but what
// a holder does while it holds.
type sessions struct {
	clients []*lease.Client
	held    []*lease.Held
	sockets *sockets
}

// joinSessions returns when each has its lease.
func joinSessions(ctx context.Context, j *join) (s *sessions, err error) {
	s = &sessions{clients: make([]*lease.Client, j.Members.Count), held: make([]*lease.Held, j.Members.Count)}
	if s.sockets, err = newSockets(j.Coordinators); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var sides sync.WaitGroup
	limit := make(chan struct{}, joinsAtOnce)
	turn := time.NewTicker(joinOver / time.Duration(j.Members.Count))
	defer turn.Stop()
	for i := range j.Members.Count {
		select {
		case <-ctx.Done():
		case <-turn.C:
		}
		limit <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		sides.Go(func() {
			defer func() { <-limit }()
			m := drawMember(j.Seed, j.Members.First+i)
			c, err := lease.New(lease.Options{Addrs: j.Coordinators, Owner: m.Name, TTL: j.TTL})
			if err == nil {
				s.clients[i] = c
				s.held[i], err = c.Hold(ctx, "scale/"+m.Name)
			}
			if err != nil {
				cancel(fmt.Errorf("member %s: %w", m.Name, err))
			}
		})
	}
	sides.Wait()
	return s, context.Cause(ctx)
}

func (s *sessions) sample() (*sample, error) {
	all, err := s.sockets.look()
	n := &sample{At: int64(monotonic.Now()), Of: all}
	for _, h := range s.held {
		if !h.Valid() {
			n.Lost++
		}
	}
	return n, err
}

var errNothingToAwait = errors.New("sessions: there is nothing to wait for")

func (s *sessions) await(context.Context, *await) ([]int64, error) { return nil, errNothingToAwait }

func (s *sessions) agents() []string { return nil }
