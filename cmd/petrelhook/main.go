// Command petrelhook is the sidecar: it accepts the requests of one application and forwards them to the servers that discovery lists. This
// package reads the command line and the configuration, and runs package wiring.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	_ "petrelhook/internal/common/hangup" // SIGHUP before main
	"petrelhook/internal/common/logwriter"
	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/wiring"
)

// The exit codes; 0 is success.
const (
	exitFailed = 1 // the configuration is invalid, or the sidecar could not serve
	exitUsage  = 2 // the command line is invalid
)

// logFlushTimeout is how long the process waits before it exits for the last lines of its log to be written.
const logFlushTimeout = 500 * time.Millisecond

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the program with these arguments and outputs, and returns its exit code.
func run(args []string, out, errOut io.Writer) int {
	options, err := parseArgs(args, os.Getenv, out)
	switch {
	case errors.Is(err, errDone):
		return 0
	case err != nil:
		fmt.Fprintln(errOut, "petrelhook:", err)
		return exitUsage
	}
	logwriter.IgnoreClosedReaders()
	// Registered before the configuration is read, so that a SIGHUP in that time neither ends the process nor is lost.
	reload := make(chan os.Signal, 1) // one pending signal is enough: the file is read after the last signal
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := config.Read(options.configPath)
	if err != nil {
		fmt.Fprintln(errOut, "petrelhook:", err)
		return exitFailed
	}
	if err := cfg.SetAdmin("LB_ADMIN_ADDR", os.Getenv("LB_ADMIN_ADDR")); err != nil {
		fmt.Fprintln(errOut, "petrelhook:", err)
		return exitFailed
	}
	if options.check {
		fmt.Fprintf(out, "%s: good: %d classes, %d servers known\n", options.configPath, len(cfg.Profile.Classes), len(cfg.KnownServers.Instances))
		return 0
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt) // no request has been accepted before, so the signals may end the process
	defer release()
	log := options.logger(errOut) // for the log writer's own lines
	logWriter := logwriter.New(errOut, func(n int) { log.Warn("log lines were dropped", "lines", n) })
	err = wiring.Serve(stop, options.configPath, &cfg, wiring.System(wiring.TCP()), reload, options.logger(logWriter))
	logWriter.Close(logFlushTimeout)
	if err != nil {
		fmt.Fprintln(errOut, "petrelhook:", err)
		return exitFailed
	}
	return 0
}
