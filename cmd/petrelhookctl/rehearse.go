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

// defaultScenario is played where none is named: it has drains and cold starts.
const defaultScenario = "rolling-deploy"

func rehearseCommand() *cobra.Command {
	var o options
	var program string
	var direct, verbose bool
	cmd := &cobra.Command{
		Use:   "rehearse [SCENARIO | FILE]",
		Short: "Play a scenario against real sidecar processes and judge the four rules",
		Long: "Starts a fleet of stand-in servers, their discovery and the sidecars on loopback, sends the scenario's load,\n" +
			"plays its faults, and judges the four rules from what clients and servers saw.\n\n" +
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
			s, err := o.scenario(name)
			if err != nil {
				return err
			}
			if direct {
				s.Sidecars.Count = 0
			} else if program, err = sidecarProgram(program); err != nil {
				return runError{err}
			}
			return rehearsal(cmd, &o, s, program, verbose)
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&program, "sidecar", "", "`PROGRAM` of the sidecar (default: petrelhook beside this program)")
	cmd.Flags().BoolVar(&direct, "direct", false, "send straight to the servers, without sidecars: a baseline for latencies")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "pass the sidecars' logs on to standard error")
	return cmd
}

// sidecarProgram finds the sidecar's program.
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

func rehearsal(cmd *cobra.Command, o *options, s *scenario.Scenario, program string, verbose bool) (err error) {
	// Beside the clients: listeners, and some connections from each sidecar to each server and to discovery.
	room, err := o.room(8 * (len(s.Servers) + 1) * max(s.Sidecars.Count, 1) * 2)
	if err != nil {
		return err
	}
	trace, endTrace, err := o.recorder()
	if err != nil {
		return err
	}
	// Connections of clients, and those that sidecars open to servers, end in this process too.
	r := &rehearse.Rehearsal{
		Scenario: s, Network: loopback.New(), Connections: max(1, room/2), MaxLag: o.maxLag, Wait: load.WaitPrecisely, Trace: trace,
	}
	against := "the servers, without sidecars"
	processes := &rehearse.Processes{Program: program}
	if s.Sidecars.Count > 0 {
		if verbose {
			processes.Log = cmd.ErrOrStderr()
		}
		r.Sidecars = processes
		against = fmt.Sprintf("%d sidecar processes", s.Sidecars.Count)
	}
	if l := newLive(cmd.ErrOrStderr()); l != nil {
		r.Live = l.add
		r.Began = func() { go l.run() }
		defer l.end()
	}
	before := cpu()
	outcome, err := r.Run(cmd.Context())
	err = errors.Join(err, endTrace())
	if err != nil {
		return runError{err}
	}
	report := rehearse.NewReport(outcome, against)
	report.Generator.CPU = (cpu() - before).Seconds()
	if s.Sidecars.Count > 0 {
		report.Sidecars = processes.Usage()
	}
	return o.show(cmd, report)
}
