package lease

import (
	"context"
	"errors"
	"time"

	"petrelhook/internal/coordination/lease"
)

// Held is a lease that is held until its context ends.
type Held struct {
	Name   string
	Token  Token
	c      *Client
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// Context ends before the lease can be another's. Where operators broke it (ErrBroken, by context.Cause) it ends sooner: the lease is
// still held for Left, time to stop in and to Release, so that who is next need not wait for all of it.
func (h *Held) Context() context.Context { return h.ctx }

// Valid reports whether the lease is held now, by a clock that counts the time for which the machine sleeps.
func (h *Held) Valid() bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.valid()
}

// valid is Valid for who holds Client.mu; what is over ends the context.
func (h *Held) valid() bool {
	if h.c.held[h.Name] != h {
		return false
	}
	if h.c.holder != nil {
		if token, _, ok := h.c.holder.Held(h.Name, h.c.o.clock()); ok && token == h.Token {
			return true
		}
	}
	h.c.drop(h, ErrLost)
	if h.c.holder != nil { // the session may live on: it must not keep what nobody knows of
		h.c.begin(lease.Command{Kind: lease.Cancel, Name: h.Name})
	}
	return false
}

// Left is for how long the lease is held if nothing more is heard: 0, it is lost.
func (h *Held) Left() time.Duration {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if !h.valid() {
		return 0
	}
	_, until, _ := h.c.holder.Held(h.Name, h.c.o.clock())
	return until.Sub(h.c.o.clock())
}

// drop ends what is believed of a lease. The caller holds Client.mu.
func (c *Client) drop(h *Held, why error) {
	if c.held[h.Name] != h {
		return
	}
	delete(c.held, h.Name)
	if c.holder != nil {
		c.holder.Forget(h.Name)
	}
	h.timer.Stop()
	h.cancel(why)
}

// arm has the context end in time. The caller holds Client.mu.
func (c *Client) arm(h *Held) {
	_, until, _ := c.holder.Held(h.Name, c.o.clock())
	h.timer.Reset(max(0, until.Sub(c.o.clock())))
}

// end stops to believe in the lease, before it is let go of; false: it was lost already.
func (h *Held) end() bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if !h.valid() {
		return false
	}
	h.c.drop(h, ErrReleased)
	return true
}

// Release lets go of the lease. Its context has ended when Release begins to ask.
func (h *Held) Release(ctx context.Context) error {
	if !h.end() {
		return ErrLost
	}
	a, _, err := h.c.command(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token})
	if err == nil && a.Status != lease.OK {
		err = ErrLost
	}
	return err
}

// ErrNotWaiting says that a lease was not handed over: the other session does not wait for it. It is let go of all the same.
var ErrNotWaiting = errors.New("that session does not wait for it")

// Transfer hands the lease to a session that waits for it, before all others. Its context has ended when Transfer begins to ask.
func (h *Held) Transfer(ctx context.Context, to uint64) error {
	if !h.end() {
		return ErrLost
	}
	a, _, err := h.c.command(ctx, lease.Command{Kind: lease.Transfer, Name: h.Name, Token: h.Token, TransferTo: lease.SessionID(to)})
	if err != nil || a.Status == lease.OK {
		return err
	}
	if _, _, err := h.c.command(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token}); err != nil {
		return err
	}
	return ErrNotWaiting
}
