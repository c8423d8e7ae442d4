// Package subscribe is an agent's side of the distribution of configuration versions, on the network: it calls one coordinator at a time
// for a version newer than the one it holds, has it stored, and reports what is in force. Which coordinator to call, when, and whether to
// accept a version is decided by distribute.Subscriber; which reports to send by distribute.Outbox.
//
// Invariants: one watch is in flight at a time, and beside it one call that only carries reports; no version counts as held that
// Options.Store has not stored; when Run returns everything that it began has ended.
package subscribe

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rpc"
)

const (
	// reportTimeout bounds a call that only carries reports, and reportDelay is the shortest time between two of them.
	reportTimeout = 2 * time.Second
	reportDelay   = 200 * time.Millisecond

	dialTimeout = time.Second
)

// Options are the settings of a client.
type Options struct {
	Addrs    []string // of the coordinators
	Service  string
	Member   string                         // the agent's name, unique in the service
	Revision distribute.Revision            // of the version that is stored from before; 0: none
	Store    func(distribute.Version) error // stores a newer version; after an error the version is requested again
	Log      *slog.Logger                   // nil: nothing is logged
	// HTTPClient is nil for one of the client's own, which connects by Dial; nil: TCP.
	HTTPClient *http.Client
	Dial       rpc.Dial
}

// Client is one agent's subscription. Report may be called from any goroutine, before and while Run runs.
type Client struct {
	options    Options
	httpClient *http.Client
	wake       chan struct{} // there are reports to send

	mu     sync.Mutex
	outbox distribute.Outbox
}

// New returns a client; Run runs it.
func New(o Options) *Client {
	c := &Client{options: o, httpClient: o.HTTPClient, wake: make(chan struct{}, 1)}
	if c.httpClient == nil {
		c.httpClient = rpc.NewHTTPClient(rpc.HTTPOptions{Dial: o.Dial, DialTimeout: dialTimeout, MaxIdleConnsPerHost: 1})
	}
	if c.options.Log == nil {
		c.options.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// Report replaces the report of a sidecar and has it sent soon, together with others that come within reportDelay. It is safe for
// concurrent use.
func (c *Client) Report(r distribute.Report) {
	c.mu.Lock()
	c.outbox.Set(r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run watches until ctx ends. It is called once; Options.Store is called by its goroutine.
func (c *Client) Run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	options := distribute.DefaultSubscriberOptions(c.options.Service, c.options.Member, len(c.options.Addrs), rand.Int64N)
	s := distribute.NewSubscriber(options, c.options.Revision, now())
	var background sync.WaitGroup
	defer background.Wait()
	watches := make(chan watch, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { c.sendReports(ctx, watches) })
	for {
		at, _ := s.NextCallAt()
		if !rpc.Sleep(ctx, at-now()) {
			return
		}
		call := s.Begin(now())
		replace(watches, watch{call.Server, call.Watch})
		response, err := c.call(ctx, call.Server, call.Watch, call.Deadline-now())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.options.Log.Info("watch failed", "addr", c.options.Addrs[call.Server], "err", err)
			s.Failed(now())
			continue
		}
		c.handle(s, now, call.Server, response)
	}
}

// handle passes a response to the subscriber, and has a newer version stored.
func (c *Client) handle(s *distribute.Subscriber, now func() time.Duration, server int, response *distribute.WatchResponse) {
	before := s.Revision()
	newer, err := s.Answered(now(), *response)
	if err != nil {
		c.options.Log.Warn("version refused", "addr", c.options.Addrs[server], "err", err)
		return
	}
	if newer == nil {
		return
	}
	if err := c.options.Store(*newer); err != nil {
		c.options.Log.Warn("version not stored", "revision", uint64(newer.Revision), "err", err)
		s.StoreFailed(now(), before)
		return
	}
	c.options.Log.Info("version stored", "revision", uint64(newer.Revision), "digest", newer.Digest)
}

// watch is a watch and the coordinator that it is sent to.
type watch struct {
	server int
	watch  distribute.Watch
}

// replace puts a value into a channel of one, in place of one that was not taken out.
func replace(to chan watch, w watch) {
	select {
	case <-to:
	default:
	}
	to <- w
}

// call makes one call, with the reports that its coordinator has not acknowledged.
func (c *Client) call(ctx context.Context, server int, w distribute.Watch, timeout time.Duration) (*distribute.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	reports, sequence := c.outbox.Unacknowledged(server), c.outbox.Sequence()
	c.mu.Unlock()
	w.Version, w.Reports = distribute.WireVersion, reports
	client := rpc.Client[distribute.Watch, distribute.WatchResponse](c.httpClient, c.options.Addrs[server], distribute.PathWatch, distribute.MaxWatchResponse)
	res, err := client.CallUnary(ctx, connect.NewRequest(&w))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.outbox.Acknowledge(server, sequence, res.Msg.ReportsReceived)
	c.mu.Unlock()
	return res.Msg, nil
}

// sendReports sends reports that come while a watch is in flight to the same coordinator, until ctx ends.
func (c *Client) sendReports(ctx context.Context, watches <-chan watch) {
	var current *watch
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-watches:
			current = &w
			continue // that call carries the reports that there are
		case <-c.wake:
		}
		if !rpc.Sleep(ctx, reportDelay) { // reports that come together are sent together
			continue
		}
		select {
		case w := <-watches: // the known revision may have changed meanwhile: for the older one the version would be sent again
			current = &w
		default:
		}
		if current == nil {
			continue
		}
		w := current.watch
		w.MaxWait = 0
		c.mu.Lock()
		reports := c.outbox.Unacknowledged(current.server)
		c.mu.Unlock()
		if reports != nil {
			_, _ = c.call(ctx, current.server, w, reportTimeout) // what is not delivered goes with the next watch
		}
	}
}
