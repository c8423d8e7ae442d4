// Package wiring assembles one sidecar from its parts: the core, the front for clients, the connections to servers and the source of the
// server list. It also runs the process: listeners, hand-overs to successors and reloads. The program and the rehearsals in virtual time use
// the same wiring.
//
// It is the only package that imports all the others, and makes no decisions itself. Each part gets its own settings and no others.
package wiring

import (
	"context"
	"log/slog"
	"net"
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
	// idleFraction is the fraction of a server's idle timeout after which this side closes an idle connection, so that it closes first.
	idleFraction            = 0.8
	defaultIdleTimeoutMS    = 10000
	defaultConnectTimeoutMS = 1000
)

// Dial opens a connection to a server or to discovery, as net.Dialer.DialContext does. It is a parameter so that a complete sidecar can run
// on an in-memory network.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// TCP returns a Dial that opens TCP connections. TCP keep-alive probes are off, because attempts have deadlines.
func TCP() Dial { return (&net.Dialer{KeepAlive: -1}).DialContext }

// Sidecar is one process of a sidecar.
type Sidecar struct {
	// OnMemoryShared, if not nil, is called with true when this process begins to share the sidecar's memory with another process of the
	// sidecar, and with false when that process has ended. It is called from the goroutines of hand-overs, and must be set before Run.
	OnMemoryShared func(shared bool)

	name      string
	log       *slog.Logger
	dial      Dial
	limits    resourceLimits
	lifecycle *lifecycle.Machine
	core      *core.Loop
	front     *platform.Server
	upstream  *http1.Pool
	relay     *relay.Hub

	// Counters for operators. requestCounts and serverCounts are nil where the configuration has no address for operators.
	requestCounts *counts.Front
	serverCounts  *counts.Servers
	loadedFile    atomic.Pointer[counts.ConfigFile]

	serverKnown chan struct{} // closed when a server is known
	handover    handoverProgress
}

// New returns a sidecar without a predecessor. Run runs it.
func New(cfg *config.Config, dial Dial, log *slog.Logger) *Sidecar {
	return NewFrom(cfg, nil, dial, log)
}

// NewFrom returns a sidecar that continues with the state of its predecessor. The state is nil where there is no predecessor.
func NewFrom(cfg *config.Config, state *HandoverState, dial Dial, log *slog.Logger) *Sidecar {
	s := &Sidecar{
		name: cfg.Name, log: log, dial: dial, lifecycle: lifecycle.New(), relay: relay.New(), serverKnown: make(chan struct{}),
	}
	s.handover.init()
	s.loadedFile.Store(&counts.ConfigFile{Digest: cfg.Digest})
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
	var frontCore front.Core = s.core
	if cfg.Admin != "" {
		s.requestCounts = counts.New(s.core, settings.Classes)
		frontCore = s.requestCounts
	}
	s.front = platform.New(settings, frontCore, s.lifecycle, log)
	s.initLimits(lifecycle.ConnectionShare{Clients: settings.Admission.MaxConnections, Servers: cfg.Limits.ServerConnections()})
	return s
}

// initLimits sets the limits of a process that is the only one of its sidecar.
func (s *Sidecar) initLimits(total lifecycle.ConnectionShare) {
	s.limits.total, s.limits.current = total, total
	s.limits.inUse = func() lifecycle.ConnectionShare {
		return lifecycle.ConnectionShare{Clients: s.front.OpenConnections(), Servers: s.upstream.Open()}
	}
	s.limits.setConnections = func(share lifecycle.ConnectionShare) {
		s.front.SetMaxConnections(max(1, share.Clients))
		s.upstream.SetMaxConnections(max(1, share.Servers))
	}
	s.limits.setMemoryShared = func(shared bool) {
		if s.OnMemoryShared != nil {
			s.OnMemoryShared(shared)
		}
	}
}

// minSendBuffer is the smallest kernel buffer for what is sent to a server, in bytes. Less than a packet of the loopback interface makes long
// uploads wait for delayed acknowledgements.
const minSendBuffer = 64 << 10

// withBuffers returns a Dial whose connections have kernel buffers of a size in bytes; 0: the kernel chooses.
func withBuffers(dial Dial, size int) Dial {
	if size == 0 {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err == nil {
			sock.SetBuffers(conn, size)
			sock.SetSendBuffer(conn, max(size, minSendBuffer))
		}
		return conn, err
	}
}

// newServers returns the connections to servers. Their use is counted where the configuration has an address for operators.
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
	dial := withBuffers(s.dial, cfg.Limits.SocketBufferBytes())
	if cfg.Admin == "" {
		s.upstream = http1.New(settings, http1.Dial(dial))
		return s.upstream
	}
	s.serverCounts = &counts.Servers{}
	s.upstream = http1.New(settings, http1.Dial(s.serverCounts.Dial(dial)))
	s.serverCounts.Servers = s.upstream
	return s.serverCounts
}

// frontSettings returns the settings of the front.
func frontSettings(cfg *config.Config, budget *membudget.Budget) platform.Settings {
	settings := platform.Settings{
		Tenants: cfg.Profile.Tenants, MemoryBudget: budget, SendBuffers: cfg.Limits.SendBuffers(), Admission: admission.Config{MaxConnections: cfg.Limits.ClientConnections()},
	}
	if cfg.Admin != "" && cfg.Limits.Sockets > 0 { // connections of operators count against the clients' limit
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

// source returns a discovery client for an address, wrapped so that two processes of a sidecar share one watch.
func (s *Sidecar) source(addr string) member.Source {
	d := discovery.New(addr, discovery.Dial(s.dial))
	d.OnWatchOpened = func() { s.relay.WatchOpened(addr) }
	return s.relay.Wrap(d)
}

// frontEffects maps the effects of the decision module to those of the front.
var frontEffects = [...]front.Effect{balance.Safe: front.Safe, balance.Keyed: front.Keyed, balance.Unsafe: front.Unsafe}

// healthCheckPath returns the path of health checks. Where servers send load reports, it is that of the cheapest request that is answered
// with one.
func healthCheckPath(module *balance.Config) string {
	if module.Reports != balance.ReportNone {
		return "/_load"
	}
	return "/ping"
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
