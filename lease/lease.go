// Package lease lets an application hold leases of the fleet's coordinators (petrelhook-coordinator): of all that ask for a name at most one
// holds it. Hold gives a context that ends before the lease can be another's, and a token; whatever the lease protects should keep a
// Guard and be sent the token, for a holder may be stopped between its look at the context and its act.
//
// A Client has one session, which lives as long as a majority of the coordinators hears of it. It dies with the process.
package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/monotonic"
)

// Token is of one grant, and larger than that of every grant before it.
type Token = lease.Token

// What Hold and Held.Err may say.
var (
	ErrTaken    = errors.New("somebody else holds it")
	ErrLost     = errors.New("the lease is lost: the coordinators were out of reach for too long")
	ErrReleased = errors.New("the lease was released")
	ErrBroken   = errors.New("operators broke the lease")
	ErrClosed   = errors.New("the client is closed")
)

// Options are what a client is told.
type Options struct {
	Addrs []string      // of the coordinators
	Owner string        // a name for people
	TTL   time.Duration // for how long the session lives without a word; 0: 10 s
	clock func() lease.Instant
}

// Client is a session, and what it holds.
type Client struct {
	o      Options
	caller fleet.Caller
	ctx    context.Context
	end    context.CancelFunc
	sides  sync.WaitGroup

	mu      sync.Mutex
	last    chan struct{}       // closed when the last command in the line is over
	asking  map[string]bool     // names that a call of Hold or Try is about
	holder  *lease.SessionState // nil: there is no session
	seq     uint64
	held    map[string]*Held
	changed chan struct{} // closed when a grant has come or the session has changed
}

// New makes a client. It asks nothing yet.
func New(o Options) (*Client, error) {
	if o.TTL == 0 {
		o.TTL = 10 * time.Second
	}
	if o.clock == nil {
		o.clock = monotonic.Now
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
	c := &Client{o: o, last: first, asking: map[string]bool{}, held: map[string]*Held{}, changed: make(chan struct{}), caller: fleet.Caller{
		Addrs: o.Addrs, Timeout: max(o.TTL/4, 250*time.Millisecond), RetryInterval: o.TTL / 100,
		HTTPClient: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: o.TTL / 4}).DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.sides.Go(c.live)
	return c, nil
}

// Hold waits until the lease is this client's, and holds it until Release, or until it is lost. A client holds a name once.
func (c *Client) Hold(ctx context.Context, name string) (*Held, error) {
	return c.hold(ctx, name, true)
}

// Try is Hold without waiting: ErrTaken says that somebody else has it.
func (c *Client) Try(ctx context.Context, name string) (*Held, error) {
	return c.hold(ctx, name, false)
}

func (c *Client) hold(ctx context.Context, name string, wait bool) (*Held, error) {
	c.mu.Lock()
	busy := c.asking[name] || c.held[name] != nil
	if !busy {
		c.asking[name] = true
	}
	c.mu.Unlock()
	if busy {
		return nil, fmt.Errorf("%s: this client holds it already, or asks for it", name)
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.asking, name)
	}()
	for {
		if err := c.session(ctx); err != nil {
			return nil, err
		}
		a, holder, err := c.command(ctx, lease.Command{Kind: lease.Acquire, Name: name, Wait: wait})
		switch {
		case err != nil:
			c.cancel(holder, name)
			return nil, err
		case a.Status == lease.OK:
			if h := c.granted(holder, name, a.Token); h != nil {
				return h, nil
			}
			continue
		case a.Status == lease.NoSession:
			continue
		case a.Status == lease.HeldByOther:
			return nil, fmt.Errorf("%s: %w: %s", name, ErrTaken, a.Holder)
		case a.Status != lease.Waiting:
			return nil, fmt.Errorf("%s: %v", name, a.Status)
		}
		if h, err := c.await(ctx, holder, name); h != nil || err != nil {
			return h, err
		}
	}
}

// await waits for a grant that a renewal tells of; neither: the session is over.
func (c *Client) await(ctx context.Context, holder *lease.SessionState, name string) (*Held, error) {
	for {
		c.mu.Lock()
		if c.holder != holder {
			c.mu.Unlock()
			return nil, nil
		}
		token, _, ok := holder.Held(name, c.o.clock())
		changed := c.changed
		c.mu.Unlock()
		if ok {
			return c.granted(holder, name, token), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.cancel(holder, name)
			return nil, ctx.Err()
		case <-c.ctx.Done():
			return nil, ErrClosed
		}
	}
}

// granted begins to hold; nil: it is over already.
func (c *Client) granted(holder *lease.SessionState, name string, token Token) *Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		return nil
	}
	holder.ApplyGrant(c.o.clock(), name, token)
	if _, _, ok := holder.Held(name, c.o.clock()); !ok {
		return nil
	}
	h := &Held{Name: name, Token: token, c: c}
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	h.timer = time.AfterFunc(time.Hour, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if h.valid() { // renewed meanwhile
			c.arm(h)
		}
	})
	c.held[name] = h
	c.arm(h)
	return h
}

// cancel waits no more for a lease, or for its grant.
func (c *Client) cancel(holder *lease.SessionState, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder != nil && c.holder == holder {
		holder.Forget(name)
		c.begin(lease.Command{Kind: lease.Cancel, Name: name})
	}
}

// Session is the client's in the coordinators' words; 0: there is none yet. Others name it to hand a lease to it.
func (c *Client) Session() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder == nil {
		return 0
	}
	return uint64(c.holder.Session)
}

// Close ends the session and all that it holds.
func (c *Client) Close() error {
	c.mu.Lock()
	for _, h := range c.held {
		c.drop(h, ErrClosed)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, c.o.TTL/2)
	_, _, err := c.command(ctx, lease.Command{Kind: lease.Close})
	cancel()
	c.end()
	c.sides.Wait()
	c.caller.HTTPClient.CloseIdleConnections()
	if errors.Is(err, errNoSession) {
		return nil
	}
	return err
}

var errNoSession = errors.New("there is no session")
