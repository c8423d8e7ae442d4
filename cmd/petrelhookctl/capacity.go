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
		Short: "What a fleet of a stated size needs of each role, beside what each has",
		Long: "Computes state, messages, processor time and memory of each role from assumptions and the measurements of\n" +
			"a scale run, with a verdict beside each budget. What needs a run that was not made has the verdict not\n" +
			"measured. With --write the tables replace those between the markers of a page; the rest of it stays.\n" +
			"0: it was computed, whatever the verdicts are; 1: a file is bad.",
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
	cmd.Flags().StringVar(&assumed, "assume", "deploy/capacity.yaml", "the size and the assumptions, a `FILE`")
	cmd.Flags().StringVar(&measured, "measured", "deploy/capacity-measured.json",
		"what a scale run has left, a `FILE`; it may be missing")
	cmd.Flags().StringVar(&output, "output", outputText, "text, json or markdown")
	cmd.Flags().StringVar(&page, "write", "", "put the tables into a page, a `FILE`, and print nothing")
	return cmd
}

// capacityReport reads both files. The warnings are those of the file of assumptions.
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

// readMeasured reads a file of measurements; nil: there is no such file, and nothing was measured.
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

// writePage replaces the tables in a page that exists.
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
