// Command petrelhook is the sidecar: it takes the application's requests and has them served.
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

	"petrelhook/internal/sidecar/config"
	"petrelhook/internal/sidecar/logwriter"
	"petrelhook/internal/sidecar/wiring"
)

// The exit codes.
const (
	exitFailed = 1 // the configuration is bad, or the sidecar could not serve
	exitUsage  = 2 // the command line is wrong
)

// logTime is for how long the process stays for the last lines of its log.
const logTime = 500 * time.Millisecond

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run is the program with its arguments and outputs; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	c, err := parseArgs(args, os.Getenv, out)
	switch {
	case errors.Is(err, errDone):
		return 0
	case err != nil:
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitUsage
	}
	// One that comes while the configuration is read neither ends the process nor is lost.
	reload := make(chan os.Signal, 1) // one is enough: the file is read after the last of them
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := config.Read(c.path)
	if err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	if err := cfg.SetAdmin("LB_ADMIN_ADDR", os.Getenv("LB_ADMIN_ADDR")); err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	if c.check {
		fmt.Fprintf(out, "%s: good: %d classes, %d servers known\n", c.path, len(cfg.Profile.Classes), len(cfg.KnownServers.Instances))
		return 0
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt) // until here nothing is taken
	defer release()
	log := c.logger(errs) // of what the writer itself has to say
	lines := logwriter.New(errs, func(n int) { log.Warn("log lines were dropped", "lines", n) })
	err = wiring.Serve(stop, c.path, &cfg, wiring.TCP(), reload, c.logger(lines))
	lines.Close(logTime)
	if err != nil {
		fmt.Fprintln(errs, "petrelhook:", err)
		return exitFailed
	}
	return 0
}
