package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rollout/report"
)

func rolloutExplainCommand() *cobra.Command {
	const short = "Explain the state of the change: limits, evidence and how much more of it is needed, what to do"
	return showChangesCommand("explain", short, true, func(cmd *cobra.Command, a *coordinatorFlags, app *rollout.Application) error {
		lines := report.Explain(app.Current)
		return a.print(cmd, lines, func(w *tabwriter.Writer) { writeReasons(w, lines) })
	})
}

// writeReasons writes the reasons for the state of a change, one per line.
func writeReasons(w io.Writer, lines []report.Line) {
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\n", l.Rule, l.Text)
	}
}

func rolloutReportCommand() *cobra.Command {
	a := &coordinatorFlags{}
	var htmlPath, parquetPath string
	cmd := &cobra.Command{
		Use: "report APPLICATION --html FILE | --parquet FILE", Args: cobra.ExactArgs(1), Short: "Write the counts of each stage of the last change as an HTML page or a Parquet file",
		RunE: func(cmd *cobra.Command, args []string) error {
			if htmlPath == "" && parquetPath == "" {
				return errors.New("write --html FILE, --parquet FILE, or both")
			}
			app, err := a.application(cmd, args[0], true)
			if err != nil {
				return err
			}
			for _, f := range []struct {
				path  string
				write func(io.Writer, *rollout.Change) error
			}{{htmlPath, report.WritePage}, {parquetPath, report.WriteParquet}} {
				if err := writeReportFile(f.path, app.Current, f.write); err != nil {
					return runError{err}
				}
			}
			return nil
		},
	}
	a.add(cmd)
	cmd.Flags().StringVar(&htmlPath, "html", "", "write a self-contained page to `FILE`")
	cmd.Flags().StringVar(&parquetPath, "parquet", "", "write a row for each cell of each stage and each sample of its course to `FILE`")
	return cmd
}

// writeReportFile writes a report of a change to a file. It does nothing if the path is empty.
func writeReportFile(path string, c *rollout.Change, write func(io.Writer, *rollout.Change) error) error {
	if path == "" {
		return nil
	}
	var text bytes.Buffer
	if err := write(&text, c); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), 0o644)
}

// watch shows a change until it is over or paused. On a terminal it redraws the state at each poll; otherwise it writes a line when the
// phase, the stage or the reason has changed. Once it has shown a result, it prints errors of later polls and continues.
func (a *coordinatorFlags) watch(cmd *cobra.Command, application string, every time.Duration) error {
	out, terminal := cmd.ErrOrStderr(), false
	if f, ok := out.(*os.File); ok {
		terminal = isTerminal(f)
	}
	last := ""
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		app, err := a.application(cmd, application, true)
		if err != nil && (last == "" || cmd.Context().Err() != nil) {
			return err
		}
		if err != nil {
			fmt.Fprintln(out, "petrelhookctl:", err)
		} else if finished := showChange(out, terminal, application, app.Current, &last); finished {
			return nil
		}
		select {
		case <-cmd.Context().Done():
			return nil
		case <-tick.C:
		}
	}
}

// showChange shows the state of a change and reports whether the change is over or paused. last points to the line of the previous call, and
// is set to the new one.
func showChange(out io.Writer, terminal bool, application string, c *rollout.Change, last *string) bool {
	s := c.State
	line := fmt.Sprintf("%s: change %s %v, stage %d of %d %s", application, c.Name, s.Phase, s.Stage, len(s.Plan.Stages), s.Reason)
	switch {
	case terminal:
		var text bytes.Buffer
		w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
		writeStatus(w, c)
		writeReasons(w, report.Explain(c))
		_ = w.Flush() // writes to memory cannot fail
		fmt.Fprintf(out, "\033[H\033[2J%s", text.Bytes())
	case line != *last:
		fmt.Fprintln(out, line)
	}
	*last = line
	return s.Phase.Over() || s.Phase == rollout.Paused
}
