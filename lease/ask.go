package lease

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/fleet"
)

// ask asks coordinators until one that leads has answered, or ctx ends. What is asked must do no harm if it is asked twice.
func (c *Client) ask(ctx context.Context, in *fleet.Ask) (*fleet.Told, error) {
	return c.ask1(ctx, in, func() {})
}

func (c *Client) ask1(ctx context.Context, in *fleet.Ask, begin func()) (*fleet.Told, error) {
	in.Version = fleet.Version
	last := errors.New("no coordinator was asked")
	for tries := 0; ; tries++ {
		c.mu.Lock()
		addr := c.o.Addrs[c.leader%len(c.o.Addrs)]
		c.mu.Unlock()
		begin()
		call, cancel := context.WithTimeout(ctx, max(c.o.TTL/4, 250*time.Millisecond))
		res, err := fleet.Client[fleet.Ask, fleet.Told](c.over, addr, fleet.PathAsk).CallUnary(call, connect.NewRequest(in))
		cancel()
		wait := c.o.TTL / 100
		switch {
		case err == nil && res.Msg.Err == "":
			return res.Msg, nil
		case err == nil:
			last = fmt.Errorf("%s: %s", addr, res.Msg.Err)
			wait = time.Duration(res.Msg.Again) * time.Millisecond
		case fleet.Final(err):
			return nil, fmt.Errorf("%s: %w", addr, err)
		default:
			last = fmt.Errorf("%s: %w", addr, err)
		}
		c.mu.Lock()
		next := c.leader + 1
		if err == nil {
			for i, a := range c.o.Addrs {
				if a == res.Msg.Leader {
					next = i
				}
			}
		}
		c.leader = next % len(c.o.Addrs)
		c.mu.Unlock()
		if tries%len(c.o.Addrs) != len(c.o.Addrs)-1 {
			wait = min(wait, c.o.TTL/100)
		}
		pause := time.NewTimer(wait/2 + mrand.N(wait/2+1))
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil, fmt.Errorf("%w: %w", last, context.Cause(ctx))
		case <-c.ctx.Done():
			pause.Stop()
			return nil, ErrClosed
		case <-pause.C:
		}
	}
}
