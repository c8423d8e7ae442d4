package rehearse

import (
	"context"
	"errors"
	"log/slog"

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/wiring"
)

// InProcess is a Starter of sidecars in this process, on a given network: all of the sidecar but its command. It is for networks in
// memory; Processes shows what a sidecar costs.
type InProcess struct {
	Network Network
	Log     *slog.Logger

	running []inProcessSidecar
}

type inProcessSidecar struct {
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
	one := inProcessSidecar{ended: make(chan error, 1)}
	var stop context.Context
	stop, one.stop = context.WithCancel(context.Background())
	sidecar := wiring.New(&cfg, p.Network.Dial, log)
	go func() { one.ended <- sidecar.Run(stop, ln, nil, nil) }()
	p.running = append(p.running, one)
	return ln.Addr().String(), nil
}

// Stop shuts all of them down gracefully, as SIGTERM does.
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
