package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/load"
	"petrelhook/internal/rig/rehearse"
)

func loadCommand() *cobra.Command {
	var o runOptions
	var targets []string
	cmd := &cobra.Command{
		Use:   "load SCENARIO | FILE --target ADDRESS",
		Short: "Send a scenario's load to running sidecars, on schedule",
		Long: "Sends the arrivals of a scenario to sidecars that are already running, without starting its fleet or injecting its\n" +
			"faults. Memory does not grow with the length of the run; the four rules are not checked.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := o.check(); err != nil {
				return err
			}
			if len(targets) == 0 {
				return errors.New("--target: missing: the address to send to, such as 127.0.0.1:8080")
			}
			for _, t := range targets {
				if _, port, err := net.SplitHostPort(t); err != nil || port == "" {
					return fmt.Errorf("--target: %q is no address such as 127.0.0.1:8080", t)
				}
			}
			s, err := o.readScenario(args[0])
			if err != nil {
				return err
			}
			g, err := o.newGenerator(0)
			if err != nil {
				return err
			}
			r := &load.Runner{
				Scenario: s, Targets: targets, Dial: (&net.Dialer{}).DialContext, Zero: time.Now(), Wait: load.WaitPrecisely,
				MaxConnections: g.connections, MaxLag: o.maxLag, Trace: g.trace,
			}
			if l := newProgressLine(cmd.ErrOrStderr()); l != nil {
				r.OnOperation = l.add
				go l.run()
				defer l.end()
			}
			result, err := r.Run(cmd.Context())
			if err = errors.Join(err, g.close()); err != nil {
				return runError{err}
			}
			report := rehearse.LoadReport(&rehearse.Outcome{Scenario: s, Load: result}, strings.Join(targets, ", "))
			report.Generator.CPU = g.cpuSeconds()
			return o.writeReport(cmd, report)
		},
	}
	o.addFlags(cmd)
	cmd.Flags().StringSliceVar(&targets, "target", nil, "`ADDRESS` of a sidecar; several addresses get arrivals in turn")
	return cmd
}
