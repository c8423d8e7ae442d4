// Package command runs the command lines of the coordinator and the agent, and maps their errors to exit codes: ExitFailed for an
// error that a command has marked with Fail, and ExitUsage for any other, such as cobra's error for an unknown flag.
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

	"petrelhook/internal/common/logwriter"
)

// The exit codes other than 0.
const (
	ExitFailed = 1 // the command line is valid, but the command failed, for example because its settings file is invalid
	ExitUsage  = 2 // the command line is invalid
)

// FailedError is the error of a command that failed although its command line is valid. Fail creates it; Run maps it to
// ExitFailed.
type FailedError struct{ error }

func (e FailedError) Unwrap() error { return e.error }

// Fail wraps err in a FailedError, for a command that failed although its command line is valid. It returns nil for nil.
func Fail(err error) error {
	if err == nil {
		return nil
	}
	return FailedError{err}
}

// Run runs a command and returns the exit code for the process. It writes an error to stderr, prefixed with the command's name.
func Run(cmd *cobra.Command, args []string, stdout, stderr io.Writer) int {
	cmd.SilenceErrors, cmd.SilenceUsage, cmd.CompletionOptions.HiddenDefaultCmd = true, true, true
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintf(stderr, "%s: %v\n", cmd.Name(), err)
	if errors.As(err, new(FailedError)) {
		return ExitFailed
	}
	return ExitUsage
}

// Main runs a program as a process of its own, with a log that delays nothing and survives its reader, and returns the exit code.
func Main(program func(args []string, stdout, stderr io.Writer) (exitCode int)) (exitCode int) {
	return logwriter.Run(os.Stderr, reportDroppedLines, func(log io.Writer) int { return program(os.Args[1:], os.Stdout, log) })
}

// reportDroppedLines logs how many lines of the log were dropped because nothing read them.
func reportDroppedLines(output io.Writer, lines int) {
	slog.New(slog.NewTextHandler(output, nil)).Warn("log lines dropped", "lines", lines)
}

// SettingsFlags adds the flags that the coordinator and the agent share: --config for the path of the settings file, and --check
// to validate the file and exit.
func SettingsFlags(cmd *cobra.Command, path *string, check *bool) {
	cmd.Flags().StringVar(path, "config", "", "the settings' `FILE` (YAML)")
	cmd.Flags().BoolVar(check, "check", false, "say whether the file is good, and end")
}

// Logger returns the logger of a process, which writes text to stderr, after it has logged the warnings about the settings.
func Logger(stderr io.Writer, warnings []string) *slog.Logger {
	log := slog.New(slog.NewTextHandler(stderr, nil))
	for _, warning := range warnings {
		log.Warn("settings", "warning", warning)
	}
	return log
}

// Terminated returns a context that ends with the first SIGTERM or interrupt. release restores the default handling: a later
// signal terminates the process.
func Terminated() (ctx context.Context, release func()) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
