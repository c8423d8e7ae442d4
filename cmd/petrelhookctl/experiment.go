package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/engines"
)

// maxExperimentRouters is the largest number of routers that --routers accepts.
const maxExperimentRouters = 1000

func experimentCommand() *cobra.Command {
	var output string
	var seeds int
	var policies []string
	var routers []int
	cmd := &cobra.Command{
		Use: "experiment FILE", Args: cobra.ExactArgs(1),
		Short: "Compare routing policies for model servers in virtual time",
		Long: "Simulates the day that a file describes under several policies, with the same arrivals and many seeds, and prints\n" +
			"value by class, late requests and their causes, tokens read again and the busiest server, with intervals.\n" +
			"docs/operate/experiments.md explains the file and the figures. Exit codes: 0: simulated; 1: the file is invalid.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output, outputText, outputJSON); err != nil {
				return err
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return runError{err}
			}
			spec, err := engines.Parse(args[0], text)
			if err != nil {
				return runError{err}
			}
			if err := applyOverrides(spec, seeds, policies); err != nil {
				return err
			}
			if len(routers) == 0 {
				routers = []int{spec.Routers}
			}
			return simulateSizes(cmd, spec, routers, output)
		},
	}
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	cmd.Flags().IntVar(&seeds, "seeds", 0, "number of seeds, in place of the file's")
	cmd.Flags().StringSliceVar(&policies, "policies", nil, "names of policies, in place of the file's")
	cmd.Flags().IntSliceVar(&routers, "routers", nil, "numbers of routers to simulate; servers and requests grow with them")
	return cmd
}

// applyOverrides replaces the seeds and the policies of spec by those of the command line, if given, and checks the result.
func applyOverrides(spec *engines.Spec, seeds int, policies []string) error {
	if seeds > 0 {
		spec.Seeds = seeds
	}
	if len(policies) > 0 {
		spec.Policies = policies
	}
	if err := spec.Check(); err != nil {
		return fmt.Errorf("the command line: %w", err)
	}
	return nil
}

// simulateSizes simulates the fleet with each number of routers and writes one report on all of them.
func simulateSizes(cmd *cobra.Command, spec *engines.Spec, routers []int, output string) error {
	var reports []engines.Report
	for _, n := range routers {
		if n < spec.Zones || n > maxExperimentRouters {
			return fmt.Errorf("--routers: %d: write numbers from %d to %d", n, spec.Zones, maxExperimentRouters)
		}
		scaled := spec.Scaled(n)
		outcomes, err := engines.Run(cmd.Context(), scaled, runtime.GOMAXPROCS(0))
		if err != nil {
			return runError{err}
		}
		reports = append(reports, engines.Report{Routers: n, Servers: scaled.Servers, Seeds: scaled.Seeds, Outcomes: outcomes})
	}
	if output == outputJSON {
		return engines.WriteJSON(cmd.OutOrStdout(), reports)
	}
	return engines.WriteText(cmd.OutOrStdout(), reports)
}
