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
	// freshTicks is how long a coordinator answers watches after the last confirmation that it knows all versions. It is longer
	// than an election, so that a change of the leader does not make all agents switch coordinators. confirmTicks is the time
	// between two requests for a confirmation.
	freshTicks   = 8 * replica.ElectionTicks
	confirmTicks = replica.ElectionTicks
	// watchTickInterval is the time between two checks of the deadlines of watches.
	watchTickInterval  = 100 * time.Millisecond
	confirmDialTimeout = time.Second
)

// distributor answers the watches of agents, on followers as well as on the leader. Each coordinator confirms that it knows all
// versions by a request to the leader. The messages of the log do not confirm it, because messages may be lost in one direction
// only. All methods run on the goroutine that owns the replica, except confirm and the methods that confirm calls.
type distributor struct {
	server    *Server
	startedAt time.Time
	watches   *distribute.Watches
	reports   *distribute.ReportTable
	revisions distribute.RevisionTracker
}

func newDistributor(s *Server) *distributor {
	d := &distributor{server: s, startedAt: time.Now(), reports: distribute.NewReportTable()}
	d.watches = distribute.NewWatches(func(service string) (distribute.Version, bool) {
		return s.core.Versions().Newest(service)
	}, freshTicks*s.config.Tick)
	return d
}

// now returns the time since the distributor was created.
func (d *distributor) now() time.Duration { return time.Since(d.startedAt) }

// applied answers the watches of the services to which the replica has just applied a newer version.
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

// applyConfirmation applies the leader's confirmation once this replica has applied the revision that the leader named.
func (d *distributor) applyConfirmation() {
	if requestedAt, ok := d.revisions.ConfirmedAt(d.server.core.Versions().Last()); ok {
		d.watches.Confirmed(requestedAt)
	}
}

// prepare records the revision that a request reports, and sets the revision that a newly published version must exceed.
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

// tick answers watches whose deadline has passed, and removes expired reports.
func (d *distributor) tick() {
	d.watches.Tick(d.now())
	d.reports.Tick(d.now())
}

// confirm periodically requests the last revision from the leader, until ctx ends. It runs on its own goroutine.
func (d *distributor) confirm(ctx context.Context) {
	httpClient := rpc.NewHTTPClient(rpc.HTTPOptions{Dial: d.server.config.Dial, DialTimeout: confirmDialTimeout, MaxIdleConnsPerHost: 1})
	defer httpClient.CloseIdleConnections()
	interval := confirmTicks * d.server.config.Tick
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
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
		case <-ticker.C:
		}
	}
}

// confirmationTarget holds the recipients of a request for the last revision, and the revision to report in it.
type confirmationTarget struct {
	addrs   []string // the addresses of the replicas, that of the leader first if it is known
	maxHeld distribute.Revision
}

// confirmationTarget returns the current target. An error means that the coordinator is shutting down.
func (d *distributor) confirmationTarget(ctx context.Context) (confirmationTarget, error) {
	target := make(chan confirmationTarget, 1)
	if !d.server.post(func() { target <- confirmationTarget{d.server.replicaAddrs(), d.revisions.MaxHeld()} }) {
		return confirmationTarget{}, errShutdown
	}
	return await(ctx, d.server, target)
}

// confirmOnce requests the last revision from the leader. If it gets no response, the earlier confirmation expires in time.
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

// replicaAddrs returns the addresses of all replicas, that of the leader first if it is known. Only the goroutine that owns the
// replica may call it.
func (s *Server) replicaAddrs() (addrs []string) {
	leader := s.core.Status().Leader
	for _, m := range s.core.Members() {
		if addr := s.addr(m.ID); addr != "" && m.ID == leader {
			addrs = append([]string{addr}, addrs...)
		} else if addr != "" {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// handleWatch responds to an agent's watch once its service has a newer version, or after the agent's maximum wait.
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
		s.post(func() { (<-cancel)() }) // it runs after the function posted above, which has filled the channel
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errShutdown
	}
}

// watch records the reports of a watch, and adds it to the pending watches. done is called once, unless cancel is called first.
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

// handleSummary returns the summary of the versions in force, from the reports that this coordinator has.
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

// summarize returns the summary of a service, or of all services if service is empty.
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
