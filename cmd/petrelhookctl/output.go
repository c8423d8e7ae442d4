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

// The forms of --output.
const (
	outputText     = "text"
	outputJSON     = "json"
	outputMarkdown = "markdown"
)

// checkOutput refuses a value of --output that is none of a subcommand's forms.
func checkOutput(value string, forms ...string) error {
	if slices.Contains(forms, value) {
		return nil
	}
	last := len(forms) - 1
	return fmt.Errorf("--output: %q: write %s or %s", value, strings.Join(forms[:last], ", "), forms[last])
}

// printWarnings prints what is valid in a file and should be written otherwise, a line each.
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

// writeResult writes a result in the form of --output: JSON, or a table that the function text fills.
func writeResult(cmd *cobra.Command, output string, v any, text func(w *tabwriter.Writer)) error {
	if output == outputJSON {
		return writeJSON(cmd.OutOrStdout(), v)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}
