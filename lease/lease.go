// Package lease lets an application hold leases of the fleet's coordinators (petrelfleet): of all that ask for a name at most one
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
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/fleet"
	"petrelhook/internal/lease"
	"petrelhook/internal/replica"
	"petrelhook/internal/steady"
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
	o     Options
	over  *http.Client
	ctx   context.Context
	end   context.CancelFunc
	sides sync.WaitGroup

	mu      sync.Mutex
	last    chan struct{}   // closed when the last command in the line is over
	asking  map[string]bool // names that a call of Hold or Try is about
	holder  *lease.Holder   // nil: there is no session
	seq     uint64
	leader  int
	held    map[string]*Held
	changed chan struct{} // closed when a grant has come or the session has changed
}

// New makes a client. It asks nothing yet.
func New(o Options) (*Client, error) {
	if o.TTL == 0 {
		o.TTL = 10 * time.Second
	}
	if o.clock == nil {
		o.clock = steady.Now
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
	c := &Client{o: o, last: first, asking: map[string]bool{}, held: map[string]*Held{}, changed: make(chan struct{}), over: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: o.TTL / 4}).DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.sides.Go(c.live)
	return c, nil
}

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
		c.holder.Drop(h.Name)
	}
	h.timer.Stop()
	h.cancel(why)
}

// arm has the context end in time. The caller holds Client.mu.
func (c *Client) arm(h *Held) {
	_, until, _ := c.holder.Held(h.Name, c.o.clock())
	h.timer.Reset(max(0, until.Sub(c.o.clock())))
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
		case a.Status == lease.Gone:
			continue
		case a.Status == lease.Taken:
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
func (c *Client) await(ctx context.Context, holder *lease.Holder, name string) (*Held, error) {
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
func (c *Client) granted(holder *lease.Holder, name string, token Token) *Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		return nil
	}
	holder.Granted(c.o.clock(), name, token)
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

// cancel waits no more for a lease.
func (c *Client) cancel(holder *lease.Holder, name string) {
	c.mu.Lock()
	same := holder != nil && c.holder == holder
	if same {
		holder.Drop(name)
	}
	c.mu.Unlock()
	if same {
		c.begin(lease.Command{Kind: lease.Cancel, Name: name})
	}
}

// Release lets go of the lease. Its context has ended when Release begins to ask.
func (h *Held) Release(ctx context.Context) error {
	h.c.mu.Lock()
	if !h.valid() {
		h.c.mu.Unlock()
		return ErrLost
	}
	h.c.drop(h, ErrReleased)
	h.c.mu.Unlock()
	a, _, err := h.c.command(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token})
	if err == nil && a.Status != lease.OK {
		err = ErrLost
	}
	return err
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

// ErrNotWaiting says that a lease was not handed over: the other session does not wait for it. It is let go of all the same.
var ErrNotWaiting = errors.New("that session does not wait for it")

// Transfer hands the lease to a session that waits for it, before all others. Its context has ended when Transfer begins to ask.
func (h *Held) Transfer(ctx context.Context, to uint64) error {
	h.c.mu.Lock()
	if !h.valid() {
		h.c.mu.Unlock()
		return ErrLost
	}
	h.c.drop(h, ErrReleased)
	h.c.mu.Unlock()
	a, _, err := h.c.command(ctx, lease.Command{Kind: lease.Transfer, Name: h.Name, Token: h.Token, To: lease.SessionID(to)})
	if err != nil || a.Status == lease.OK {
		return err
	}
	if _, _, err := h.c.command(ctx, lease.Command{Kind: lease.Release, Name: h.Name, Token: h.Token}); err != nil {
		return err
	}
	return ErrNotWaiting
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
	c.over.CloseIdleConnections()
	if errors.Is(err, errNoSession) {
		return nil
	}
	return err
}

var errNoSession = errors.New("there is no session")

// turn takes the next place in the line of commands: wait ends when all before are over, done says that this one is.
func (c *Client) turn() (wait <-chan struct{}, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, mine := c.last, make(chan struct{})
	c.last = mine
	return before, func() { close(mine) }
}

type result struct {
	a      lease.Answer
	holder *lease.Holder
	err    error
}

// begin asks for something in the session until there is an answer, also where the caller does not wait for it. Its place in the
// line is taken when begin returns: a grant that is asked for later must not be ended by what was asked before.
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
func (c *Client) command(ctx context.Context, cmd lease.Command) (lease.Answer, *lease.Holder, error) {
	select {
	case r := <-c.begin(cmd):
		return r.a, r.holder, r.err
	case <-ctx.Done():
		c.mu.Lock()
		defer c.mu.Unlock()
		return lease.Answer{}, c.holder, ctx.Err()
	}
}

// carryOut asks until there is an answer, or the session is over. It is this command's turn.
func (c *Client) carryOut(cmd lease.Command) (lease.Answer, *lease.Holder, error) {
	c.mu.Lock()
	holder := c.holder
	if holder == nil {
		c.mu.Unlock()
		return lease.Answer{Status: lease.Gone}, nil, errNoSession
	}
	c.seq++
	cmd.Session, cmd.Seq = holder.Session, c.seq
	switch cmd.Kind {
	case lease.Acquire:
		holder.Wants(cmd.Name, c.o.clock())
	case lease.Cancel: // what the command before it began to want, or has been granted
		holder.Drop(cmd.Name)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	told, err := c.ask1(ctx, &fleet.Ask{Command: &cmd}, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.holder != holder || holder.Alive() <= c.o.clock() {
			cancel(ErrLost)
		}
	})
	if errors.Is(err, ErrLost) {
		c.lost(holder)
		return lease.Answer{Status: lease.Gone}, holder, nil
	}
	if err != nil {
		return lease.Answer{}, holder, err
	}
	if told.Answer.Status == lease.Gone {
		c.lost(holder)
	}
	return told.Answer, holder, nil
}

// session opens one where there is none.
func (c *Client) session(ctx context.Context) error {
	wait, done := c.turn()
	select {
	case <-wait:
		defer done()
	case <-ctx.Done(): // its place in the line stays its own
		c.sides.Go(func() { <-wait; done() })
		return ctx.Err()
	}
	c.mu.Lock()
	alive := c.holder != nil && c.holder.Alive() > c.o.clock()
	c.mu.Unlock()
	if alive {
		return nil
	}
	cmd := lease.Command{Kind: lease.Open, TTL: c.o.TTL, Owner: c.o.Owner, Nonce: rand.Text()}
	for {
		asked := c.o.clock()
		told, err := c.ask(ctx, &fleet.Ask{Command: &cmd})
		if err != nil {
			return err
		}
		if told.Answer.Status != lease.OK {
			return fmt.Errorf("session: %v", told.Answer.Status)
		}
		h := lease.Opened(asked, told.Answer.Session, c.o.TTL)
		if h.Alive() <= c.o.clock() { // it took too long: a renewal may still say that it lives, another one certainly does
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
func (c *Client) endAll(holder *lease.Holder) {
	if holder == nil || c.holder != holder {
		return
	}
	for _, h := range c.held {
		c.drop(h, ErrLost)
	}
	holder.Lost()
	c.holder = nil
}

func (c *Client) lost(holder *lease.Holder) {
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

func (c *Client) renew(holder *lease.Holder) {
	ctx, cancel := context.WithTimeout(c.ctx, c.o.TTL)
	defer cancel()
	asked := c.o.clock()
	c.mu.Lock()
	known := holder.Known()
	c.mu.Unlock()
	told, err := c.ask1(ctx, &fleet.Ask{Alive: &replica.Alive{Session: holder.Session, Known: known}}, func() { asked = c.o.clock() })
	if err != nil {
		return
	}
	if !told.Alive {
		c.lost(holder)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != holder {
		return
	}
	grants := told.Grants
	if grants == nil && told.Version != known {
		grants = []lease.Grant{} // it holds nothing
	}
	holder.Renewed(asked, grants, told.Version)
	for _, h := range c.held {
		if holder.Broken(h.Name) { // its holder is told, and has what is left of its time to stop and let go
			h.cancel(ErrBroken)
		} else if h.valid() {
			c.arm(h)
		}
	}
	c.wake()
}

// ask asks coordinators until one that leads has answered, or ctx ends. What is asked must do no harm if it is asked twice.
func (c *Client) ask(ctx context.Context, in *fleet.Ask) (*fleet.Told, error) {
	return c.ask1(ctx, in, func() {})
}

func (c *Client) ask1(ctx context.Context, in *fleet.Ask, begin func()) (*fleet.Told, error) {
	in.Version = fleet.Version
	last := errors.New("no coordinator was asked")
	for tries := 0; ; tries++ {
		c.mu.Lock()
		addr := c.o.Addrs[c.leader%len(c.o.Addrs)]
		c.mu.Unlock()
		begin()
		call, cancel := context.WithTimeout(ctx, max(c.o.TTL/4, 250*time.Millisecond))
		res, err := fleet.Client[fleet.Ask, fleet.Told](c.over, addr, fleet.PathAsk).CallUnary(call, connect.NewRequest(in))
		cancel()
		wait := c.o.TTL / 100
		switch {
		case err == nil && res.Msg.Err == "":
			return res.Msg, nil
		case err == nil:
			last = fmt.Errorf("%s: %s", addr, res.Msg.Err)
			wait = time.Duration(res.Msg.Again) * time.Millisecond
		case fleet.Final(err):
			return nil, fmt.Errorf("%s: %w", addr, err)
		default:
			last = fmt.Errorf("%s: %w", addr, err)
		}
		c.mu.Lock()
		next := c.leader + 1
		if err == nil {
			for i, a := range c.o.Addrs {
				if a == res.Msg.Leader {
					next = i
				}
			}
		}
		c.leader = next % len(c.o.Addrs)
		c.mu.Unlock()
		if tries%len(c.o.Addrs) != len(c.o.Addrs)-1 {
			wait = min(wait, c.o.TTL/100)
		}
		pause := time.NewTimer(wait/2 + mrand.N(wait/2+1))
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil, fmt.Errorf("%w: %w", last, context.Cause(ctx))
		case <-c.ctx.Done():
			pause.Stop()
			return nil, ErrClosed
		case <-pause.C:
		}
	}
}
