// Package wiring puts one sidecar together: the core, the front before it, the servers behind it and the source of its
// servers, each from what the configuration says. The program and the rehearsals in virtual time use the same one.
//
// It is the only place that knows all rooms. What it hands to each is that room's settings, no more.
package wiring

import (
	"context"
	"log/slog"
	"net"
	"time"

	"petrelhook/balance"
	"petrelhook/internal/admit"
	"petrelhook/internal/config"
	"petrelhook/internal/core"
	"petrelhook/internal/front"
	"petrelhook/internal/front/platform"
	"petrelhook/internal/member/discovery"
	"petrelhook/internal/upstream/http1"
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
	core  *core.Loop
	front *platform.Server
	dial  Dial
	log   *slog.Logger
}

// New puts a sidecar together; Run runs it.
func New(c *config.Config, dial Dial, log *slog.Logger) *Sidecar {
	module := &c.Profile.Config
	up := http1.New(http1.Settings{
		Most: c.Limits.Servers(), Within: duration(or(module.ConnectTimeout, defaultDial)),
		Idle: duration(idlePart * or(c.Profile.ConnIdle, defaultIdle)), Grace: duration(module.DrainGrace), Answers: c.Limits.Answers(),
		Fields: c.Profile.Fields, Probe: probePath(module),
	}, http1.Dial(dial))
	loop := core.New(core.Config{
		Module: *module, Zones: c.Profile.Zones, Kinds: c.Profile.Kinds, Known: c.Known,
	}, discovery.New(c.Discovery, discovery.Dial(dial)), up, log)
	settings := platform.Settings{Tenants: c.Profile.Tenants, Door: admit.Config{Places: c.Limits.Clients()}}
	for i, class := range module.Classes {
		settings.Door.Horizon = max(settings.Door.Horizon, duration(class.Deadline))
		settings.Classes = append(settings.Classes, front.Class{
			Name: c.Profile.Classes[i], Effect: effects[class.Effect], Deadline: duration(class.Deadline),
		})
	}
	return &Sidecar{core: loop, front: platform.New(settings, loop, log), dial: dial, log: log}
}

var effects = [...]front.Effect{balance.Safe: front.Safe, balance.Keyed: front.Keyed, balance.Unsafe: front.Unsafe}

// probePath is the cheapest question that is answered with the load report, where there are any.
func probePath(c *balance.Config) string {
	if c.Reports != balance.ReportNone {
		return "/_load"
	}
	return "/ping"
}

// Run serves on ln until stop ends, then drains. It returns when all that was taken is answered and the core has ended.
func (s *Sidecar) Run(stop context.Context, ln net.Listener) error {
	alive, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.core.Run(alive)
	}()
	err := s.front.Serve(stop, ln)
	end()
	<-ended
	return err
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func or(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}
