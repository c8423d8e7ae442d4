// Package subscribe is an agent's side of distribution on the network: it asks one coordinator at a time for what is newer than what it
// holds, takes that in, and tells what is in force. Whom to ask, when, and whether to take what is told it is told by
// distribute.Subscriber, and what is still to be told by distribute.Outbox.
//
// Invariants: one call waits at a time, and one beside it that carries reports; nothing is held that Take has not kept; Run has ended all
// it began when it returns.
package subscribe

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rpc"
)

// Options are what a client is told.
type Options struct {
	Addrs      []string // of the coordinators
	Service    string
	Member     string                         // the agent's name; no two of a service have the same
	Revision   distribute.Revision            // kept from before
	Store      func(distribute.Version) error // keeps a newer version, or says why it can't; then it is told again
	Log        *slog.Logger                   // nil: nothing is logged
	HTTPClient *http.Client                   // nil: one of its own
}

// Client is one agent's.
type Client struct {
	o          Options
	httpClient *http.Client
	wake       chan struct{} // there is something to tell

	mu     sync.Mutex
	outbox distribute.Outbox
}

// reportTime is how long a call that only carries reports may take, and reportPause the least between two.
const (
	reportTime  = 2 * time.Second
	reportPause = 200 * time.Millisecond
)

// New makes a client; Run runs it.
func New(o Options) *Client {
	c := &Client{o: o, httpClient: o.HTTPClient, wake: make(chan struct{}, 1)}
	if c.httpClient == nil {
		c.httpClient = &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
		}}
	}
	if c.o.Log == nil {
		c.o.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// Report takes in how a sidecar stands; the newest of each counts, and is told soon.
func (c *Client) Report(r distribute.Report) {
	c.mu.Lock()
	c.outbox.Set(r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run asks until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	s := distribute.NewSubscriber(distribute.DefaultSubscriberOptions(c.o.Service, c.o.Member, len(c.o.Addrs), rand.Int64N), c.o.Revision, now())
	var sides sync.WaitGroup
	defer sides.Wait()
	at := make(chan place, 1) // where reports go
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sides.Go(func() { c.tell(ctx, at) })
	for {
		due, _ := s.NextCallAt()
		if !pause(ctx, due-now()) {
			return
		}
		call := s.Begin(now())
		select {
		case <-at:
		default:
		}
		at <- place{call.Server, call.Watch}
		told, err := c.ask(ctx, call.Server, call.Watch, call.Deadline-now())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.o.Log.Info("a coordinator does not tell", "addr", c.o.Addrs[call.Server], "err", err)
			s.Failed(now())
			continue
		}
		was := s.Revision()
		newer, err := s.Answered(now(), *told)
		switch {
		case err != nil:
			c.o.Log.Warn("a version is refused", "addr", c.o.Addrs[call.Server], "err", err)
		case newer != nil:
			if err := c.o.Store(*newer); err != nil {
				c.o.Log.Warn("not kept", "revision", uint64(newer.Revision), "err", err)
				s.StoreFailed(now(), was)
				continue
			}
			c.o.Log.Info("taken", "revision", uint64(newer.Revision), "digest", newer.Digest)
		}
	}
}

// place is whom the agent asks now, and with what.
type place struct {
	server int
	watch  distribute.Watch
}

// ask makes one call, with the reports that its coordinator lacks.
func (c *Client) ask(ctx context.Context, server int, w distribute.Watch, within time.Duration) (*distribute.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	c.mu.Lock()
	reports, mark := c.outbox.Unacknowledged(server), c.outbox.Sequence()
	c.mu.Unlock()
	w.Version, w.Reports = distribute.WireVersion, reports
	client := rpc.Client[distribute.Watch, distribute.WatchResponse](c.httpClient, c.o.Addrs[server], distribute.PathWatch, distribute.MaxWatchResponse)
	res, err := client.CallUnary(ctx, connect.NewRequest(&w))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.outbox.Acknowledge(server, mark, res.Msg.ReportsReceived)
	c.mu.Unlock()
	return res.Msg, nil
}

// tell brings reports that come while a watch waits to the coordinator that is asked, until ctx ends.
func (c *Client) tell(ctx context.Context, at <-chan place) {
	var p *place
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-at:
			p = &now
			continue // its own call carries what there is
		case <-c.wake:
		}
		if !pause(ctx, reportPause) { // what comes together goes together
			continue
		}
		select {
		case now := <-at: // what is held has changed meanwhile: with the older revision the version would be told again
			p = &now
		default:
		}
		if p == nil {
			continue
		}
		w := p.watch
		w.MaxWait = 0
		c.mu.Lock()
		reports := c.outbox.Unacknowledged(p.server)
		c.mu.Unlock()
		if reports != nil {
			c.ask(ctx, p.server, w, reportTime) // what does not get there goes with the next watch
		}
	}
}

// pause waits; false: ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
