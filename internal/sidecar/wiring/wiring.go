// Package wiring puts one sidecar together: the core, the front before it, the servers behind it and the source of its
// servers, each from what the configuration says. The program and the rehearsals in virtual time use the same one.
//
// It is the only place that knows all rooms. What it hands to each is that room's settings, no more.
package wiring

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/admin"
	"petrelhook/internal/sidecar/admission"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/core"
	"petrelhook/internal/sidecar/counts"
	"petrelhook/internal/sidecar/front"
	"petrelhook/internal/sidecar/front/platform"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/member"
	"petrelhook/internal/sidecar/member/discovery"
	"petrelhook/internal/sidecar/member/relay"
	"petrelhook/internal/sidecar/membudget"
	"petrelhook/internal/sidecar/upstream"
	"petrelhook/internal/sidecar/upstream/http1"
)

const (
	idlePart    = 0.8 // of the time after which a server closes an idle connection: we close it first
	defaultIdle = 10000
	defaultDial = 1000
)

// Dial opens a connection to a server or to discovery, as net.Dialer.DialContext does. It is handed in so that a whole
// sidecar can run on a network in memory.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// TCP is the Dial of a sidecar on sockets. Go's own keep-alive probes tell nothing here; attempts have deadlines.
func TCP() Dial { return (&net.Dialer{KeepAlive: -1}).DialContext }

// Sidecar is one sidecar.
type Sidecar struct {
	name  string
	core  *core.Loop
	count *counts.Front // nil, as asked is: there are no operators who ask
	asked *counts.Servers
	front *platform.Server
	life  *lifecycle.Machine
	up    *http1.Pool
	dial  Dial
	lists *relay.Hub
	log   *slog.Logger
	whole lifecycle.ConnectionShare // what it may hold when there is one process
	file  atomic.Pointer[counts.File]

	listed    chan struct{} // closed when a server is known
	offered   chan struct{} // closed when a next process can take over
	deserted  chan struct{} // a next process has died
	gave      atomic.Bool   // what the last one was told of operators' wishes
	heard     chan struct{} // closed when the process before knows that this one serves
	heardOnce func()

	// OnShare is told when memory is shared with another process of the sidecar and when that has ended; nil: nobody is.
	OnShare func(shared bool)
}

// New puts a sidecar together; Run runs it.
func New(c *config.Config, dial Dial, log *slog.Logger) *Sidecar { return NewFrom(c, nil, dial, log) }

// NewFrom puts a sidecar together that goes on where another process of it was.
func NewFrom(c *config.Config, from *Inheritance, dial Dial, log *slog.Logger) *Sidecar {
	module, life := &c.Profile.Config, lifecycle.New()
	s := &Sidecar{name: c.Name, life: life, dial: dial, lists: relay.New(), log: log, listed: make(chan struct{}), heard: make(chan struct{}),
		offered: make(chan struct{}), deserted: make(chan struct{}, 1)}
	s.file.Store(&counts.File{Digest: c.Digest})
	s.heardOnce = sync.OnceFunc(func() { close(s.heard) })
	var legacy *core.Snapshot
	if from != nil {
		if legacy = &from.Core; from.Out {
			life.Apply(lifecycle.Evacuate)
		}
	}
	account := membudget.New(c.Limits.Messages())
	var asked *counts.Servers
	serversDial := dial
	if c.Admin != "" {
		asked = &counts.Servers{}
		serversDial = asked.Dial(dial)
	}
	up := http1.New(http1.Settings{
		MaxConnections: c.Limits.Servers(), ConnectTimeout: duration(or(module.ConnectTimeout, defaultDial)),
		IdleTimeout: duration(idlePart * or(c.Profile.ConnIdle, defaultIdle)), DrainGrace: duration(module.DrainGrace), ResponseBudget: account,
		LoadReportFields: c.Profile.Fields, HealthCheckPath: probePath(module),
	}, http1.Dial(serversDial))
	var servers upstream.Servers = up
	if asked != nil {
		asked.Servers = up
		servers = asked
	}
	loop := core.New(core.Config{
		Module: *module, Names: core.Names{Classes: c.Profile.Classes, Zones: c.Profile.Zones, Kinds: c.Profile.Kinds}, Known: c.Known,
		Previous: legacy, OnServerAvailable: func() { close(s.listed) },
	}, s.source(c.Discovery), servers, log)
	settings := platform.Settings{Tenants: c.Profile.Tenants, Room: account, Door: admission.Config{MaxConnections: c.Limits.Clients()}}
	if c.Admin != "" && c.Limits.Sockets > 0 { // operators' calls are counted too
		settings.Door.MaxConnections = max(1, settings.Door.MaxConnections-admin.MaxCalls)
	}
	for i, class := range module.Classes {
		settings.Door.Horizon = max(settings.Door.Horizon, duration(class.Deadline))
		settings.Classes = append(settings.Classes, front.Class{
			Name: c.Profile.Classes[i], Effect: effects[class.Effect], Deadline: duration(class.Deadline),
		})
	}
	var taker front.Core = loop
	if c.Admin != "" {
		s.count = counts.New(loop, settings.Classes)
		taker = s.count
	}
	s.core, s.up, s.asked, s.front = loop, up, asked, platform.New(settings, taker, life, log)
	s.whole = lifecycle.ConnectionShare{Clients: settings.Door.MaxConnections, Servers: c.Limits.Servers()}
	return s
}

// source is the discovery at an address, whose watch two processes of the sidecar share.
func (s *Sidecar) source(addr string) member.Source {
	d := discovery.New(addr, discovery.Dial(s.dial))
	d.OnWatchOpened = func() { s.lists.WatchOpened(addr) }
	return s.lists.Wrap(d)
}

var effects = [...]front.Effect{balance.Safe: front.Safe, balance.Keyed: front.Keyed, balance.Unsafe: front.Unsafe}

// probePath is the cheapest question that is answered with the load report, where there are any.
func probePath(c *balance.Config) string {
	if c.Reports != balance.ReportNone {
		return "/_load"
	}
	return "/ping"
}

// Run serves clients on ln, and operators on calls where that is not nil, until stop ends, then drains. It returns when all
// that was taken is answered and the core has ended. Where su is not nil it gives way to a next process.
func (s *Sidecar) Run(stop context.Context, ln, calls net.Listener, su *Succession) error {
	terminated := context.AfterFunc(stop, func() {
		if su != nil && s.life.Status().After(lifecycle.Terminate).YieldsListener() {
			if err := sock.Yield(ln); err != nil {
				s.log.Warn("new connections may still come to this process", "err", err)
			}
		}
		s.life.Apply(lifecycle.Terminate)
	})
	defer terminated()
	var sides sync.WaitGroup
	defer sides.Wait()
	if calls != nil {
		sides.Go(func() {
			endpoint := admin.New(s.life)
			if s.count != nil {
				endpoint.Counts = func() any {
					return struct {
						counts.Report
						File *counts.File `json:"file"`
					}{counts.Report{Classes: s.count.Snapshot(), ServerUse: s.asked.Snapshot()}, s.file.Load()}
				}
			}
			if err := endpoint.Serve(calls); err != nil {
				s.log.Error("operators are not heard any more", "err", err)
			}
		})
		defer calls.Close()
	}
	told, untold := context.WithCancel(context.Background())
	defer untold()
	sides.Go(func() { s.tellStates(told) })
	if su != nil {
		sides.Go(func() { s.succeed(told, su, ln) })
	}
	sides.Go(func() {
		var late <-chan time.Time // a next process takes nothing over before it can serve
		if su == nil {
			late = time.After(lifecycle.MaxStartWait)
		}
		select {
		case <-s.listed:
		case <-late:
			s.log.Warn("ready without a server", "waited", lifecycle.MaxStartWait)
		case <-told.Done():
			return
		}
		s.announce(su)
	})
	alive, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.core.Run(alive)
	}()
	err := s.front.Serve(ln)
	end()
	<-ended
	return err
}

// tellStates logs each change of the lifecycle, until ctx ends.
func (s *Sidecar) tellStates(ctx context.Context) {
	for last := lifecycle.Starting; ; {
		now, over := s.life.Watch()
		if now.State() != last {
			last = now.State()
			s.log.Info("state", "now", last.String())
		}
		select {
		case <-ctx.Done():
			return
		case <-over:
		}
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func or(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}
