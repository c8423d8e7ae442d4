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
		Short: "What a fleet of a stated size asks of each role, beside what each has",
		Long: "Works out state, messages, processor time and memory of each role from assumptions and what a scale\n" +
			"run has left, with a verdict beside each budget. What rests on a run that there is none of is said to\n" +
			"be not measured. With --write the tables go into a page, between its marks; what else it says stays.\n" +
			"0: it was worked out, whatever the verdicts are; 1: a file is bad.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output, outputText, outputJSON, outputMarkdown); err != nil {
				return err
			}
			r, err := capacityReport(assumed, measured)
			if err != nil {
				return runError{err}
			}
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

// capacityReport reads both files. The file of measurements may be missing: that is the same as one without points.
func capacityReport(assumed, measured string) (*capacity.Report, error) {
	text, err := os.ReadFile(assumed)
	if err != nil {
		return nil, err
	}
	a, err := capacity.Parse(assumed, text)
	if err != nil {
		return nil, err
	}
	var m *capacity.Measured
	text, err = os.ReadFile(measured)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if m, err = capacity.ParseMeasured(measured, text); err != nil {
			return nil, err
		}
	}
	return capacity.NewReport(a, m), nil
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
