// Command petrelagent is in charge of the sidecars of one machine: it starts them, changes them by a hand-over when a rolling change
// orders so, and takes them up again when it is started anew.
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
	"syscall"

	"github.com/spf13/cobra"

	"petrelhook/internal/machine"
)

// The exit codes.
const (
	exitFailed = 1 // the file is bad, or it could not go on
	exitUsage  = 2 // the command line is wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// failed is an error of a command line that was right.
type failed struct{ error }

func run(args []string, out, errs io.Writer) int {
	var path string
	var check bool
	cmd := &cobra.Command{
		Use: "petrelagent --config FILE", Short: "The agent of one machine: starts its sidecars, and changes them as a rolling change orders",
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("write --config FILE")
			}
			c, err := machine.Read(path)
			if err != nil {
				return failed{err}
			}
			if check {
				fmt.Fprintf(out, "%s: good: %d sidecars of %s\n", path, len(c.Sidecars), c.Application)
				return nil
			}
			return serve(c, slog.New(slog.NewTextHandler(errs, nil)))
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "the settings' `FILE` (YAML)")
	cmd.Flags().BoolVar(&check, "check", false, "say whether the file is good, and end")
	cmd.AddCommand(&cobra.Command{Use: "once FILE PROGRAM", Hidden: true, DisableFlagParsing: true, Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return failed{machine.Once(args[0], args[1], args[2:])} }})
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	err := cmd.Execute()
	var ran failed
	switch {
	case err == nil:
		return 0
	case errors.As(err, &ran):
		fmt.Fprintln(errs, "petrelagent:", err)
		return exitFailed
	}
	fmt.Fprintln(errs, "petrelagent:", err)
	return exitUsage
}

// serve is in charge until SIGTERM or an interrupt; the sidecars go on.
func serve(c *machine.Config, log *slog.Logger) error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer release()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return failed{fmt.Errorf("listen: %w", err)}
	}
	m, err := machine.Open(c, log)
	if err != nil {
		return failed{err}
	}
	log.Info("serving", "application", c.Application, "listen", ln.Addr().String(), "sidecars", len(c.Sidecars))
	if err := m.Run(ctx, ln); err != nil {
		return failed{err}
	}
	log.Info("stopped; the sidecars go on")
	return nil
}
