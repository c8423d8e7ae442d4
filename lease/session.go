package lease

import (
	"context"
	"crypto/rand"
	"fmt"
	mrand "math/rand/v2"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// session opens one where there is none.
func (c *Client) session(ctx context.Context) error {
	c.mu.Lock()
	wait, done := c.turn()
	c.mu.Unlock()
	select {
	case <-wait:
		defer done()
	case <-ctx.Done(): // its place in the line stays its own
		c.sides.Go(func() { <-wait; done() })
		return ctx.Err()
	}
	c.mu.Lock()
	alive := c.holder != nil && c.holder.Expiry() > c.o.clock()
	c.mu.Unlock()
	if alive {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(c.ctx, func() { cancel(ErrClosed) })()
	cmd := lease.Command{Kind: lease.Open, TTL: c.o.TTL, Owner: c.o.Owner, Nonce: rand.Text()}
	for {
		asked := c.o.clock()
		told, err := c.caller.Call(ctx, &fleet.Request{Command: &cmd}, nil)
		if err != nil {
			return err
		}
		if told.Answer.Status != lease.OK {
			return fmt.Errorf("session: %v", told.Answer.Status)
		}
		h := lease.NewSessionState(asked, told.Answer.Session, c.o.TTL)
		if h.Expiry() <= c.o.clock() { // it took too long: a renewal may still say that it lives, another one certainly does
			cmd.Nonce = rand.Text()
			continue
		}
		c.mu.Lock()
		c.endAll(c.holder)
		c.holder, c.seq = h, 0
		c.wake()
		c.mu.Unlock()
		return nil
	}
}

func (c *Client) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// endAll ends all that a session holds. The caller holds Client.mu.
func (c *Client) endAll(holder *lease.SessionState) {
	if holder == nil || c.holder != holder {
		return
	}
	for _, h := range c.held {
		c.drop(h, ErrLost)
	}
	holder.Invalidate()
	c.holder = nil
}

func (c *Client) lost(holder *lease.SessionState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAll(holder)
	c.wake()
}

// live renews the session, at moments that differ from client to client.
func (c *Client) live() {
	for {
		third := c.o.TTL / 3
		wait := time.NewTimer(third/2 + mrand.N(third/2))
		select {
		case <-c.ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		c.mu.Lock()
		holder := c.holder
		c.mu.Unlock()
		if holder == nil {
			continue
		}
		c.renew(holder)
	}
}

func (c *Client) renew(holder *lease.SessionState) {
	ctx, cancel := context.WithTimeout(c.ctx, c.o.TTL)
	defer cancel()
	asked := c.o.clock()
	c.mu.Lock()
	known := holder.KnownVersion()
	c.mu.Unlock()
	told, err := c.caller.Call(ctx, &fleet.Request{KeepAlive: &replica.KeepAlive{Session: holder.Session, KnownVersion: known}}, func() { asked = c.o.clock() })
	if err != nil {
		return
	}
	if !told.SessionAlive {
		c.lost(holder)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		return
	}
	grants := told.Grants
	if grants == nil && told.GrantsVersion != known {
		grants = []lease.Grant{} // it holds nothing
	}
	holder.ApplyKeepAlive(asked, grants, told.GrantsVersion)
	for _, h := range c.held {
		if holder.Broken(h.Name) { // its holder is told, and has what is left of its time to stop and let go
			h.cancel(ErrBroken)
		} else if h.valid() {
			c.arm(h)
		}
	}
	c.wake()
}
