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
		Short: "Run a scenario's stand-in servers and discovery for sidecars that are started separately",
		Long: "Starts the fleet and discovery of a scenario on loopback and writes a configuration file nN.json for each of its\n" +
			"sidecars to a folder. Start the sidecars with LB_CONFIG=FOLDER/nN.json. The faults begin after --faults-after.\n" +
			"The command runs until it is interrupted, and then writes the numbers of requests to each server as JSON.",
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
			recorder := &audit.Recorder{}
			fleet, err := standin.Start(s, loopback.New(), recorder, time.Now())
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
			if err := writeJSON(cmd.OutOrStdout(), summarizeByServer(recorder.Records())); err != nil {
				return runError{err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&configs, "configs", "", "`FOLDER` for the sidecars' configuration files")
	cmd.Flags().DurationVar(&faultsAfter, "faults-after", 5*time.Second, "time after the start at which the faults begin")
	cmd.Flags().Uint64Var(&o.seed, "seed", 0, "seed of all random draws, in place of the scenario's")
	return cmd
}

// serverLine is the output for one server. Other programs read its JSON, so its keys must not change.
type serverLine struct {
	Server   string `json:"server"`
	Attempts int    `json:"attempts"`
	Ran      int    `json:"ran"`
	Repeats  int    `json:"repeats_dropped"`
	NeverRan int    `json:"never_ran"`
}

// summarizeByServer counts the attempts at each server by what became of them.
func summarizeByServer(r audit.Records) (lines []serverLine) {
	indexes := map[string]int{}
	for _, l := range r.Incarnations {
		if _, ok := indexes[l.Server]; !ok {
			indexes[l.Server] = len(lines)
			lines = append(lines, serverLine{Server: l.Server})
		}
	}
	for _, a := range r.Attempts {
		i, ok := indexes[a.Server]
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
