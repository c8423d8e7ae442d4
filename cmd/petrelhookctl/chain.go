package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/chain"
)

// chainOptions are the flags of the chain command besides those of the study.
type chainOptions struct {
	study               *chain.Study
	bin, output, pass   string
	onlyAdded, onlyFail bool
}

func chainCommand() *cobra.Command {
	o := &chainOptions{study: &chain.Study{
		FailDepths: []int{1, 2, 3, 5, 8, 15}, FailFractions: []float64{0.1, 0.5, 1},
		Rates: []float64{250, 2500}, ChainDepths: []int{1, 5, 15},
	}}
	cmd := &cobra.Command{
		Use:   "chain [--added] [--fail]",
		Short: "Measure what sidecars add to a call, and what repeats do over a depth of calls",
		Long: "Starts chains of real sidecars with stand-in applications between them, on loopback, and sends load on\n" +
			"schedule. Latency counts from when a call was due.\n\n" +
			"  --added  p50 and p99 with and without sidecars, where nothing fails; what the sidecars' processes take\n" +
			"  --fail   attempts at the leaf for a call at the top, where a part of the leaf's requests fails\n\n" +
			"Without either, both.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd) },
	}
	o.addFlags(cmd)
	return cmd
}

func (o *chainOptions) addFlags(cmd *cobra.Command) {
	f, s := cmd.Flags(), o.study
	f.StringVar(&o.bin, "bin", "", "`FOLDER` of petrelhook (default: that of this program)")
	f.StringVar(&o.output, "output", outputText, "form of the report: text or json")
	f.BoolVar(&o.onlyAdded, "added", false, "only what sidecars add, and --fail where it is given too")
	f.BoolVar(&o.onlyFail, "fail", false, "only what repeats do, and --added where it is given too")
	f.IntSliceVar(&s.FailDepths, "depths", s.FailDepths, "sidecars in a row, where a part fails")
	f.Float64SliceVar(&s.FailFractions, "parts", s.FailFractions, "parts of the leaf's requests that fail")
	f.Float64SliceVar(&s.Rates, "rates", s.Rates, "calls a second at which one sidecar is measured")
	f.IntSliceVar(&s.ChainDepths, "chains", s.ChainDepths, "sidecars in a row, where nothing fails, at the first of the rates")
	f.Float64Var(&s.Rate, "rate", 80, "calls a second where a part fails")
	f.Float64Var(&s.UnsafeFraction, "unsafe", 0.5, "part of the calls that are unsafe to repeat")
	f.DurationVar(&s.Length, "length", 10*time.Second, "of the load of each run")
	f.DurationVar(&s.LatencyTarget, "aim", 500*time.Millisecond, "time in which an answer earns its full worth")
	f.DurationVar(&s.Deadline, "deadline", 2*time.Second, "time that a call at the top has; what is left is passed on")
	f.DurationVar(&s.Work, "work", 0, "time that the leaf takes for each request")
	f.IntVar(&s.Servers, "servers", 3, "servers a level")
	f.StringVar(&o.pass, "pass", string(chain.PassStatus),
		"what an application says of a call not served: status (the same), marked (a refusal as never run), error (500)")
	f.Uint64Var(&s.Seed, "seed", 1, "of all that is drawn")
}

// run checks the flags, runs the studies and writes the report.
func (o *chainOptions) run(cmd *cobra.Command) error {
	if err := o.prepare(cmd); err != nil {
		return err
	}
	began := time.Now()
	err := o.measure(cmd.Context())
	report := o.study.Report(began)
	if err = errors.Join(err, o.write(cmd.OutOrStdout(), report)); err != nil {
		return runError{err}
	}
	if !report.OK() {
		return errNegativeResult
	}
	return nil
}

// prepare checks the flags and finds the sidecar's program.
func (o *chainOptions) prepare(cmd *cobra.Command) error {
	if err := checkOutput(o.output, outputText, outputJSON); err != nil {
		return err
	}
	if o.bin == "" {
		self, err := os.Executable()
		if err != nil {
			return runError{err}
		}
		o.bin = filepath.Dir(self)
	}
	var err error
	if o.study.Program, err = sidecarProgram(filepath.Join(o.bin, "petrelhook")); err != nil {
		return runError{err}
	}
	o.study.PassMode = chain.PassMode(o.pass)
	if err := o.study.Check(); err != nil {
		return err
	}
	if o.output == outputText {
		o.study.OnStart = func(what string) { fmt.Fprintln(cmd.ErrOrStderr(), what) }
	}
	return nil
}

// measure runs the studies that the flags name; without either flag, both.
func (o *chainOptions) measure(ctx context.Context) error {
	if o.onlyAdded || !o.onlyFail {
		if err := o.study.MeasureAddedLatency(ctx); err != nil {
			return err
		}
	}
	if o.onlyFail || !o.onlyAdded {
		return o.study.MeasureFailures(ctx)
	}
	return nil
}

// write writes the report in the form of --output.
func (o *chainOptions) write(out io.Writer, report *chain.Report) error {
	if o.output == outputJSON {
		return writeJSON(out, report)
	}
	return report.WriteText(out)
}
