package lease

import (
	"context"
	"errors"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Held is a lease that this client holds until it is released or lost, or the client is closed. Its methods are safe for
// concurrent use.
type Held struct {
	Name   string
	Token  Token
	client *Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Context returns a context that ends before another session can hold the lease. context.Cause returns the reason: ErrLost,
// ErrReleased, ErrBroken or ErrClosed. After ErrBroken the client still holds the lease for Left; the holder should stop and call
// Release, so that the next holder need not wait until Left has passed.
func (h *Held) Context() context.Context { return h.ctx }

// Valid reports whether the client holds the lease now, by the clock of Options, which includes the time for which the machine is
// suspended.
func (h *Held) Valid() bool {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	return h.valid()
}

// valid implements Valid for a caller that holds Client.mu. It ends a lease that is no longer held.
func (h *Held) valid() bool {
	if h.client.held[h.Name] != h {
		return false
	}
	if h.client.session != nil {
		if token, _, ok := h.client.session.Held(h.Name, h.client.now()); ok && token == h.Token {
			return true
		}
	}
	h.client.endHeld(h, ErrLost)
	if h.client.session != nil { // the session may still be alive at the coordinators, and must not keep a grant without a holder
		h.client.startCommand(lease.Command{Kind: lease.Cancel, Name: h.Name})
	}
	return false
}

// Left returns how long the client holds the lease without a further renewal; 0 if it no longer holds it.
func (h *Held) Left() time.Duration {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	if !h.valid() {
		return 0
	}
	_, until, _ := h.client.session.Held(h.Name, h.client.now())
	return until.Sub(h.client.now())
}

// endHeld ends a lease in this client, and its context with that cause. It sends nothing. The caller holds Client.mu.
func (c *Client) endHeld(h *Held, cause error) {
	if c.held[h.Name] != h {
		return
	}
	delete(c.held, h.Name)
	if c.session != nil {
		c.session.Forget(h.Name)
	}
	h.timer.Stop()
	h.cancel(cause)
}

// resetTimer sets the timer that ends the lease's context to the present expiry of the lease. The caller holds Client.mu.
func (c *Client) resetTimer(h *Held) {
	_, until, _ := c.session.Held(h.Name, c.now())
	h.timer.Reset(max(0, until.Sub(c.now())))
}

// stopHolding ends the lease in this client, before the request to release it is sent. It returns false if the lease had ended
// already.
func (h *Held) stopHolding() bool {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	if !h.valid() {
		return false
	}
	h.client.endHeld(h, ErrReleased)
	return true
}

// Release releases the lease. The lease's context ends before the request is sent. If ctx ends before the answer, Release returns
// its error and the client continues to send the request. ErrLost means that the client no longer held the lease.
func (h *Held) Release(ctx context.Context) error {
	if !h.stopHolding() {
		return ErrLost
	}
	answer, _, err := h.client.runCommand(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token})
	if err == nil && answer.Status != lease.OK {
		err = ErrLost
	}
	return err
}

// ErrNotWaiting is returned by Transfer if the other session does not wait for the lease. The lease is released.
var ErrNotWaiting = errors.New("the session does not wait for the lease")

// Transfer hands over the lease to a session that waits for it, ahead of all other waiters; to is the other client's
// Client.Session. The lease's context ends before the request is sent. ErrLost means that the client no longer held the lease.
func (h *Held) Transfer(ctx context.Context, to uint64) error {
	if !h.stopHolding() {
		return ErrLost
	}
	answer, _, err := h.client.runCommand(ctx, lease.Command{Kind: lease.Transfer, Name: h.Name, Token: h.Token, TransferTo: lease.SessionID(to)})
	if err != nil || answer.Status == lease.OK {
		return err
	}
	if _, _, err := h.client.runCommand(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token}); err != nil {
		return err
	}
	return ErrNotWaiting
}
