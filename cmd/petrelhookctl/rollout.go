package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/release"
	"petrelhook/internal/sidecar/config"
)

// checkTimeout bounds the time in which a new program must have checked its settings.
const checkTimeout = 10 * time.Second

func rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Check, start, watch and stop rolling changes"}
	cmd.AddCommand(rolloutPlanCommand(), rolloutStartCommand(), rolloutStatusCommand(), rolloutHistoryCommand(), rolloutExplainCommand(), rolloutReportCommand())
	cmd.AddCommand(rolloutEventCommands()...)
	return cmd
}

// rolloutPlan is the output of rollout plan. Other programs read its JSON, so its keys must not change.
type rolloutPlan struct {
	Verdict  string            `json:"verdict"`
	Findings []release.Finding `json:"findings"`
}

func rolloutPlanCommand() *cobra.Command {
	var from, to, program, output string
	cmd := &cobra.Command{
		Use: "plan --from FILE --to FILE", Args: cobra.NoArgs, Short: "Compare two configurations: which fields may differ side by side, which need two steps, and which are refused",
		Long: "Checks both configurations, the new one also with the new program if --program names it, and compares them by field. Nothing\n" +
			"is changed. Exit codes: 0: all fields may differ side by side; 1: a field needs two steps or is refused, or a file is invalid.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output, outputText, outputJSON); err != nil {
				return err
			}
			oldText, err := readConfiguration("--from", from)
			if err != nil {
				return err
			}
			newText, err := readConfiguration("--to", to)
			if err != nil {
				return err
			}
			if program != "" {
				if err := checkWithProgram(cmd.Context(), program, to); err != nil {
					return runError{err}
				}
			}
			all, err := release.Compare(oldText, newText)
			if err != nil {
				return runError{err}
			}
			worst := release.Worst(all)
			err = writeResult(cmd, output, rolloutPlan{worst.String(), all}, func(w *tabwriter.Writer) {
				for _, f := range all {
					fmt.Fprintf(w, "%s\t%s -> %s\t%s\t%s\n", f.Field, f.Old, f.New, f.Verdict, f.Reason)
				}
				fmt.Fprintln(w, "the change:", worst)
			})
			if err == nil && worst != release.SideBySide {
				return errNegativeResult
			}
			return err
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "`FILE` of the configuration in use")
	cmd.Flags().StringVar(&to, "to", "", "`FILE` of the new configuration")
	cmd.Flags().StringVar(&program, "program", "", "`FILE` of the new sidecar program, which then checks the new configuration")
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	return cmd
}

// readConfiguration reads and checks the configuration that a flag names.
func readConfiguration(flag, path string) ([]byte, error) {
	if path == "" {
		return nil, fmt.Errorf("%s: missing: a configuration", flag)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, runError{err}
	}
	if _, err := config.Parse(path, text); err != nil {
		return nil, runError{err}
	}
	return text, nil
}

// checkWithProgram runs a sidecar's program to check a configuration.
func checkWithProgram(ctx context.Context, program, path string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, program, "--check", "--config", path).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s does not accept %s: %w: %s", program, path, err, strings.TrimSpace(string(out)))
	}
	return nil
}
