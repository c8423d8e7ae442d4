// Package wiring makes one sidecar of its parts: the core, the front for clients, the connections to servers and the source of their
// list, each with its part of the configuration. It also runs the process: listeners, hand-overs to successors, reloads. The program and
// the rehearsals in virtual time use the same wiring.
//
// It is the only package that knows all the others, and decides nothing itself. A part gets its own settings and no others.
package wiring

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"petrelhook/balance"
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
	// idleFraction of the time after which a server closes an idle connection is when this side closes it, so that it is first.
	idleFraction            = 0.8
	defaultIdleTimeoutMS    = 10000
	defaultConnectTimeoutMS = 1000
)

// Dial opens a connection to a server or to discovery, as net.Dialer.DialContext does. It is a parameter so that a complete sidecar can run
// on a network in memory.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// TCP is the Dial of a sidecar on sockets. TCP keep-alive probes are off: attempts have deadlines.
func TCP() Dial { return (&net.Dialer{KeepAlive: -1}).DialContext }

// Sidecar is one sidecar.
type Sidecar struct {
	// OnMemoryShared is called when memory is shared with another process of the sidecar from now on, and when that has ended, from the
	// goroutines of hand-overs. It is set before Run; nil: nobody is notified.
	OnMemoryShared func(shared bool)

	name      string
	log       *slog.Logger
	dial      Dial
	limits    lifecycle.ConnectionShare // of connections, while there is one process
	lifecycle *lifecycle.Machine
	core      *core.Loop
	front     *platform.Server
	upstream  *http1.Pool
	relay     *relay.Hub

	// Counts for operators; nil where the configuration has no address for them.
	requestCounts *counts.Front
	serverCounts  *counts.Servers
	loadedFile    atomic.Pointer[counts.File]

	serverKnown chan struct{} // closed when a server is known
	handover    handoverProgress
}

// New makes a sidecar; Run runs it.
func New(cfg *config.Config, dial Dial, log *slog.Logger) *Sidecar {
	return NewFrom(cfg, nil, dial, log)
}

// NewFrom makes a sidecar that continues with the state of its predecessor; nil: there is none.
func NewFrom(cfg *config.Config, state *HandoverState, dial Dial, log *slog.Logger) *Sidecar {
	s := &Sidecar{
		name: cfg.Name, log: log, dial: dial, lifecycle: lifecycle.New(), relay: relay.New(), serverKnown: make(chan struct{}),
	}
	s.handover.init()
	s.loadedFile.Store(&counts.File{Digest: cfg.Digest})
	var previous *core.Snapshot
	if state != nil {
		previous = &state.Core
		if state.EvacuationRequested {
			s.lifecycle.Apply(lifecycle.Evacuate)
		}
	}
	budget := membudget.New(cfg.Limits.MessageBytes())
	servers := s.newServers(cfg, budget)
	s.core = core.New(core.Config{
		Module: cfg.Profile.Config, Names: core.Names{Classes: cfg.Profile.Classes, Zones: cfg.Profile.Zones, Kinds: cfg.Profile.Kinds},
		Known: cfg.KnownServers, Previous: previous, OnServerAvailable: func() { close(s.serverKnown) },
	}, s.source(cfg.Discovery), servers, log)
	settings := frontSettings(cfg, budget)
	var answerer front.Core = s.core
	if cfg.Admin != "" {
		s.requestCounts = counts.New(s.core, settings.Classes)
		answerer = s.requestCounts
	}
	s.front = platform.New(settings, answerer, s.lifecycle, log)
	s.limits = lifecycle.ConnectionShare{Clients: settings.Admission.MaxConnections, Servers: cfg.Limits.ServerConnections()}
	return s
}

// newServers makes the connections to servers, counted where operators can ask for the counts.
func (s *Sidecar) newServers(cfg *config.Config, budget *membudget.Budget) upstream.Servers {
	module := &cfg.Profile.Config
	settings := http1.Settings{
		MaxConnections:   cfg.Limits.ServerConnections(),
		ConnectTimeout:   milliseconds(orDefault(module.ConnectTimeout, defaultConnectTimeoutMS)),
		IdleTimeout:      milliseconds(idleFraction * orDefault(cfg.Profile.ConnectionIdleTime, defaultIdleTimeoutMS)),
		DrainGrace:       milliseconds(module.DrainGrace),
		ResponseBudget:   budget,
		LoadReportFields: cfg.Profile.Fields,
		HealthCheckPath:  healthCheckPath(module),
	}
	if cfg.Admin == "" {
		s.upstream = http1.New(settings, http1.Dial(s.dial))
		return s.upstream
	}
	s.serverCounts = &counts.Servers{}
	s.upstream = http1.New(settings, http1.Dial(s.serverCounts.Dial(s.dial)))
	s.serverCounts.Servers = s.upstream
	return s.serverCounts
}

// frontSettings are the settings of the front.
func frontSettings(cfg *config.Config, budget *membudget.Budget) platform.Settings {
	settings := platform.Settings{
		Tenants: cfg.Profile.Tenants, MemoryBudget: budget, Admission: admission.Config{MaxConnections: cfg.Limits.ClientConnections()},
	}
	if cfg.Admin != "" && cfg.Limits.Sockets > 0 { // operators' connections are taken from those of clients
		settings.Admission.MaxConnections = max(1, settings.Admission.MaxConnections-admin.MaxCalls)
	}
	for i, class := range cfg.Profile.Config.Classes {
		deadline := milliseconds(class.Deadline)
		settings.Admission.Horizon = max(settings.Admission.Horizon, deadline)
		settings.Classes = append(settings.Classes, front.Class{
			Name: cfg.Profile.Classes[i], Effect: frontEffects[class.Effect], Deadline: deadline,
		})
	}
	return settings
}

// source is the discovery at an address. The two processes of a sidecar share its watch.
func (s *Sidecar) source(addr string) member.Source {
	d := discovery.New(addr, discovery.Dial(s.dial))
	d.OnWatchOpened = func() { s.relay.WatchOpened(addr) }
	return s.relay.Wrap(d)
}

// frontEffects are the front's effects by those of the decision module.
var frontEffects = [...]front.Effect{balance.Safe: front.Safe, balance.Keyed: front.Keyed, balance.Unsafe: front.Unsafe}

// healthCheckPath is the cheapest request that is answered with a load report, where servers send any.
func healthCheckPath(module *balance.Config) string {
	if module.Reports != balance.ReportNone {
		return "/_load"
	}
	return "/ping"
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func orDefault(value, otherwise float64) float64 {
	if value > 0 {
		return value
	}
	return otherwise
}
