// Command petrelhook is the sidecar: it takes the application's requests and has them served.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"petrelhook/internal/config"
	"petrelhook/internal/sock"
	"petrelhook/internal/wiring"
)

// memoryPart of the limit is what the Go runtime keeps to: stacks of C and kernel buffers come on top.
const memoryPart = 0.7

// The exit codes.
const (
	exitFailed = 1 // the configuration is bad, or the sidecar could not serve
	exitUsage  = 2 // the command line is wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program with its arguments and outputs; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	c, err := parseArgs(args, os.Getenv, out)
	switch {
	case errors.Is(err, errDone):
		return 0
	case err != nil:
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitUsage
	}
	cfg, err := config.Read(c.path)
	if err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	if err := cfg.SetAdmin("LB_ADMIN_ADDR", os.Getenv("LB_ADMIN_ADDR")); err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	if c.check {
		fmt.Fprintf(out, "%s: good: %d classes, %d servers known\n", c.path, len(cfg.Profile.Classes), len(cfg.Known.Instances))
		return 0
	}
	if err := serve(c.path, &cfg, c.logger(errs)); err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	return 0
}

// serve runs the sidecar until SIGTERM or an interrupt, and then until all that it took is answered.
func serve(path string, cfg *config.Config, log *slog.Logger) error {
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	reload := make(chan os.Signal, 1) // one is enough: the file is read after the last of them
	signal.Notify(reload, syscall.SIGHUP)
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.Limits.MemoryMB) * (1 << 20)))
	}
	ln, calls, err := listen(cfg)
	if err != nil {
		return err
	}
	sidecar := wiring.New(cfg, wiring.TCP(), log)
	go sidecar.Reload(stop, path, reload)
	log.Info("serving", "name", cfg.Name, "listen", ln.Addr().String())
	if err := sidecar.Run(stop, ln, calls); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// listen listens for clients, and for operators where there is an address for them: calls is nil where there is none. With
// operators there are upgrades, in which the next process listens for clients at the same address.
func listen(cfg *config.Config) (clients, calls net.Listener, err error) {
	if cfg.Admin == "" {
		if clients, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
		return clients, nil, nil
	}
	if calls, err = net.Listen("tcp", cfg.Admin); err != nil {
		return nil, nil, fmt.Errorf("listen at admin_addr: %w", err)
	}
	if clients, err = sock.ListenShared(cfg.Listen); err != nil {
		calls.Close()
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	return clients, calls, nil
}
