package lease

import (
	"context"
	"errors"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
)

// enqueue takes the next position in the queue of commands. previousOver is closed when all commands before this one have
// finished; the caller calls done when this one has. The caller holds Client.mu.
func (c *Client) enqueue() (previousOver <-chan struct{}, done func()) {
	previous, own := c.lastCommand, make(chan struct{})
	c.lastCommand = own
	return previous, func() { close(own) }
}

// commandResult is the answer to a command and the session that it was sent in (nil: there was none). err says why there is no
// answer.
type commandResult struct {
	answer  lease.Answer
	session *lease.SessionState
	err     error
}

// startCommand enqueues a command and sends it from a goroutine of its own until it is answered, even if the caller does not wait
// for the result. The command has its position in the queue when startCommand returns, so that an earlier command cannot end the
// grant of a later one. The caller holds Client.mu.
func (c *Client) startCommand(cmd lease.Command) <-chan commandResult {
	previousOver, done := c.enqueue()
	result := make(chan commandResult, 1)
	c.background.Go(func() {
		defer done()
		<-previousOver
		answer, session, err := c.sendCommand(cmd)
		result <- commandResult{answer, session, err}
	})
	return result
}

// runCommand starts a command and waits for its answer. If ctx ends first, it returns ctx.Err() and the command continues.
func (c *Client) runCommand(ctx context.Context, cmd lease.Command) (lease.Answer, *lease.SessionState, error) {
	c.mu.Lock()
	result := c.startCommand(cmd)
	c.mu.Unlock()
	select {
	case r := <-result:
		return r.answer, r.session, r.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return lease.Answer{}, c.session, ctx.Err()
	}
}

// sendCommand sends a command until it is answered or the session ends. It is called once all earlier commands have finished.
func (c *Client) sendCommand(cmd lease.Command) (lease.Answer, *lease.SessionState, error) {
	c.mu.Lock()
	session := c.session
	if session == nil {
		c.mu.Unlock()
		return lease.Answer{Status: lease.NoSession}, nil, errNoSession
	}
	c.lastSeq++
	cmd.Session, cmd.Seq = session.Session, c.lastSeq
	switch cmd.Kind {
	case lease.Acquire:
		session.BeginWait(cmd.Name, c.now())
	case lease.Cancel: // cancels the wait that an earlier command began, or the grant that the wait has led to
		session.Forget(cmd.Name)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	response, err := c.caller.Call(ctx, &fleet.Request{Command: &cmd}, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.session != session || session.Expiry() <= c.now() {
			cancel(ErrLost)
		}
	})
	if errors.Is(err, ErrLost) {
		c.loseSession(session)
		return lease.Answer{Status: lease.NoSession}, session, nil
	}
	if c.ctx.Err() != nil && err != nil {
		err = ErrClosed
	}
	if err != nil {
		return lease.Answer{}, session, err
	}
	if response.Answer.Status == lease.NoSession {
		c.loseSession(session)
	}
	return response.Answer, session, nil
}
