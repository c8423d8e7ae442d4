package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/replica"
)

const (
	// freshTicks is for how long a coordinator tells of versions without having confirmed that it knows them all: longer than an election
	// takes, so that agents do not all leave at a change of the leader; confirmTicks is how often it does.
	freshTicks   = 8 * replica.ElectionTicks
	confirmTicks = replica.ElectionTicks
	tickTime     = 100 * time.Millisecond // between two looks at the watches
)

// distributor is the part of a coordinator that tells agents of versions. Followers do it as well as the leader: what they know is
// confirmed by asking the leader, not by the log's own messages, of which one direction may be cut.
type distributor struct {
	s       *Server
	began   time.Time
	watches *distribute.Watches
	sums    *distribute.ReportTable
	knows   distribute.RevisionTracker
}

func newDistributor(s *Server) *distributor {
	d := &distributor{s: s, began: time.Now(), sums: distribute.NewReportTable()}
	d.watches = distribute.NewWatches(func(service string) (distribute.Version, bool) {
		return s.core.Versions().Newest(service)
	}, freshTicks*s.config.Tick)
	return d
}

func (d *distributor) now() time.Duration { return time.Since(d.began) }

// applied tells those who wait what has changed.
func (d *distributor) applied() {
	if changed := d.s.core.TakeChangedServices(); changed.All {
		d.watches.ChangedAll(d.now())
	} else {
		for _, service := range changed.Names {
			d.watches.Changed(d.now(), service)
		}
	}
	d.catchUp()
}

// catchUp takes in what the leader's word confirms.
func (d *distributor) catchUp() {
	if asked, ok := d.knows.ConfirmedAt(d.s.core.Versions().Last()); ok {
		d.watches.Confirmed(asked)
	}
}

// prepare makes a client's question one that the log can take.
func (d *distributor) prepare(q *replica.Request, in *Request) {
	last := d.s.core.Versions().Last()
	if in.LastRevision != nil {
		d.knows.ObserveHeld(in.LastRevision.HeldRevision, last)
	}
	if q.Publish != nil {
		command := *q.Publish
		command.Above = max(command.Above, d.knows.MinAbove(last))
		q.Publish = &command
	}
}

// tick ends what has waited for long.
func (d *distributor) tick() {
	d.watches.Tick(d.now())
	d.sums.Tick(d.now())
}

// confirm asks the leader again and again which version is the last, until ctx ends.
func (d *distributor) confirm(ctx context.Context) {
	over := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1}}
	defer over.CloseIdleConnections()
	every := confirmTicks * d.s.config.Tick
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		type state struct {
			addrs []string
			held  distribute.Revision
		}
		now := make(chan state, 1)
		if !d.s.post(func() { now <- state{d.s.addrs(), d.knows.MaxHeld()} }) {
			return
		}
		select {
		case st := <-now:
			if len(st.addrs) > 0 {
				d.confirmOnce(ctx, &Caller{Addrs: st.addrs, HTTPClient: over, Timeout: 2 * every, RetryInterval: every / 4}, 4*every, st.held)
			}
		case <-d.s.ended:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (d *distributor) confirmOnce(ctx context.Context, c *Caller, within time.Duration, held distribute.Revision) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var asked time.Duration
	told, err := c.Call(ctx, &Request{LastRevision: &LastRevisionRequest{HeldRevision: held}}, func() { asked = d.now() })
	if err != nil {
		return // what is not confirmed ends by itself
	}
	d.s.post(func() {
		d.knows.LeaderRevision(asked, told.LastRevision)
		d.catchUp()
	})
}

// addrs are those of all replicas, the leader first if it is known.
func (s *Server) addrs() (all []string) {
	leader := s.core.Status().Leader
	for _, m := range s.core.Members() {
		if a := s.addr(m.ID); a != "" && m.ID == leader {
			all = append([]string{a}, all...)
		} else if a != "" {
			all = append(all, a)
		}
	}
	return all
}

// watch answers an agent that waits for a newer version.
func (s *Server) watch(ctx context.Context, in *distribute.Watch) (*distribute.WatchResponse, error) {
	if err := in.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	type result struct {
		told distribute.WatchResponse
		err  error
	}
	done, cancel := make(chan result, 1), make(chan func(), 1)
	if !s.post(func() {
		now, heard := s.distribute.now(), true
		if len(in.Reports) > 0 {
			s.distribute.sums.SetReports(now, in.Service, in.Member, in.Reports)
		} else {
			heard = s.distribute.sums.HasReports(in.Service, in.Member)
			s.distribute.sums.Touch(now, in.Service, in.Member)
		}
		s.distribute.knows.ObserveHeld(in.Known, s.core.Versions().Last())
		s.distribute.sums.SetKnownRevision(in.Service, in.Member, in.Known)
		cancel <- s.distribute.watches.Add(now, *in, func(t distribute.WatchResponse, err error) {
			t.ReportsReceived = heard
			done <- result{t, err}
		})
	}) {
		return nil, errEnds
	}
	select {
	case r := <-done:
		if r.err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, r.err)
		}
		return &r.told, nil
	case <-ctx.Done():
		s.post(func() { (<-cancel)() })
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errEnds
	}
}

// summary answers what is in force, as this coordinator has heard it.
func (s *Server) summary(ctx context.Context, in *distribute.SummaryRequest) (*distribute.SummaryResponse, error) {
	if in.Version != distribute.WireVersion {
		return nil, CheckVersion(in.Version)
	}
	done := make(chan *distribute.SummaryResponse, 1)
	if !s.post(func() {
		d, versions := s.distribute, s.core.Versions()
		out := &distribute.SummaryResponse{Last: versions.Last(), Fresh: d.watches.Fresh(d.now())}
		if in.Service != "" {
			newest, _ := versions.Newest(in.Service)
			out.Services = []distribute.Summary{d.sums.Summary(d.now(), in.Service, newest)}
		} else {
			for _, newest := range versions.Services() {
				out.Services = append(out.Services, d.sums.Summary(d.now(), newest.Service, newest))
			}
		}
		done <- out
	}) {
		return nil, errEnds
	}
	select {
	case out := <-done:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ended:
		return nil, errEnds
	}
}
