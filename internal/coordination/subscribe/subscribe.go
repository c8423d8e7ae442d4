// Package subscribe is the network client of an agent's subscription to configuration versions. It asks one coordinator at a time
// for a version newer than the one that the agent has, passes a new version to the agent to store, and reports which versions are
// in force. distribute.Subscriber decides which coordinator to call, when, and whether to accept a version; distribute.Outbox
// decides which reports to send.
//
// Invariants: at most one watch is in flight at a time, and beside it one call that only carries reports; a version counts as
// known only once Options.Store has stored it; when Run returns, all goroutines that it started have ended.
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
	Addrs    []string // the addresses of the coordinators
	Service  string
	Member   string                         // the agent's name, unique in the service
	Revision distribute.Revision            // the revision of the newest stored version; 0 if there is none
	Store    func(distribute.Version) error // stores a newer version; after an error the version is requested again
	Log      *slog.Logger                   // nil: nothing is logged
	// HTTPClient makes the calls. If it is nil, the client creates one, which connects by Dial.
	HTTPClient *http.Client
	Dial       rpc.Dial // nil: TCP
}

// Client is the subscription of one agent. Report may be called from any goroutine, before and during Run.
type Client struct {
	options    Options
	httpClient *http.Client
	wake       chan struct{} // signals that there are reports to send

	mu     sync.Mutex
	outbox distribute.Outbox
}

// New returns a client. It makes no calls before Run.
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

// Report replaces the report of a sidecar, which is sent soon, together with other reports of the next reportDelay. It is safe
// for concurrent use.
func (c *Client) Report(r distribute.Report) {
	c.mu.Lock()
	c.outbox.Set(r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run watches for newer versions until ctx ends. It must be called once. Options.Store is called on its goroutine.
func (c *Client) Run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	options := distribute.DefaultSubscriberOptions(c.options.Service, c.options.Member, len(c.options.Addrs), rand.Int64N)
	subscriber := distribute.NewSubscriber(options, c.options.Revision, now())
	var background sync.WaitGroup
	defer background.Wait()
	watches := make(chan watch, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background.Go(func() { c.sendReports(ctx, watches) })
	for {
		callAt, _ := subscriber.NextCallAt()
		if !rpc.Sleep(ctx, callAt-now()) {
			return
		}
		call := subscriber.Begin(now())
		replace(watches, watch{call.Server, call.Watch})
		response, err := c.call(ctx, call.Server, call.Watch, call.Deadline-now())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.options.Log.Info("watch failed", "addr", c.options.Addrs[call.Server], "err", err)
			subscriber.Failed(now())
			continue
		}
		c.handle(subscriber, now, call.Server, response)
	}
}

// handle passes a response to the subscriber, and stores a newer version by Options.Store.
func (c *Client) handle(subscriber *distribute.Subscriber, now func() time.Duration, server int, response *distribute.WatchResponse) {
	previous := subscriber.Revision()
	newer, err := subscriber.Answered(now(), *response)
	if err != nil {
		c.options.Log.Warn("version refused", "addr", c.options.Addrs[server], "err", err)
		return
	}
	if newer == nil {
		return
	}
	if err := c.options.Store(*newer); err != nil {
		c.options.Log.Warn("version not stored", "revision", uint64(newer.Revision), "err", err)
		subscriber.StoreFailed(now(), previous)
		return
	}
	c.options.Log.Info("version stored", "revision", uint64(newer.Revision), "digest", newer.Digest)
}

// watch is a watch request and the coordinator to which it is sent.
type watch struct {
	server int // the index of the coordinator in Options.Addrs
	watch  distribute.Watch
}

// replace sends a value to a channel with a buffer of one, and drops an earlier value that was not received. Only one goroutine
// may call it for a channel.
func replace(channel chan watch, w watch) {
	select {
	case <-channel:
	default:
	}
	channel <- w
}

// call sends a watch request with the reports that the coordinator has not acknowledged.
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

// sendReports sends reports that are set while a watch is in flight, to the coordinator of the watch, until ctx ends.
func (c *Client) sendReports(ctx context.Context, watches <-chan watch) {
	var current *watch
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-watches:
			current = &w
			continue // the watch itself carries the reports of that time
		case <-c.wake:
		}
		if !rpc.Sleep(ctx, reportDelay) { // reports that are set at about the same time are sent together
			continue
		}
		select {
		case w := <-watches: // with a revision that is out of date the coordinator would send the version again
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
			_, _ = c.call(ctx, current.server, w, reportTimeout) // the next watch carries reports that were not delivered
		}
	}
}
