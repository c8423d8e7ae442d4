// Command petrelhookctl is the operators' tool. Each subcommand is a thin shell over a package.
//
// It ends with 0 where all is well, 1 where what it looked at is bad, and 2 where it was called wrongly. Results go to
// standard output; progress and errors, one line each, to standard error.
package main

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

func main() {
	// The first signal stops what runs, in order; a second one ends the process at once.
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, release)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	release()
	os.Exit(code)
}

// errBad says that what was looked at is bad; the report has said why.
var errBad = errors.New("bad")

// runError is an error of a subcommand that was called rightly.
type runError struct{ error }

// Unwrap gives the cause.
func (e runError) Unwrap() error { return e.error }

func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	root := &cobra.Command{
		Use: "petrelhookctl", Short: "The operators' tool of petrelhook", SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
	}
	root.AddCommand(rehearseCommand(), loadCommand(), standinCommand(), leaseCommand(), fleetCommand(), rolloutCommand(), releaseCommand(), shareCommand(), revisionCommand(), capacityCommand(), chainCommand(), scaleCommand(), experimentCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	var ran runError
	var exit exitCodeError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errBad):
		return 1
	case errors.As(err, &exit):
		return int(exit)
	case errors.As(err, &ran):
		fmt.Fprintln(stderr, "petrelhookctl:", err)
		return 1
	default: // cobra's, and what a subcommand says of its flags
		fmt.Fprintln(stderr, "petrelhookctl:", err)
		return 2
	}
}
