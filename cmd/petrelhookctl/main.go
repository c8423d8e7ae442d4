// Command petrelhookctl is the operators' tool. Each subcommand is a thin layer over a package.
//
// Exit codes: 0 success, 1 a negative result or a failure, 2 wrong usage; some subcommands have further ones. Results go to standard
// output; progress and errors, one line each, to standard error.
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
	// The first signal ends the subcommand gracefully; a second one ends the process at once.
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, release)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	release()
	os.Exit(code)
}

// errNegativeResult is returned by a subcommand that has written a negative result: exit code 1 without a message.
var errNegativeResult = errors.New("negative result")

// runError wraps an error that is not a usage error: exit code 1 in place of 2.
type runError struct{ error }

// Unwrap returns the wrapped error.
func (e runError) Unwrap() error { return e.error }

// run runs the subcommand that args name and returns the exit code. The end of ctx interrupts the subcommand.
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
	var failure runError
	var exit exitCodeError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errNegativeResult):
		return 1
	case errors.As(err, &exit):
		return int(exit)
	case errors.As(err, &failure):
		fmt.Fprintln(stderr, "petrelhookctl:", err)
		return 1
	default: // usage errors of cobra, and of a subcommand's flags
		fmt.Fprintln(stderr, "petrelhookctl:", err)
		return 2
	}
}
