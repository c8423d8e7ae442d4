// Command petrelhook-coordinator runs a coordinator. A group of one, three or five coordinators stores the fleet's leases, limits, rolling
// changes and configuration versions. Package fleet implements the server. Package command defines the exit codes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"

	"github.com/spf13/cobra"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/common/command"
	"petrelhook/internal/common/sock"
	"petrelhook/internal/common/startup"
	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/replica/disk"
)

func main() { os.Exit(command.Main(run)) }

// flags holds the values of the command line's flags.
type flags struct {
	config string // the path of the settings file
	data   string // in place of a settings file: the data folder of a machine's only coordinator
	listen string // the address to listen on, used with data
	check  bool   // check the settings and exit
}

// run runs the program with the given arguments and outputs, and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var f flags
	cmd := &cobra.Command{
		Use: "petrelhook-coordinator [--config FILE | --data FOLDER]", Short: "A coordinator of petrelhook's fleet: leases, limits, rolling changes and configuration versions",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := f.settings()
			if err != nil {
				return err
			}
			log := command.Logger(errs, c.Warnings)
			if f.check {
				fmt.Fprintf(out, "%s: good: replica %d of %d\n", f.config, c.ID, len(c.Replicas))
				return nil
			}
			return serve(c, log)
		},
	}
	command.SettingsFlags(cmd, &f.config, &f.check)
	set := cmd.Flags()
	set.StringVar(&f.data, "data", "", "data `FOLDER` of a machine's only coordinator, which needs no settings file")
	set.StringVar(&f.listen, "listen", fleet.DefaultAddr, "with --data: `HOST:PORT` to listen on")
	return command.Run(cmd, args, out, errs)
}

// settings returns the settings in the file that --config names, or with --data those of a machine's only coordinator.
func (f *flags) settings() (*fleet.Config, error) {
	if (f.config == "") == (f.data == "") {
		return nil, errors.New("write --config FILE, or --data FOLDER for the only coordinator of this machine")
	}
	if f.config == "" {
		return fleet.SingleConfig(f.data, f.listen), nil
	}
	c, err := fleet.ReadConfig(f.config)
	if err != nil {
		return nil, command.Fail(err)
	}
	return c, nil
}

// open opens the replica and listens on the address. It waits for conditions of the machine that may pass, and returns an error for any other
// and when the context ends.
func open(ctx context.Context, c *fleet.Config, log *slog.Logger) (s *fleet.Server, ln net.Listener, err error) {
	passes := func(err error) bool { return errors.Is(err, disk.ErrLocked) || startup.IsSystemError(err) }
	wait := func(err error) { log.Warn("the start waits", "error", err, "data", c.Data) }
	err = startup.Retry(ctx, passes, wait, func() (err error) {
		s, err = fleet.Open(c, log)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	err = startup.Retry(ctx, passes, wait, func() (err error) {
		ln, err = net.Listen("tcp", c.Addr())
		return err
	})
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	return s, sock.RetryAccept(ln, func(err error) { log.Warn("connection not accepted", "error", err) }), nil
}

// serve runs the coordinator until it receives SIGTERM or an interrupt.
func serve(c *fleet.Config, log *slog.Logger) error {
	clientlimit.ProcessLimits(c.MemoryMb).LimitCollector()
	ctx, release := command.Terminated()
	defer release()
	s, ln, err := open(ctx, c, log)
	if ctx.Err() != nil {
		log.Info("stopped during the start")
		return nil
	}
	if err != nil {
		return command.Fail(err)
	}
	if c.Drive {
		defer driver.ForCoordinator(c, log).Start(ctx)()
	}
	log.Info("serving", "id", c.ID, "listen", ln.Addr().String(), "replicas", len(c.Replicas))
	if err := s.Run(ctx, ln); err != nil {
		return command.Fail(err)
	}
	log.Info("stopped")
	return nil
}
