// Package command runs the command lines of the coordinators and agents, and turns their errors into exit codes: an error that a command
// has marked with Fail is ExitFailed, and any other, such as cobra's for an unknown flag, is ExitUsage.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes other than 0.
const (
	ExitFailed = 1 // the file is invalid, or the process could not go on
	ExitUsage  = 2 // the command line is wrong
)

// FailedError is an error of a command whose command line was right. Fail makes it and Run looks for it.
type FailedError struct{ error }

func (e FailedError) Unwrap() error { return e.error }

// Fail marks an error as one of a command whose command line was right; nil stays nil.
func Fail(err error) error {
	if err == nil {
		return nil
	}
	return FailedError{err}
}

// Run runs a command and returns the exit code of the process. An error is written to errs as one line, with the command's name.
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
	if errors.As(err, new(FailedError)) {
		return ExitFailed
	}
	return ExitUsage
}

// SettingsFlags adds the flags that coordinators and agents have in common: the file of the settings, and that it is only to be checked.
func SettingsFlags(cmd *cobra.Command, path *string, check *bool) {
	cmd.Flags().StringVar(path, "config", "", "the settings' `FILE` (YAML)")
	cmd.Flags().BoolVar(check, "check", false, "say whether the file is good, and end")
}

// Logger returns the log of a process, which goes to errs, and logs the warnings about its settings.
func Logger(errs io.Writer, warnings []string) *slog.Logger {
	log := slog.New(slog.NewTextHandler(errs, nil))
	for _, warning := range warnings {
		log.Warn("settings", "warning", warning)
	}
	return log
}

// Terminated returns a context that ends with SIGTERM or an interrupt. After release they end the process, as they do by default.
func Terminated() (ctx context.Context, release func()) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
