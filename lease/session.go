package lease

import (
	"context"
	"crypto/rand"
	mrand "math/rand/v2"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// ensureSession opens a session if there is none, or the present one has expired. It waits until all earlier commands have
// finished.
func (c *Client) ensureSession(ctx context.Context) error {
	c.mu.Lock()
	previousOver, done := c.enqueue()
	c.mu.Unlock()
	select {
	case <-previousOver:
		defer done()
	case <-ctx.Done(): // the position in the queue stays occupied until the earlier commands have finished
		c.background.Go(func() { <-previousOver; done() })
		return ctx.Err()
	}
	c.mu.Lock()
	alive := c.session != nil && c.session.Expiry() > c.now()
	c.mu.Unlock()
	if alive {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(c.ctx, func() { cancel(ErrClosed) })()
	cmd := lease.Command{Kind: lease.Open, TTL: c.options.TTL, Owner: c.options.Owner, Nonce: rand.Text()}
	for {
		requestedAt := c.now()
		response, err := c.caller.Call(ctx, &fleet.Request{Command: &cmd}, nil)
		if err != nil {
			return err
		}
		if response.Answer.Status != lease.OK {
			return refusalError("session", response.Answer.Status)
		}
		session := lease.NewSessionState(requestedAt, response.Answer.Session, c.options.TTL)
		if session.Expiry() <= c.now() { // the response came after the TTL: this session may have expired already, so open another one
			cmd.Nonce = rand.Text()
			continue
		}
		c.mu.Lock()
		c.endSession(c.session)
		c.session, c.lastSeq = session, 0
		c.notifyChanged()
		c.mu.Unlock()
		return nil
	}
}

// notifyChanged wakes all goroutines that wait for a grant or for the end of the session. The caller holds Client.mu.
func (c *Client) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// endSession ends a session and its leases, unless another session has replaced it. The caller holds Client.mu.
func (c *Client) endSession(session *lease.SessionState) {
	if session == nil || c.session != session {
		return
	}
	for _, h := range c.held {
		c.endHeld(h, ErrLost)
	}
	session.Invalidate()
	c.session = nil
}

// loseSession ends a session that no longer exists at the coordinators, or whose TTL has passed.
func (c *Client) loseSession(session *lease.SessionState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endSession(session)
	c.notifyChanged()
}

// renewLoop renews the session until the client is closed. The interval is drawn at random from a sixth to a third of the TTL, so
// that clients do not renew at the same moment.
func (c *Client) renewLoop() {
	for {
		third := c.options.TTL / 3
		timer := time.NewTimer(third/2 + mrand.N(third/2))
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		c.mu.Lock()
		session := c.session
		c.mu.Unlock()
		if session == nil {
			continue
		}
		c.renew(session)
	}
}

// renew sends a keep-alive request and applies the grants that its response reports. A request without a response changes
// nothing.
func (c *Client) renew(session *lease.SessionState) {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.TTL)
	defer cancel()
	requestedAt := c.now()
	c.mu.Lock()
	knownVersion := session.KnownVersion()
	c.mu.Unlock()
	request := &fleet.Request{KeepAlive: &replica.KeepAlive{Session: session.Session, KnownVersion: knownVersion}}
	response, err := c.caller.Call(ctx, request, func() { requestedAt = c.now() })
	if err != nil {
		return
	}
	if !response.SessionAlive {
		c.loseSession(session)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return
	}
	grants := response.Grants
	if grants == nil && response.GrantsVersion != knownVersion {
		grants = []lease.Grant{} // the session holds nothing
	}
	session.ApplyKeepAlive(requestedAt, grants, response.GrantsVersion)
	for _, h := range c.held {
		if session.Broken(h.Name) { // the context ends, and the holder has the rest of the TTL to stop and release the lease
			h.cancel(ErrBroken)
		} else if h.valid() {
			c.resetTimer(h)
		}
	}
	c.notifyChanged()
}
