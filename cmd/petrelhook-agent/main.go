// Command petrelhook-agent runs the sidecars of one machine. It starts them, replaces their processes when a rolling change orders it, and
// supervises the running ones again after a restart of the agent.
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

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/command"
	"petrelhook/internal/coordination/machine"
)

// startCommand is the hidden subcommand that the agent runs to start a sidecar. See machine.BecomeSidecar.
const startCommand = "once"

// Locks the main goroutine to the first thread, because the process that starts a sidecar has to call execve from it. If another thread
// did so, the first one would be a zombie for a moment, and an observer would take the process for ended.
func init() {
	if len(os.Args) > 1 && os.Args[1] == startCommand {
		runtime.LockOSThread()
	}
}

func main() { os.Exit(command.Main(run)) }

// run runs the program with the given arguments and outputs, and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: "petrelhook-agent --config FILE", Short: "The agent of one machine: starts its sidecars, and replaces them when a rolling change orders it",
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

// serve runs the agent until it receives SIGTERM or an interrupt. The sidecars keep running afterwards.
func serve(c *machine.Config, log *slog.Logger) error {
	clientlimit.ProcessLimits(c.MemoryMb).LimitCollector()
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

// A process that an agent starts inherits the agent's descriptors and keeps them until it executes the sidecar's program. If the agent is
// killed in between, the process holds the agent's address and lock for that moment. An agent that is started meanwhile retries at each
// heldRetryInterval, for heldTimeout at most.
const (
	heldTimeout       = 5 * time.Second
	heldRetryInterval = 20 * time.Millisecond
)

// retryWhileHeld calls open repeatedly while open fails with the error held, which means that another process holds the resource. It returns
// the last result of open once that is a success or another error, once heldTimeout has passed, or once ctx is done.
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
