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

// chainOptions holds the flags of the chain command, and the study that they configure.
type chainOptions struct {
	study             *chain.Study
	bin, output, pass string
	added, fail       bool // the studies to run; if neither is set, both
}

func chainCommand() *cobra.Command {
	o := &chainOptions{study: &chain.Study{
		FailDepths: []int{1, 2, 3, 5, 8, 15}, FailFractions: []float64{0.1, 0.5, 1},
		Rates: []float64{250, 2500}, ChainDepths: []int{1, 5, 15},
	}}
	cmd := &cobra.Command{
		Use:   "chain [--added] [--fail]",
		Short: "Measure what sidecars add to a call, and how retries multiply over a chain of calls",
		Long: "Starts chains of real sidecars with stand-in applications between them, on loopback, and sends load on\n" +
			"schedule. Latency is measured from the time at which a call was scheduled.\n\n" +
			"  --added  p50 and p99 with and without sidecars, without failures; resource usage of the sidecars' processes\n" +
			"  --fail   attempts at the leaf per call at the top, if a fraction of the leaf's requests fails\n\n" +
			"Without either flag, both are measured.",
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
	f.BoolVar(&o.added, "added", false, "measure only the added latency, or with --fail both")
	f.BoolVar(&o.fail, "fail", false, "measure only the retries, or with --added both")
	f.IntSliceVar(&s.FailDepths, "depths", s.FailDepths, "depths of the chains with failures, in sidecars")
	f.Float64SliceVar(&s.FailFractions, "parts", s.FailFractions, "fractions of the leaf's requests that fail")
	f.Float64SliceVar(&s.Rates, "rates", s.Rates, "calls per second at which one sidecar is measured")
	f.IntSliceVar(&s.ChainDepths, "chains", s.ChainDepths, "depths of the chains without failures, in sidecars, at the first of the rates")
	f.Float64Var(&s.Rate, "rate", 80, "calls per second in chains with failures")
	f.Float64Var(&s.UnsafeFraction, "unsafe", 0.5, "fraction of the calls that are not idempotent")
	f.DurationVar(&s.Length, "length", 10*time.Second, "duration of the load of each run")
	f.DurationVar(&s.LatencyTarget, "aim", 500*time.Millisecond, "latency target up to which an answer has its full value")
	f.DurationVar(&s.Deadline, "deadline", 2*time.Second, "deadline of a call at the top; the remaining time is passed on down the chain")
	f.DurationVar(&s.Work, "work", 0, "service time of the leaf")
	f.IntVar(&s.Servers, "servers", 3, "servers per level")
	f.StringVar(&o.pass, "pass", string(chain.PassStatus),
		"an application's answer to a call that was not served: status (the same status), marked (a rejection marked as not executed), error (500)")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of all random draws")
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

// measure runs the studies that the flags name, or both if neither flag is set.
func (o *chainOptions) measure(ctx context.Context) error {
	if o.added || !o.fail {
		if err := o.study.MeasureAddedLatency(ctx); err != nil {
			return err
		}
	}
	if o.fail || !o.added {
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
