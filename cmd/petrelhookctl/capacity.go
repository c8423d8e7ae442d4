package main

import (
	"errors"
	"io/fs"
	"os"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/capacity"
)

func capacityCommand() *cobra.Command {
	var assumed, measured, output, page string
	cmd := &cobra.Command{
		Use: "capacity", Args: cobra.NoArgs,
		Short: "Compute what a fleet of a given size needs of each role, and compare it with the budgets",
		Long: "Computes state, messages, processor time and memory of each role from assumptions and the measurements of\n" +
			"a scale run, with a verdict beside each budget. A figure that depends on a run that was not made has the\n" +
			"verdict \"not measured\". With --write the tables replace those between the markers of a page; the rest of the\n" +
			"page stays. Exit codes: 0: computed, whatever the verdicts are; 1: a file is invalid.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output, outputText, outputJSON, outputMarkdown); err != nil {
				return err
			}
			r, warnings, err := capacityReport(assumed, measured)
			if err != nil {
				return runError{err}
			}
			printWarnings(cmd, warnings)
			if page != "" {
				if err := writePage(r, page); err != nil {
					return runError{err}
				}
				return nil
			}
			switch output {
			case outputJSON:
				return writeJSON(cmd.OutOrStdout(), r)
			case outputMarkdown:
				return r.WriteMarkdown(cmd.OutOrStdout())
			}
			return r.WriteText(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&assumed, "assume", "deploy/capacity.yaml", "`FILE` with the fleet's size and the assumptions")
	cmd.Flags().StringVar(&measured, "measured", "deploy/capacity-measured.json",
		"`FILE` with the measurements of a scale run; it may be missing")
	cmd.Flags().StringVar(&output, "output", outputText, "text, json or markdown")
	cmd.Flags().StringVar(&page, "write", "", "replace the tables in this page, a `FILE`, and print nothing")
	return cmd
}

// capacityReport reads both files and computes the report. The warnings are those about the file of assumptions.
func capacityReport(assumed, measured string) (r *capacity.Report, warnings []string, err error) {
	text, err := os.ReadFile(assumed)
	if err != nil {
		return nil, nil, err
	}
	a, err := capacity.Parse(assumed, text)
	if err != nil {
		return nil, nil, err
	}
	m, err := readMeasured(measured)
	if err != nil {
		return nil, nil, err
	}
	return capacity.NewReport(a, m), a.Warnings, nil
}

// readMeasured reads a file of measurements. It returns nil without an error if the file does not exist, which means that nothing was
// measured.
func readMeasured(path string) (*capacity.Measured, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return capacity.ParseMeasured(path, text)
}

// writePage replaces the tables in an existing page. It leaves the file alone if they are up to date.
func writePage(r *capacity.Report, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := r.Page(path, string(text))
	if err != nil || page == string(text) {
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}
