package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rpc"
)

const (
	// freshTicks is for how long a coordinator answers watches after the last confirmation that it knows all versions: longer than an
	// election takes, so that agents do not all leave at a change of the leader. confirmTicks is the time between two confirmations.
	freshTicks   = 8 * replica.ElectionTicks
	confirmTicks = replica.ElectionTicks
	// watchTickInterval is the time between two checks of the deadlines of watches.
	watchTickInterval  = 100 * time.Millisecond
	confirmDialTimeout = time.Second
)

// distributor is the part of a coordinator that answers agents' watches. Followers do so as well as the leader: what they know is
// confirmed by a request to the leader, not by the log's own messages, which may be lost in one direction alone. But for confirm it
// belongs to the goroutine that owns the replica.
type distributor struct {
	server    *Server
	began     time.Time
	watches   *distribute.Watches
	reports   *distribute.ReportTable
	revisions distribute.RevisionTracker
}

func newDistributor(s *Server) *distributor {
	d := &distributor{server: s, began: time.Now(), reports: distribute.NewReportTable()}
	d.watches = distribute.NewWatches(func(service string) (distribute.Version, bool) {
		return s.core.Versions().Newest(service)
	}, freshTicks*s.config.Tick)
	return d
}

func (d *distributor) now() time.Duration { return time.Since(d.began) }

// applied answers the watches of services that have a newer version.
func (d *distributor) applied() {
	if changed := d.server.core.TakeChangedServices(); changed.All {
		d.watches.ChangedAll(d.now())
	} else {
		for _, service := range changed.Names {
			d.watches.Changed(d.now(), service)
		}
	}
	d.applyConfirmation()
}

// applyConfirmation applies a leader's confirmation once this replica has applied what it is about.
func (d *distributor) applyConfirmation() {
	if requestedAt, ok := d.revisions.ConfirmedAt(d.server.core.Versions().Last()); ok {
		d.watches.Confirmed(requestedAt)
	}
}

// prepare records the revision that a request reports, and sets the revision that a new version has to be above.
func (d *distributor) prepare(r *replica.Request, in *Request) {
	last := d.server.core.Versions().Last()
	if in.LastRevision != nil {
		d.revisions.ObserveHeld(in.LastRevision.HeldRevision, last)
	}
	if r.Publish != nil {
		command := *r.Publish
		command.Above = max(command.Above, d.revisions.MinAbove(last))
		r.Publish = &command
	}
}

// tick answers watches whose deadline has passed, and removes reports that are too old.
func (d *distributor) tick() {
	d.watches.Tick(d.now())
	d.reports.Tick(d.now())
}

// confirm asks the leader again and again for the last revision, until ctx ends. It has a goroutine of its own.
func (d *distributor) confirm(ctx context.Context) {
	httpClient := rpc.NewHTTPClient(rpc.HTTPOptions{Dial: d.server.config.Dial, DialTimeout: confirmDialTimeout, MaxIdleConnsPerHost: 1})
	defer httpClient.CloseIdleConnections()
	interval := confirmTicks * d.server.config.Tick
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		target, err := d.confirmationTarget(ctx)
		if err != nil {
			return
		}
		if len(target.addrs) > 0 {
			caller := &Caller{Addrs: target.addrs, HTTPClient: httpClient, Timeout: 2 * interval, RetryInterval: interval / 4}
			d.confirmOnce(ctx, caller, 4*interval, target.maxHeld)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// confirmationTarget is where to send a request for the last revision, and what to report in it.
type confirmationTarget struct {
	addrs   []string // of the replicas, the leader's first if it is known
	maxHeld distribute.Revision
}

// confirmationTarget reads the present target. An error says that the coordinator shuts down.
func (d *distributor) confirmationTarget(ctx context.Context) (confirmationTarget, error) {
	target := make(chan confirmationTarget, 1)
	if !d.server.post(func() { target <- confirmationTarget{d.server.replicaAddrs(), d.revisions.MaxHeld()} }) {
		return confirmationTarget{}, errShutdown
	}
	return await(ctx, d.server, target)
}

// confirmOnce asks for the last revision. Where it gets no answer the confirmation of before runs out by itself.
func (d *distributor) confirmOnce(ctx context.Context, c *Caller, timeout time.Duration, maxHeld distribute.Revision) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var requestedAt time.Duration
	out, err := c.Call(ctx, &Request{LastRevision: &LastRevisionRequest{HeldRevision: maxHeld}}, func() { requestedAt = d.now() })
	if err != nil {
		return
	}
	d.server.post(func() {
		d.revisions.LeaderRevision(requestedAt, out.LastRevision)
		d.applyConfirmation()
	})
}

// replicaAddrs returns the addresses of all replicas, the leader's first if it is known.
func (s *Server) replicaAddrs() (all []string) {
	leader := s.core.Status().Leader
	for _, m := range s.core.Members() {
		if addr := s.addr(m.ID); addr != "" && m.ID == leader {
			all = append([]string{addr}, all...)
		} else if addr != "" {
			all = append(all, addr)
		}
	}
	return all
}

// handleWatch answers an agent when its service has a newer version, or when its wait is over.
func (s *Server) handleWatch(ctx context.Context, in *distribute.Watch) (*distribute.WatchResponse, error) {
	if err := in.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	type result struct {
		response distribute.WatchResponse
		err      error
	}
	done, cancel := make(chan result, 1), make(chan func(), 1)
	if !s.post(func() {
		cancel <- s.distribute.watch(in, func(response distribute.WatchResponse, err error) { done <- result{response, err} })
	}) {
		return nil, errShutdown
	}
	select {
	case r := <-done:
		if r.err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, r.err)
		}
		return &r.response, nil
	case <-ctx.Done():
		s.post(func() { (<-cancel)() }) // it runs after the function above, which has filled the channel
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errShutdown
	}
}

// watch records the reports of a watch, and adds it to those that wait. done is called once, unless cancel is called before.
func (d *distributor) watch(in *distribute.Watch, done func(distribute.WatchResponse, error)) (cancel func()) {
	now, reportsReceived := d.now(), true
	if len(in.Reports) > 0 {
		d.reports.SetReports(now, in.Service, in.Member, in.Reports)
	} else {
		reportsReceived = d.reports.HasReports(in.Service, in.Member)
		d.reports.Touch(now, in.Service, in.Member)
	}
	d.revisions.ObserveHeld(in.Known, d.server.core.Versions().Last())
	d.reports.SetKnownRevision(in.Service, in.Member, in.Known)
	return d.watches.Add(now, *in, func(response distribute.WatchResponse, err error) {
		response.ReportsReceived = reportsReceived
		done(response, err)
	})
}

// handleSummary answers what is in force by the reports at this coordinator.
func (s *Server) handleSummary(ctx context.Context, in *distribute.SummaryRequest) (*distribute.SummaryResponse, error) {
	if in.Version != distribute.WireVersion {
		return nil, CheckVersion(in.Version)
	}
	done := make(chan *distribute.SummaryResponse, 1)
	if !s.post(func() { done <- s.distribute.summarize(in.Service) }) {
		return nil, errShutdown
	}
	return await(ctx, s, done)
}

// summarize returns the summary of a service, "": of all.
func (d *distributor) summarize(service string) *distribute.SummaryResponse {
	versions := d.server.core.Versions()
	out := &distribute.SummaryResponse{Last: versions.Last(), Fresh: d.watches.Fresh(d.now())}
	if service != "" {
		newest, _ := versions.Newest(service)
		out.Services = []distribute.Summary{d.reports.Summary(d.now(), service, newest)}
		return out
	}
	for _, newest := range versions.Services() {
		out.Services = append(out.Services, d.reports.Summary(d.now(), newest.Service, newest))
	}
	return out
}
