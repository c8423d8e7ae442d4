package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// The values of --output.
const (
	outputText     = "text"
	outputJSON     = "json"
	outputMarkdown = "markdown"
)

// checkOutput returns an error if a value of --output is none of the subcommand's formats.
func checkOutput(value string, formats ...string) error {
	if slices.Contains(formats, value) {
		return nil
	}
	last := len(formats) - 1
	return fmt.Errorf("--output: %q: write %s or %s", value, strings.Join(formats[:last], ", "), formats[last])
}

// printWarnings prints a file's warnings, one per line: parts that are valid but should be written differently.
func printWarnings(cmd *cobra.Command, warnings []string) {
	for _, warning := range warnings {
		fmt.Fprintln(cmd.ErrOrStderr(), "petrelhookctl: warning:", warning)
	}
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeResult writes a result in the format of --output: v as JSON, or a table that the function text fills.
func writeResult(cmd *cobra.Command, output string, v any, text func(w *tabwriter.Writer)) error {
	if output == outputJSON {
		return writeJSON(cmd.OutOrStdout(), v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}
