package lease

import (
	"context"
	"errors"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
)

// turn takes the next place in the line of commands: wait ends when all before are over, done says that this one is. The caller holds
// Client.mu.
func (c *Client) turn() (wait <-chan struct{}, done func()) {
	before, mine := c.last, make(chan struct{})
	c.last = mine
	return before, func() { close(mine) }
}

type result struct {
	a      lease.Answer
	holder *lease.SessionState
	err    error
}

// begin asks for something in the session until there is an answer, also where the caller does not wait for it. Its place in the
// line is taken when begin returns: a grant that is asked for later must not be ended by what was asked before. The caller holds
// Client.mu.
func (c *Client) begin(cmd lease.Command) <-chan result {
	wait, done := c.turn()
	out := make(chan result, 1)
	c.sides.Go(func() {
		defer done()
		<-wait
		a, holder, err := c.carryOut(cmd)
		out <- result{a, holder, err}
	})
	return out
}

// command begins a command and waits for its answer.
func (c *Client) command(ctx context.Context, cmd lease.Command) (lease.Answer, *lease.SessionState, error) {
	c.mu.Lock()
	out := c.begin(cmd)
	c.mu.Unlock()
	select {
	case r := <-out:
		return r.a, r.holder, r.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return lease.Answer{}, c.holder, ctx.Err()
	}
}

// carryOut asks until there is an answer, or the session is over. It is this command's turn.
func (c *Client) carryOut(cmd lease.Command) (lease.Answer, *lease.SessionState, error) {
	c.mu.Lock()
	holder := c.holder
	if holder == nil {
		c.mu.Unlock()
		return lease.Answer{Status: lease.NoSession}, nil, errNoSession
	}
	c.seq++
	cmd.Session, cmd.Seq = holder.Session, c.seq
	switch cmd.Kind {
	case lease.Acquire:
		holder.BeginWait(cmd.Name, c.o.clock())
	case lease.Cancel: // what the command before it began to want, or has been granted
		holder.Forget(cmd.Name)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	told, err := c.caller.Call(ctx, &fleet.Request{Command: &cmd}, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.holder != holder || holder.Expiry() <= c.o.clock() {
			cancel(ErrLost)
		}
	})
	if errors.Is(err, ErrLost) {
		c.lost(holder)
		return lease.Answer{Status: lease.NoSession}, holder, nil
	}
	if c.ctx.Err() != nil && err != nil {
		err = ErrClosed
	}
	if err != nil {
		return lease.Answer{}, holder, err
	}
	if told.Answer.Status == lease.NoSession {
		c.lost(holder)
	}
	return told.Answer, holder, nil
}
