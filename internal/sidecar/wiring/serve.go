package wiring

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/handover"
)

// memoryFraction of the limit is what the Go runtime keeps to: stacks of C and kernel buffers come on top.
const memoryFraction = 0.7

// Serve is a whole process of a sidecar: it listens or takes over, and serves until stop ends and then until all that it took is
// answered. A signal on reload has the file at path read again.
func Serve(stop context.Context, path string, cfg *config.Config, dial Dial, reload <-chan os.Signal, log *slog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	memory := func(shared bool) { // with another process of this sidecar
		if cfg.Limits.MemoryMB > 0 {
			most := memoryFraction * float64(cfg.Limits.MemoryMB) * (1 << 20)
			if shared {
				most /= 2
			}
			debug.SetMemoryLimit(int64(most))
		}
	}
	memory(false)
	s, err := listen(cfg, log)
	if err != nil {
		return err
	}
	sidecar, ln := NewFrom(cfg, s.state, dial, log), s.clients
	sidecar.OnMemoryShared = memory
	go sidecar.Reload(stop, path, reload)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String())
	if err := sidecar.Run(stop, ln, s.operators, s.succession); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// startup is what a sidecar begins with.
type startup struct {
	clients, operators net.Listener // calls is nil where there is no address for operators
	succession         *Succession
	state              *HandoverState // nil: from nothing
}

// handoverTimeout is how long the process in service may take to hand over.
const handoverTimeout = time.Second

// listen listens for clients, and for operators where there is an address for them. With operators there are upgrades: then
// it takes over from the process in service, or listens beside it.
func listen(cfg *config.Config, log *slog.Logger) (s startup, err error) {
	if cfg.Admin == "" {
		if s.clients, err = net.Listen("tcp", cfg.Listen); err != nil {
			return s, fmt.Errorf("listen: %w", err)
		}
		return s, nil
	}
	s.operators, err = net.Listen("tcp", cfg.Admin)
	taken := sock.Taken(err)
	if err != nil && !taken {
		return s, fmt.Errorf("listen at admin_addr: %w", err)
	}
	if _, port, _ := net.SplitHostPort(cfg.Listen); port != "0" { // else there is no address to share
		s.clients, s.state, s.succession, err = RequestHandover(handover.NewRendezvous(os.TempDir(), cfg.Name, cfg.Listen), cfg.Listen, handoverTimeout)
		if err != nil {
			log.Warn("nothing is taken over", "err", err)
		}
	}
	if taken { // in an upgrade the process in service may have the same address; operators call that one until it ends
		if s.state == nil {
			return s, fmt.Errorf("listen at admin_addr: %s is taken, and no process in service hands over", cfg.Admin)
		}
		s.operators = sock.ListenLater(cfg.Admin, 50*time.Millisecond)
	}
	if s.clients == nil {
		if s.clients, err = sock.ListenShared(cfg.Listen); err != nil {
			s.operators.Close()
			return s, fmt.Errorf("listen: %w", err)
		}
	}
	return s, nil
}
