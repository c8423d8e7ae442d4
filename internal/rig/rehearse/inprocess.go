package rehearse

import (
	"context"
	"errors"
	"log/slog"

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/wiring"
)

// InProcess is sidecars that run in this process, on a network that is handed in: the core as it is, without its
// command. It is for networks in memory; a process of its own tells what a sidecar costs.
type InProcess struct {
	Network Network
	Log     *slog.Logger

	running []inProcess
}

type inProcess struct {
	stop  context.CancelFunc
	ended chan error
}

// Start starts a sidecar.
func (p *InProcess) Start(_ int, text []byte) (addr string, err error) {
	cfg, err := config.Parse("config", text)
	if err != nil {
		return "", err
	}
	ln, err := p.Network.Listen(cfg.Listen)
	if err != nil {
		return "", err
	}
	log := p.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	one := inProcess{ended: make(chan error, 1)}
	var stop context.Context
	stop, one.stop = context.WithCancel(context.Background())
	sidecar := wiring.New(&cfg, p.Network.Dial, log)
	go func() { one.ended <- sidecar.Run(stop, ln, nil, nil) }()
	p.running = append(p.running, one)
	return ln.Addr().String(), nil
}

// Stop drains all of them, as SIGTERM does.
func (p *InProcess) Stop() error {
	var all []error
	for _, one := range p.running {
		one.stop()
	}
	for _, one := range p.running {
		all = append(all, <-one.ended)
	}
	p.running = nil
	return errors.Join(all...)
}
