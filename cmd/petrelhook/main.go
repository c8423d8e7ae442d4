// Command petrelhook is the sidecar: it takes the application's requests and has them served.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"petrelhook/internal/config"
	"petrelhook/internal/wiring"
)

// memoryPart of the limit is what the Go runtime keeps to: stacks of C and kernel buffers come on top.
const memoryPart = 0.7

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "petrelhook:", err)
		os.Exit(1)
	}
}

func run() error {
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	reload := make(chan os.Signal, 1) // one is enough: the file is read after the last of them
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv("LB_CONFIG")
	cfg, err := config.Read(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	sidecar := wiring.New(&cfg, wiring.TCP(), log)
	go sidecar.Reload(stop, path, reload)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String())
	if err := sidecar.Run(stop, ln); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}
