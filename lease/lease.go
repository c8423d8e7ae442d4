// Package lease lets an application hold leases of the fleet's coordinators (petrelhook-coordinator): of all clients that want the lease of a
// name at most one holds it. Hold returns a lease with a context, which ends before another client can hold it, and a fencing token. A
// resource that the lease protects should keep a Guard and be sent the token, for a holder may be stopped between its check of the context
// and its act.
//
// A Client has one session, which lives as long as it is renewed at a majority of the coordinators. The session ends with the process. All
// types are safe for concurrent use.
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

// Token is the fencing token of one grant: larger than that of every grant before it.
type Token = lease.Token

// Errors of Hold and Try, which wrap them with the name of the lease, and causes of the end of a lease's context.
var (
	// ErrTaken says that another session holds the lease.
	ErrTaken = errors.New("another session holds the lease")
	// ErrLost says that the session was not renewed in time, or does not exist any more.
	ErrLost = errors.New("the lease is lost: the coordinators were out of reach for too long")
	// ErrReleased says that the holder released the lease.
	ErrReleased = errors.New("the lease was released")
	// ErrBroken says that operators broke the lease: the holder has Held.Left to release it.
	ErrBroken = errors.New("operators broke the lease")
	// ErrClosed says that the client was closed.
	ErrClosed = errors.New("the client is closed")
	// ErrHeldHere says that this client holds the lease, or another of its calls waits for it.
	ErrHeldHere = errors.New("this client holds the lease already, or waits for it")
	// ErrFull says that the coordinators have as many sessions, or the lease as many waiters, as their bounds allow.
	ErrFull = errors.New("full")
	// ErrEmbargoed says that the coordinators grant nothing yet, because their state was restored from a copy.
	ErrEmbargoed = errors.New("embargoed")
)

const (
	defaultTTL = 10 * time.Second
	// minCallTimeout is the shortest time-out of one call to a coordinator; it is a quarter of the TTL where that is longer.
	minCallTimeout = 250 * time.Millisecond
)

// Options are the settings of a client.
type Options struct {
	Addrs []string      // of the coordinators
	Owner string        // a name for operators; two clients may have the same
	TTL   time.Duration // for how long the session lives without a renewal; 0: 10 s

	// Dial opens connections to coordinators, as net.Dialer.DialContext does; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Clock reads a steady clock that is never set and counts the time for which the machine sleeps, in nanoseconds since any moment; nil:
	// CLOCK_BOOTTIME. It is called from any goroutine. One that stops while the machine sleeps lets two clients hold a lease.
	Clock func() time.Duration
}

// Client is a session, and the leases that it holds.
type Client struct {
	options    Options
	caller     fleet.Caller
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu          sync.Mutex
	lastCommand chan struct{}       // closed when the last command of the queue is over
	acquiring   map[string]bool     // names for which a call of Hold or Try is under way
	session     *lease.SessionState // nil: there is no session
	lastSeq     uint64              // of the commands of the session
	held        map[string]*Held
	changed     chan struct{} // closed when a grant has come, or the session has changed
}

// New returns a client. It opens a session when a lease is wanted. Close ends it.
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
	check := lease.Command{Kind: lease.Open, TTL: o.TTL, Owner: o.Owner, Nonce: rand.Text()}
	if err := check.Check(); err != nil {
		return nil, err
	}
	first := make(chan struct{})
	close(first)
	c := &Client{options: o, lastCommand: first, acquiring: map[string]bool{}, held: map[string]*Held{}, changed: make(chan struct{})}
	c.caller.Addrs = o.Addrs
	c.caller.Timeout, c.caller.RetryInterval = max(o.TTL/4, minCallTimeout), o.TTL/100
	c.caller.HTTPClient = rpc.NewHTTPClient(rpc.HTTPOptions{Dial: o.Dial, DialTimeout: o.TTL / 4, MaxIdleConnsPerHost: 4})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.background.Go(c.renewLoop)
	return c, nil
}

// now is the reading of the client's clock.
func (c *Client) now() lease.Instant { return lease.Instant(c.options.Clock()) }

// Hold waits until this client holds the lease of a name, or ctx ends. The lease is held until it is released, lost or broken, whatever
// becomes of ctx. A client holds a name once; a second call meanwhile is ErrHeldHere. While no coordinator answers it tries on.
func (c *Client) Hold(ctx context.Context, name string) (*Held, error) {
	return c.acquire(ctx, name, true)
}

// Try is Hold without waiting: it returns ErrTaken where another session holds the lease.
func (c *Client) Try(ctx context.Context, name string) (*Held, error) {
	return c.acquire(ctx, name, false)
}

// acquire is Hold, or Try where wait is false. A session that ends meanwhile is replaced by a new one.
func (c *Client) acquire(ctx context.Context, name string, wait bool) (*Held, error) {
	c.mu.Lock()
	busy := c.acquiring[name] || c.held[name] != nil
	if !busy {
		c.acquiring[name] = true
	}
	c.mu.Unlock()
	if busy {
		return nil, fmt.Errorf("%s: %w", name, ErrHeldHere)
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
			return nil, refusal(name, answer.Status)
		}
		if h, err := c.awaitGrant(ctx, session, name); h != nil || err != nil {
			return h, err
		}
	}
}

// refusal is the error of a command that the coordinators refuse; what names the lease, or is "session".
func refusal(what string, status lease.Status) error {
	switch status {
	case lease.Full:
		return fmt.Errorf("%s: %w", what, ErrFull)
	case lease.Embargoed:
		return fmt.Errorf("%s: %w", what, ErrEmbargoed)
	}
	return fmt.Errorf("%s: %v", what, status)
}

// awaitGrant waits for a grant that a renewal reports. It returns neither a lease nor an error where the session is over.
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

// newHeld returns the lease of a grant; nil where the session, or the grant, is over already.
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
		if h.valid() { // renewed meanwhile
			c.resetTimer(h)
		}
	})
	c.held[name] = h
	c.resetTimer(h)
	return h
}

// abandon ends the wait for a lease, and the grant that it may have got meanwhile.
func (c *Client) abandon(session *lease.SessionState, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if session != nil && c.session == session {
		session.Forget(name)
		c.startCommand(lease.Command{Kind: lease.Cancel, Name: name})
	}
}

// Session returns the id of the client's session; 0: there is none yet. Another client names it to Transfer a lease to this one.
func (c *Client) Session() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return 0
	}
	return uint64(c.session.Session)
}

// Close ends the session and everything that it holds, and waits for the requests of the client to end.
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

// errNoSession is the error of a command where the client has no session: there is nothing that it could be about.
var errNoSession = errors.New("there is no session")
