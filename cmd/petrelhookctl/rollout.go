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

// checkTimeout bounds the time that a new program takes to check its settings.
const checkTimeout = 10 * time.Second

func rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rollout", Short: "Rolling changes: check one, begin it, watch it, stop it"}
	cmd.AddCommand(rolloutPlanCommand(), rolloutStartCommand(), rolloutStatusCommand(), rolloutHistoryCommand(), rolloutExplainCommand(), rolloutReportCommand())
	cmd.AddCommand(rolloutEventCommands()...)
	return cmd
}

// rolloutPlan is the output of rollout plan. Its JSON is an interface.
type rolloutPlan struct {
	Verdict  string            `json:"verdict"`
	Findings []release.Finding `json:"findings"`
}

func rolloutPlanCommand() *cobra.Command {
	var from, to, program, output string
	cmd := &cobra.Command{
		Use: "plan --from FILE --to FILE", Args: cobra.NoArgs, Short: "Say which fields may differ side by side, which need two steps, and which are refused",
		Long: "Checks both configurations, the new one also by the new program where --program names it, and compares them field by\n" +
			"field. Nothing is changed. 0: all may differ side by side; 1: something needs two steps, or is refused, or is bad.",
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
	cmd.Flags().StringVar(&from, "from", "", "the configuration in use, a `FILE`")
	cmd.Flags().StringVar(&to, "to", "", "the new one, a `FILE`")
	cmd.Flags().StringVar(&program, "program", "", "the new sidecar, a `FILE`: it checks the new configuration")
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

// checkWithProgram has a sidecar's program check a configuration.
func checkWithProgram(ctx context.Context, program, path string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, program, "--check", "--config", path).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s does not take %s: %w: %s", program, path, err, strings.TrimSpace(string(out)))
	}
	return nil
}
