package lease

import (
	"context"
	"errors"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Held is a lease that this client holds until its context ends, or operators break it. Its methods are safe for concurrent use.
type Held struct {
	Name   string
	Token  Token
	client *Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Context returns a context that ends before another session can hold the lease; context.Cause says why: ErrLost, ErrReleased, ErrBroken or
// ErrClosed. Where operators broke the lease it ends early: the lease is still held for Left, which is time to stop and to Release, so that
// the next holder need not wait for all of it.
func (h *Held) Context() context.Context { return h.ctx }

// Valid reports whether the lease is held now, by a clock that counts the time for which the machine sleeps.
func (h *Held) Valid() bool {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	return h.valid()
}

// valid is Valid for a caller that holds Client.mu. A lease that is not held any more is ended.
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
	if h.client.session != nil { // the session may live on: it must not keep a grant that nobody uses
		h.client.startCommand(lease.Command{Kind: lease.Cancel, Name: h.Name})
	}
	return false
}

// Left returns for how long the lease is held if it is not renewed any more; 0: it is lost.
func (h *Held) Left() time.Duration {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	if !h.valid() {
		return 0
	}
	_, until, _ := h.client.session.Held(h.Name, h.client.now())
	return until.Sub(h.client.now())
}

// endHeld ends the belief in a lease, and its context. The caller holds Client.mu.
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

// resetTimer has the context end at the present expiry. The caller holds Client.mu.
func (c *Client) resetTimer(h *Held) {
	_, until, _ := c.session.Held(h.Name, c.now())
	h.timer.Reset(max(0, until.Sub(c.now())))
}

// endBelief ends the belief in the lease, which comes before its release; it returns false where the lease was lost already.
func (h *Held) endBelief() bool {
	h.client.mu.Lock()
	defer h.client.mu.Unlock()
	if !h.valid() {
		return false
	}
	h.client.endHeld(h, ErrReleased)
	return true
}

// Release releases the lease. Its context has ended before the request is sent. Where ctx ends first the request is sent all the same.
func (h *Held) Release(ctx context.Context) error {
	if !h.endBelief() {
		return ErrLost
	}
	answer, _, err := h.client.runCommand(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token})
	if err == nil && answer.Status != lease.OK {
		err = ErrLost
	}
	return err
}

// ErrNotWaiting says that a lease was not handed over, for the other session does not wait for it. It is released all the same.
var ErrNotWaiting = errors.New("the session does not wait for the lease")

// Transfer hands the lease to a session that waits for it (Client.Session), before all others. Its context has ended before the request is
// sent.
func (h *Held) Transfer(ctx context.Context, to uint64) error {
	if !h.endBelief() {
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
