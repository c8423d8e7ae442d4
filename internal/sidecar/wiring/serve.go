package wiring

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/config"
)

const (
	// handoverTimeout is how long the process in service may take to hand over.
	handoverTimeout = time.Second
	// adminRetryInterval is how often a successor tries to listen at the operators' address while its predecessor uses it.
	adminRetryInterval = 50 * time.Millisecond
)

// Serve runs a complete process of a sidecar. It listens or takes over from a predecessor, and serves until stop ends and all accepted
// requests are answered. At each signal on reload it reads the configuration file at path again.
func Serve(stop context.Context, path string, cfg *config.Config, env *Environment, reload <-chan os.Signal, log *slog.Logger) error {
	limit := func(shared bool) { env.Limit(int(cfg.Limits.Cores), cfg.Limits.MemoryMB, shared) }
	limit(false)
	start, err := env.openListeners(cfg, log)
	if err != nil {
		return err
	}
	sock.SetBuffers(start.clients, cfg.Limits.SocketBufferBytes())
	if start.operators != nil {
		sock.SetBuffers(start.operators, cfg.Limits.SocketBufferBytes())
	}
	sidecar := NewFrom(cfg, start.state, env.Dial, log)
	sidecar.OnMemoryShared = limit
	go sidecar.Reload(stop, path, reload)
	log.Info("serving", "name", cfg.Name, "listen", start.clients.Addr().String())
	if err := sidecar.Run(stop, start.clients, start.operators, start.succession); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// startup holds what a process of a sidecar starts with.
type startup struct {
	clients, operators net.Listener   // operators is nil where the configuration has no address for them
	succession         *Succession    // nil: there are no hand-overs
	state              *HandoverState // nil: there is no predecessor
}

// openListeners opens the listeners. The process takes part in hand-overs only where the configuration has an address for operators. Then
// the clients' listener comes from the process in service, if there is one; where the hand-over fails, a new listener shares the address
// with that process.
func (e *Environment) openListeners(cfg *config.Config, log *slog.Logger) (start startup, err error) {
	if cfg.Admin == "" {
		if start.clients, err = e.Listen(cfg.Listen); err != nil {
			return start, fmt.Errorf("listen: %w", err)
		}
		return start, nil
	}
	start.operators, err = e.Listen(cfg.Admin)
	addressInUse := sock.IsAddressInUse(err)
	if err != nil && !addressInUse {
		return start, fmt.Errorf("listen at admin_addr: %w", err)
	}
	if _, port, _ := net.SplitHostPort(cfg.Listen); port != "0" { // with port 0 each process listens at its own address
		rendezvous := e.Rendezvous(cfg.Name, cfg.Listen)
		start.clients, start.state, start.succession, err = RequestHandover(rendezvous, cfg.Listen, handoverTimeout)
		if err != nil {
			log.Warn("hand-over from the process in service failed", "err", err)
		}
	}
	if addressInUse { // by the predecessor during an upgrade; operators reach that process until it ends
		if start.state == nil {
			return start, fmt.Errorf("listen at admin_addr: %s is in use, and no process in service hands over", cfg.Admin)
		}
		start.operators = sock.ListenLater(e.Listen, cfg.Admin, adminRetryInterval)
	}
	if start.clients == nil {
		if start.clients, err = e.ListenShared(cfg.Listen); err != nil {
			start.operators.Close()
			return start, fmt.Errorf("listen: %w", err)
		}
	}
	return start, nil
}
