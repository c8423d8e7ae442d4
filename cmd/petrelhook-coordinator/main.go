// Command petrelhook-coordinator is a coordinator: one, three or five of them keep the fleet's leases, limits, rolling changes and
// configuration versions. Package fleet is its server. Exit codes are those of package command.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"

	"github.com/spf13/cobra"

	"petrelhook/internal/common/command"
	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// flags are the command line's.
type flags struct {
	config string // the settings' file
	data   string // without a file: the folder of the only coordinator of a machine
	listen string // with data
	check  bool
}

// run is the program with its arguments and outputs; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var f flags
	cmd := &cobra.Command{
		Use: "petrelhook-coordinator [--config FILE | --data FOLDER]", Short: "A coordinator of petrelhook's fleet: who holds which lease",
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
	set.StringVar(&f.data, "data", "", "`FOLDER` of the one coordinator of a machine; it needs no file")
	set.StringVar(&f.listen, "listen", fleet.DefaultAddr, "with --data: `HOST:PORT`")
	return command.Run(cmd, args, out, errs)
}

// settings returns those of the file, or those of the only coordinator of a machine.
func (f *flags) settings() (*fleet.Config, error) {
	if (f.config == "") == (f.data == "") {
		return nil, errors.New("write --config FILE, or --data FOLDER for the one coordinator of this machine")
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

// serve runs until SIGTERM or an interrupt.
func serve(c *fleet.Config, log *slog.Logger) error {
	ctx, release := command.Terminated()
	defer release()
	s, err := fleet.Open(c, log)
	if err != nil {
		return command.Fail(err)
	}
	ln, err := net.Listen("tcp", c.Addr())
	if err != nil {
		return command.Fail(fmt.Errorf("listen: %w", err))
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
