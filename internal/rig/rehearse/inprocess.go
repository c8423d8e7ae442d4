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
	Log     *slog.Logger // of all sidecars; nil: none

	running []inProcessSidecar
}

// inProcessSidecar is one sidecar that runs.
type inProcessSidecar struct {
	stop  context.CancelFunc
	ended chan error // gets the result of its Run, once
}

// Start implements Starter.
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
	started := inProcessSidecar{ended: make(chan error, 1)}
	var stop context.Context
	stop, started.stop = context.WithCancel(context.Background())
	sidecar := wiring.New(&cfg, p.Network.Dial, log)
	go func() { started.ended <- sidecar.Run(stop, ln, nil, nil) }()
	p.running = append(p.running, started)
	return ln.Addr().String(), nil
}

// Stop implements Starter: it shuts all sidecars down gracefully, as SIGTERM does.
func (p *InProcess) Stop() error {
	var failures []error
	for _, s := range p.running {
		s.stop()
	}
	for _, s := range p.running {
		failures = append(failures, <-s.ended)
	}
	p.running = nil
	return errors.Join(failures...)
}
