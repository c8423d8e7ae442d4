// Package command is the command line of the fleet's processes: how one is run, and what it ends with. What it does is its own.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	ExitFailed = 1 // the file is bad, or it could not go on
	ExitUsage  = 2 // the command line is wrong
)

// Failed is an error of a command line that was right.
type Failed struct{ error }

// Fail makes an error one of a command line that was right.
func Fail(err error) error {
	if err == nil {
		return nil
	}
	return Failed{err}
}

// Run runs a command, and gives the code that the process ends with. An error is one line.
func Run(cmd *cobra.Command, args []string, out, errs io.Writer) int {
	cmd.SilenceErrors, cmd.SilenceUsage, cmd.CompletionOptions.HiddenDefaultCmd = true, true, true
	cmd.SetArgs(args)
	cmd.SetOut(out)
	cmd.SetErr(errs)
	err := cmd.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(errs, "%s: %v\n", cmd.Name(), err)
	if errors.As(err, new(Failed)) {
		return ExitFailed
	}
	return ExitUsage
}

// Terminated is a context that ends with SIGTERM or an interrupt.
func Terminated() (ctx context.Context, release func()) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
