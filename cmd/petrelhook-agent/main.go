// Command petrelhook-agent runs the sidecars of one machine: it starts them, replaces their processes when a rolling change orders so, and
// supervises them again after a restart.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/common/command"
	"petrelhook/internal/coordination/machine"
)

// startCommand is the hidden subcommand by which the agent starts a sidecar: see machine.BecomeSidecar.
const startCommand = "once"

// The process of a start becomes the sidecar's program from its first thread. From another thread, the first would be a zombie for a
// moment, and an observer would take the process for ended.
func init() {
	if len(os.Args) > 1 && os.Args[1] == startCommand {
		runtime.LockOSThread()
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program with its arguments and outputs; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: "petrelhook-agent --config FILE", Short: "The agent of one machine: starts its sidecars, and changes them as a rolling change orders",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return errors.New("write --config FILE")
			}
			c, err := machine.Read(path)
			if err != nil {
				return command.Fail(err)
			}
			log := command.Logger(errs, c.Warnings)
			if check {
				fmt.Fprintf(out, "%s: good: %d sidecars of %s\n", path, len(c.Sidecars), c.Application)
				return nil
			}
			return serve(c, log)
		},
	}
	command.SettingsFlags(cmd, &path, &check)
	cmd.AddCommand(&cobra.Command{Use: startCommand + " FILE PROGRAM", Hidden: true, DisableFlagParsing: true, Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return command.Fail(machine.BecomeSidecar(args[0], args[1], args[2:]))
		}})
	return command.Run(cmd, args, out, errs)
}

// serve runs the agent until SIGTERM or an interrupt. The sidecars outlive it.
func serve(c *machine.Config, log *slog.Logger) error {
	ctx, release := command.Terminated()
	defer release()
	ln, err := retryWhileHeld(ctx, syscall.EADDRINUSE, func() (net.Listener, error) { return net.Listen("tcp", c.Listen) })
	if err != nil {
		return command.Fail(fmt.Errorf("listen: %w", err))
	}
	m, err := retryWhileHeld(ctx, syscall.EWOULDBLOCK, func() (*machine.Machine, error) { return machine.Open(c, log) })
	if err != nil {
		return command.Fail(err)
	}
	log.Info("serving", "application", c.Application, "listen", ln.Addr().String(), "sidecars", len(c.Sidecars))
	if err := m.Run(ctx, ln); err != nil {
		return command.Fail(err)
	}
	log.Info("stopped; the sidecars go on")
	return nil
}

// An agent that is killed while it starts a process leaves its address and its lock for a moment to that process, which has its descriptors
// until it runs its program. One that is started meanwhile waits for them.
const (
	heldTimeout       = 5 * time.Second
	heldRetryInterval = 20 * time.Millisecond
)

// retryWhileHeld calls open until it returns something else than the error that another process holds what it opens, until heldTimeout has
// passed, or until ctx ends.
func retryWhileHeld[T any](ctx context.Context, held syscall.Errno, open func() (T, error)) (T, error) {
	for until := time.Now().Add(heldTimeout); ; {
		opened, err := open()
		if !errors.Is(err, held) || time.Now().After(until) {
			return opened, err
		}
		select {
		case <-ctx.Done():
			return opened, err
		case <-time.After(heldRetryInterval):
		}
	}
}
