package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/loopback"
	"petrelhook/internal/rig/rehearse"
	"petrelhook/internal/rig/standin"
)

func standinCommand() *cobra.Command {
	var o runOptions
	var configs string
	var faultsAfter time.Duration
	cmd := &cobra.Command{
		Use:   "standin SCENARIO | FILE --configs FOLDER",
		Short: "Run a scenario's stand-in servers and discovery, for sidecars started by hand",
		Long: "Starts the fleet and discovery of a scenario on loopback and writes, for each of its sidecars, a configuration\n" +
			"file nN.json to a folder; start them with LB_CONFIG=FOLDER/nN.json. The faults begin after --faults-after.\n" +
			"It runs until it is interrupted, and then writes what each server was sent, as JSON.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if configs == "" {
				return errors.New("--configs: missing: the folder for the sidecars' configuration files")
			}
			if faultsAfter < 0 {
				return fmt.Errorf("--faults-after: %v must not be negative", faultsAfter)
			}
			s, err := o.readScenario(args[0])
			if err != nil {
				return err
			}
			if s.Sidecars.Count == 0 {
				return runError{fmt.Errorf("%s: sidecars: there are none to configure", s.Name)}
			}
			rec := &audit.Recorder{}
			fleet, err := standin.Start(s, loopback.New(), rec, time.Now())
			if err != nil {
				return runError{err}
			}
			defer fleet.Close()
			for i := range s.Sidecars.Count {
				path := filepath.Join(configs, fmt.Sprintf("n%d.json", i))
				if err := os.WriteFile(path, rehearse.Config(s, i, fleet), 0o644); err != nil {
					return runError{err}
				}
				fmt.Fprintf(cmd.ErrOrStderr(), "n%d: %s, discovery at %s\n", i, path, fleet.Discovery(i))
			}
			select {
			case <-cmd.Context().Done():
			case <-time.After(faultsAfter):
				if err := fleet.Run(cmd.Context()); err != nil && cmd.Context().Err() == nil {
					return runError{err}
				}
				<-cmd.Context().Done()
			}
			fleet.Close()
			if err := writeJSON(cmd.OutOrStdout(), summarizeByServer(rec.Records())); err != nil {
				return runError{err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&configs, "configs", "", "`FOLDER` for the sidecars' configuration files")
	cmd.Flags().DurationVar(&faultsAfter, "faults-after", 5*time.Second, "when the faults begin")
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "draw with this seed in place of the scenario's")
	return cmd
}

// serverLine is the output for one server. Its JSON is an interface.
type serverLine struct {
	Server   string `json:"server"`
	Attempts int    `json:"attempts"`
	Ran      int    `json:"ran"`
	Repeats  int    `json:"repeats_dropped"`
	NeverRan int    `json:"never_ran"`
}

// summarizeByServer counts the attempts at each server.
func summarizeByServer(r audit.Records) (lines []serverLine) {
	at := map[string]int{}
	for _, l := range r.Incarnations {
		if _, ok := at[l.Server]; !ok {
			at[l.Server] = len(lines)
			lines = append(lines, serverLine{Server: l.Server})
		}
	}
	for _, a := range r.Attempts {
		i, ok := at[a.Server]
		if !ok {
			continue
		}
		l := &lines[i]
		l.Attempts++
		switch {
		case a.KeyKnown:
			l.Repeats++
		case a.WorkStarted != audit.Never:
			l.Ran++
		case a.NeverRan:
			l.NeverRan++
		}
	}
	return lines
}
