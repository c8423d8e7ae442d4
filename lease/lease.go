// Package lease is the client for leases of the fleet's coordinators (petrelhook-coordinator). A lease has a name, and at most
// one client holds it at a time. Hold returns a lease with a fencing token and a context that ends before another client can hold
// the lease. A holder may be paused between its check of the context and the operation that the lease protects. The protected
// resource should therefore check the token of each operation with a Guard.
//
// A Client has one session, which stays alive as long as a majority of the coordinators confirms its renewals. The client renews
// it until it is closed or its process ends. All types are safe for concurrent use.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/rpc"
)

// Token is the fencing token of one grant. It is larger than the token of every earlier grant.
type Token = lease.Token

// Errors of Hold and Try, which may be wrapped with the name of the lease, and causes of the end of a lease's context.
var (
	// ErrTaken is returned by Try if another session holds the lease.
	ErrTaken = errors.New("another session holds the lease")
	// ErrLost means that the session was not renewed in time, or no longer exists.
	ErrLost = errors.New("the lease is lost: the coordinators were out of reach for too long")
	// ErrReleased is the cause after the holder has released the lease.
	ErrReleased = errors.New("the lease was released")
	// ErrBroken is the cause after an operator has broken the lease. The holder still holds it for Held.Left, and should release it.
	ErrBroken = errors.New("an operator broke the lease")
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("the client is closed")
	// ErrAlreadyHeld means that this client holds the lease already, or that another of its calls is acquiring it.
	ErrAlreadyHeld = errors.New("this client already holds the lease or is acquiring it")
	// ErrLimitReached means that the coordinators have as many sessions, or the lease as many waiters, as their limits allow.
	ErrLimitReached = errors.New("too many sessions, or too many waiters for the lease")
	// ErrEmbargoed means that the coordinators grant nothing yet, because their state was restored from a copy.
	ErrEmbargoed = errors.New("the coordinators grant no leases yet: their state was restored from a copy")
)

const (
	defaultTTL = 10 * time.Second
	// minCallTimeout is the shortest time-out of one call to a coordinator. The time-out is a quarter of the TTL if that is longer.
	minCallTimeout = 250 * time.Millisecond
)

// Options are the settings of a client.
type Options struct {
	Addrs []string      // of the coordinators
	Owner string        // a name that operators see; two clients may have the same name
	TTL   time.Duration // how long the session lives without a renewal; 0: defaultTTL, 10 s

	// Dial opens connections to coordinators, as net.Dialer.DialContext does; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock reads a monotonic clock that includes the time for which the machine is suspended; its origin does not matter. nil:
	// CLOCK_BOOTTIME. It is called from several goroutines at the same time. With a clock that stops while the machine is suspended,
	// two clients may hold the same lease.
	Clock func() time.Duration
}

// Client acquires leases in a session of its own and renews the session. It is safe for concurrent use.
type Client struct {
	options    Options
	caller     fleet.Caller
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu          sync.Mutex
	lastCommand chan struct{}       // closed when the last command of the queue has finished
	acquiring   map[string]bool     // the names for which a call of Hold or Try is in progress
	session     *lease.SessionState // nil: there is no session
	lastSeq     uint64              // the sequence number of the last command of the session
	held        map[string]*Held
	changed     chan struct{} // closed, and replaced, when a renewal was answered or the session has changed
}

// New returns a client, which opens its session with the first call of Hold or Try. The caller ends it with Close. An error means
// that an option is invalid.
func New(o Options) (*Client, error) {
	if o.TTL == 0 {
		o.TTL = defaultTTL
	}
	if o.Clock == nil {
		o.Clock = func() time.Duration { return time.Duration(monotonic.Now()) }
	}
	if len(o.Addrs) == 0 {
		return nil, errors.New("addrs: write the address of a coordinator")
	}
	for _, a := range o.Addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("addrs: %q: write host:port", a)
		}
	}
	openCommand := lease.Command{Kind: lease.Open, TTL: o.TTL, Owner: o.Owner, Nonce: rand.Text()}
	if err := openCommand.Check(); err != nil {
		return nil, err
	}
	alreadyClosed := make(chan struct{})
	close(alreadyClosed)
	c := &Client{options: o, lastCommand: alreadyClosed, acquiring: map[string]bool{}, held: map[string]*Held{}, changed: make(chan struct{})}
	c.caller.Addrs = o.Addrs
	c.caller.Timeout, c.caller.RetryInterval = max(o.TTL/4, minCallTimeout), o.TTL/100
	c.caller.HTTPClient = rpc.NewHTTPClient(rpc.HTTPOptions{Dial: o.Dial, DialTimeout: o.TTL / 4, MaxIdleConnsPerHost: 4})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.background.Go(c.renewLoop)
	return c, nil
}

// now returns the reading of the client's clock.
func (c *Client) now() lease.Instant { return lease.Instant(c.options.Clock()) }

// Hold waits until this client holds the lease with that name, or ctx ends. The client then holds the lease until it is released,
// lost or broken; the end of ctx does not end the lease. While the client holds the lease or another call is acquiring it, a
// further call returns ErrAlreadyHeld. While no coordinator answers, Hold retries.
func (c *Client) Hold(ctx context.Context, name string) (*Held, error) {
	return c.acquire(ctx, name, true)
}

// Try is like Hold, but returns ErrTaken without waiting if another session holds the lease.
func (c *Client) Try(ctx context.Context, name string) (*Held, error) {
	return c.acquire(ctx, name, false)
}

// acquire implements Hold and, if wait is false, Try. If the session ends meanwhile, it starts again in a new session.
func (c *Client) acquire(ctx context.Context, name string, wait bool) (*Held, error) {
	c.mu.Lock()
	heldOrWaiting := c.acquiring[name] || c.held[name] != nil
	if !heldOrWaiting {
		c.acquiring[name] = true
	}
	c.mu.Unlock()
	if heldOrWaiting {
		return nil, fmt.Errorf("%s: %w", name, ErrAlreadyHeld)
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.acquiring, name)
	}()
	for {
		if err := c.ensureSession(ctx); err != nil {
			return nil, err
		}
		answer, session, err := c.runCommand(ctx, lease.Command{Kind: lease.Acquire, Name: name, Wait: wait})
		switch {
		case err != nil:
			c.abandon(session, name)
			return nil, err
		case answer.Status == lease.OK:
			if h := c.newHeld(session, name, answer.Token); h != nil {
				return h, nil
			}
			continue
		case answer.Status == lease.NoSession:
			continue
		case answer.Status == lease.HeldByOther:
			return nil, fmt.Errorf("%s: %w: %s", name, ErrTaken, answer.Holder)
		case answer.Status != lease.Waiting:
			return nil, refusalError(name, answer.Status)
		}
		if h, err := c.awaitGrant(ctx, session, name); h != nil || err != nil {
			return h, err
		}
	}
}

// refusalError returns the error for a command that the coordinators have refused. subject is the name of the lease, or
// "session".
func refusalError(subject string, status lease.Status) error {
	switch status {
	case lease.Full:
		return fmt.Errorf("%s: %w", subject, ErrLimitReached)
	case lease.Embargoed:
		return fmt.Errorf("%s: %w", subject, ErrEmbargoed)
	}
	return fmt.Errorf("%s: %v", subject, status)
}

// awaitGrant waits until a renewal reports a grant of the lease. It returns neither a lease nor an error if the session has
// ended.
func (c *Client) awaitGrant(ctx context.Context, session *lease.SessionState, name string) (*Held, error) {
	for {
		c.mu.Lock()
		if c.session != session {
			c.mu.Unlock()
			return nil, nil
		}
		token, _, ok := session.Held(name, c.now())
		changed := c.changed
		c.mu.Unlock()
		if ok {
			return c.newHeld(session, name, token), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.abandon(session, name)
			return nil, ctx.Err()
		case <-c.ctx.Done():
			return nil, ErrClosed
		}
	}
}

// newHeld returns the lease of a grant; nil if the session or the grant has ended already.
func (c *Client) newHeld(session *lease.SessionState, name string, token Token) *Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != session {
		return nil
	}
	session.ApplyGrant(c.now(), name, token)
	if _, _, ok := session.Held(name, c.now()); !ok {
		return nil
	}
	h := &Held{Name: name, Token: token, client: c}
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	h.timer = time.AfterFunc(time.Hour, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if h.valid() { // a renewal has extended the lease meanwhile
			c.resetTimer(h)
		}
	})
	c.held[name] = h
	c.resetTimer(h)
	return h
}

// abandon cancels the wait for a lease, and the grant that the wait may have led to meanwhile.
func (c *Client) abandon(session *lease.SessionState, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if session != nil && c.session == session {
		session.Forget(name)
		c.startCommand(lease.Command{Kind: lease.Cancel, Name: name})
	}
}

// Session returns the id of the client's session; 0 if there is none. Another client passes the id to Held.Transfer to hand over
// a lease to this one.
func (c *Client) Session() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return 0
	}
	return uint64(c.session.Session)
}

// Close ends the session and its leases, and waits until all requests of the client have ended. An error means that the
// coordinators have not confirmed the end of the session: its leases then become free when the session expires.
func (c *Client) Close() error {
	c.mu.Lock()
	for _, h := range c.held {
		c.endHeld(h, ErrClosed)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, c.options.TTL/2)
	_, _, err := c.runCommand(ctx, lease.Command{Kind: lease.Close})
	cancel()
	c.cancel()
	c.background.Wait()
	c.caller.HTTPClient.CloseIdleConnections()
	if errors.Is(err, errNoSession) {
		return nil
	}
	return err
}

// errNoSession is the error of a command that is sent while the client has no session.
var errNoSession = errors.New("there is no session")
