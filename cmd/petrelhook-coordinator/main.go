// Command petrelhook-coordinator is a coordinator: one, three or five of them keep the leases of a fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/common/command"
	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	var path, data, addr string
	var check bool
	cmd := &cobra.Command{
		Use: "petrelhook-coordinator [--config FILE | --data FOLDER]", Short: "A coordinator of petrelhook's fleet: who holds which lease",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var c *fleet.Config
			var err error
			switch {
			case (path == "") == (data == ""):
				return errors.New("write --config FILE, or --data FOLDER for the one coordinator of this machine")
			case path != "":
				c, err = fleet.ReadConfig(path)
			default:
				c = fleet.SingleConfig(data, addr)
			}
			if err != nil {
				return command.Fail(err)
			}
			log := slog.New(slog.NewTextHandler(errs, nil))
			for _, w := range c.Warnings {
				log.Warn("settings", "warning", w)
			}
			if check {
				fmt.Fprintf(out, "%s: good: replica %d of %d\n", path, c.ID, len(c.Replicas))
				return nil
			}
			return serve(c, log)
		},
	}
	f := cmd.Flags()
	f.StringVar(&path, "config", "", "the settings' `FILE` (YAML)")
	f.StringVar(&data, "data", "", "`FOLDER` of the one coordinator of a machine; it needs no file")
	f.StringVar(&addr, "listen", fleet.DefaultAddr, "with --data: `HOST:PORT`")
	f.BoolVar(&check, "check", false, "say whether the file is good, and end")
	return command.Run(cmd, args, out, errs)
}

// driverTTL is for how long a driver of rolling changes is waited for that is silent.
const driverTTL = 3 * time.Second

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
		drives := make(chan struct{})
		driving, ended := context.WithCancel(ctx)
		d := &driver.Driver{TTL: driverTTL, Interval: c.DriveEvery, Log: log}
		for _, m := range c.Replicas {
			d.Coordinators = append(d.Coordinators, m.Addr)
		}
		go func() {
			defer close(drives)
			if err := d.Run(driving); err != nil {
				log.Error("drives no changes", "err", err)
			}
		}()
		defer func() { ended(); <-drives }()
	}
	log.Info("serving", "id", c.ID, "listen", ln.Addr().String(), "replicas", len(c.Replicas))
	if err := s.Run(ctx, ln); err != nil {
		return command.Fail(err)
	}
	log.Info("stopped")
	return nil
}
