package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/scenario"
)

// defaultScenario is run if no scenario is named. It has draining servers and slow starts.
const defaultScenario = "rolling-deploy"

func rehearseCommand() *cobra.Command {
	var o runOptions
	var program string
	var direct, verbose bool
	cmd := &cobra.Command{
		Use:   "rehearse [SCENARIO | FILE]",
		Short: "Run a scenario against real sidecar processes and check the four rules",
		Long: "Starts a fleet of stand-in servers, their discovery and the sidecars on loopback, sends the scenario's load,\n" +
			"injects its faults, and checks the four rules against the records of clients and servers.\n\n" +
			"Scenarios: " + strings.Join(scenario.Names(), ", ") + ". Without an argument: " + defaultScenario + ".",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.check(); err != nil {
				return err
			}
			name := defaultScenario
			if len(args) > 0 {
				name = args[0]
			}
			s, err := o.readScenario(name)
			if err != nil {
				return err
			}
			if direct {
				s.Sidecars.Count = 0
			} else if program, err = sidecarProgram(program); err != nil {
				return runError{err}
			}
			return runRehearsal(cmd, &o, s, program, verbose)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().StringVar(&program, "sidecar", "", "`PROGRAM` of the sidecar (default: petrelhook beside this program)")
	cmd.Flags().BoolVar(&direct, "direct", false, "send directly to the servers, without sidecars, as a baseline for latencies")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "copy the sidecars' logs to standard error")
	return cmd
}

// sidecarProgram returns the absolute path of the sidecar's program, by default the one beside this program.
func sidecarProgram(given string) (string, error) {
	path := given
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "petrelhook")
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		return "", fmt.Errorf("no sidecar program at %s; build it (go build -o bin/ ./cmd/...) or name it with --sidecar", path)
	}
	return filepath.Abs(path)
}

// runRehearsal runs a scenario with the sidecar processes of a program, or without any if the scenario has none, and writes the report.
func runRehearsal(cmd *cobra.Command, o *runOptions, s *scenario.Scenario, program string, verbose bool) error {
	// Reserves descriptors for listeners, and for some connections from each sidecar to each server and to discovery.
	g, err := o.newGenerator(8 * (len(s.Servers) + 1) * max(s.Sidecars.Count, 1) * 2)
	if err != nil {
		return err
	}
	// Clients get half of the connections, since this process also holds the servers' ends of the connections that sidecars open.
	r := &rehearse.Rehearsal{
		Scenario: s, Network: loopback.New(), MaxConnections: max(1, g.connections/2), MaxLag: o.maxLag, WaitUntil: load.WaitPrecisely, Trace: g.trace,
	}
	target := "the servers, without sidecars"
	processes := &rehearse.Processes{Program: program}
	if s.Sidecars.Count > 0 {
		if verbose {
			processes.Log = cmd.ErrOrStderr()
		}
		r.Sidecars = processes
		target = fmt.Sprintf("%d sidecar processes", s.Sidecars.Count)
	}
	if l := newProgressLine(cmd.ErrOrStderr()); l != nil {
		r.OnOperation = l.add
		r.OnStart = func() { go l.run() }
		defer l.end()
	}
	outcome, err := r.Run(cmd.Context())
	if err = errors.Join(err, g.close()); err != nil {
		return runError{err}
	}
	report := rehearse.NewReport(outcome, target)
	report.Generator.CPU = g.cpuSeconds()
	if s.Sidecars.Count > 0 {
		report.Sidecars = processes.Usage()
	}
	return o.writeReport(cmd, report)
}
