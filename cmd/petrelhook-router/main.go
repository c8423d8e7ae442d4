// Command petrelhook-router runs a router of the fleet. Its other commands are for operators: they check a file, print the
// status of a running router, readmit a server, and print the state on the disk of a stopped router.
//
// Results are written to standard output, logs and errors to standard error.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	_ "petrelhook/internal/common/hangup" // SIGHUP before main
	"petrelhook/internal/common/logwriter"
)

// Exit codes besides 0.
const (
	exitFailure = 1 // a checked file is invalid, or the router or a call failed
	exitUsage   = 2 // the command line is invalid
)

func main() {
	os.Exit(runProcess(os.Args, os.Stdout, os.Stderr))
}

// runProcess runs the program as a process of its own and returns the exit code. SIGHUP is handled from its first statement to
// the end of the process, since it ends a process that does not handle it.
func runProcess(args []string, stdout, stderr io.Writer) int {
	reload := make(chan os.Signal, 1) // one pending signal is enough: the file is read after the last signal
	signal.Notify(reload, syscall.SIGHUP)
	return logwriter.Run(stderr, reportDroppedLines, func(log io.Writer) int { return run(args, stdout, log, reload) })
}

// reportDroppedLines logs how many lines of the log were dropped because nothing read them.
func reportDroppedLines(output io.Writer, lines int) {
	newLogger(output).Warn().Int("lines", lines).Msg("log lines dropped")
}

// run executes the command line and returns the exit code. A router reads its settings again at each signal from reload.
func run(args []string, stdout, stderr io.Writer, reload <-chan os.Signal) int {
	command := &cli.Command{
		Name:           "petrelhook-router",
		Usage:          "a router in front of the servers of a language model",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, exitUsage) },
		Commands: []*cli.Command{
			{Name: "router", Usage: "serve clients, servers and operators with the settings file named by PETRELHOOK_SETTINGS",
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, reload) }},
			{Name: "check", Usage: "check a settings file or a deploy file", ArgsUsage: "FILE", Action: check},
			{Name: "state", Usage: "print the state on the disk of a stopped router", ArgsUsage: "FOLDER", Action: state},
			{Name: "status", Usage: "print the status of a running router", ArgsUsage: "CONTROL-ADDRESS", Action: status},
			{Name: "admit", Usage: "send requests to a server for some time even if it would be ejected", ArgsUsage: "CONTROL-ADDRESS SERVER",
				Flags: []cli.Flag{&cli.DurationFlag{Name: "for", Value: defaultAdmission, Usage: "how long"}}, Action: admit},
			{Name: "version", Usage: "print the version", Action: version},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return cli.Exit("no such command: "+c.Args().First()+"; --help lists them", exitUsage)
			}
			return cli.ShowAppHelp(c)
		},
	}
	err := command.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	io.WriteString(stderr, "petrelhook-router: "+err.Error()+"\n")
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitUsage
}
