package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/engines"
)

const maxExperimentRouters = 1000

func experimentCommand() *cobra.Command {
	var output string
	var seeds int
	var policies []string
	var routers []int
	cmd := &cobra.Command{
		Use: "experiment FILE", Args: cobra.ExactArgs(1),
		Short: "Routing policies side by side before model servers, in virtual time",
		Long: "Plays a day of a file under several policies, on the same arrivals and many seeds, and prints worth by class, late\n" +
			"requests and why, tokens read again and the busiest server, with intervals. docs/operate/experiments.md explains\n" +
			"the file and the figures. 0: it was played; 1: the file is bad.",
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
			return playSizes(cmd, spec, routers, output)
		},
	}
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	cmd.Flags().IntVar(&seeds, "seeds", 0, "how many seeds, in place of the file's")
	cmd.Flags().StringSliceVar(&policies, "policies", nil, "policies by name, in place of the file's")
	cmd.Flags().IntSliceVar(&routers, "routers", nil, "numbers of routers to play; servers and requests grow with them")
	return cmd
}

// applyOverrides replaces fields of the file by those of the command line.
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

func playSizes(cmd *cobra.Command, spec *engines.Spec, routers []int, output string) error {
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
