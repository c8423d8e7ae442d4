package rehearse

import (
	"context"
	"errors"
	"log/slog"

	"petrelhook/internal/sidecar"
)

// InProcess is sidecars that run in this process, on a network that is handed in: the core as it is, without its
// command. It is for networks in memory; a process of its own tells what a sidecar costs.
type InProcess struct {
	Network Network
	Log     *slog.Logger

	running []inProcess
}

type inProcess struct {
	stop, end context.CancelFunc
	ended     chan error
	loop      chan struct{}
}

// Start starts a sidecar.
func (p *InProcess) Start(_ int, config []byte) (addr string, err error) {
	cfg, err := sidecar.ParseConfig(config)
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
	loop := sidecar.NewLoop(sidecar.NewClock(), &cfg, p.Network.Dial, log)
	one := inProcess{ended: make(chan error, 1), loop: make(chan struct{})}
	var stop, alive context.Context
	alive, one.end = context.WithCancel(context.Background())
	stop, one.stop = context.WithCancel(context.Background())
	go func() {
		defer close(one.loop)
		loop.Run(alive)
	}()
	server := sidecar.NewServer(loop, log)
	go func() { one.ended <- server.Serve(stop, ln) }()
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
		one.end()
		<-one.loop
	}
	p.running = nil
	return errors.Join(all...)
}
