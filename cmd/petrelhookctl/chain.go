package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/rig/chain"
)

func chainCommand() *cobra.Command {
	s := &chain.Study{
		Depths: []int{1, 2, 3, 5, 8, 15}, Parts: []float64{0.1, 0.5, 1},
		Rates: []float64{250, 2500}, Chains: []int{1, 5, 15},
	}
	var bin, output, pass string
	var added, fail bool
	cmd := &cobra.Command{
		Use:   "chain [--added] [--fail]",
		Short: "Measure what sidecars add to a call, and what repeats do over a depth of calls",
		Long: "Starts chains of real sidecars with stand-in applications between them, on loopback, and sends load on\n" +
			"schedule. Latency counts from when a call was due.\n\n" +
			"  --added  p50 and p99 with and without sidecars, where nothing fails; what the sidecars' processes take\n" +
			"  --fail   attempts at the leaf for a call at the top, where a part of the leaf's requests fails\n\n" +
			"Without either, both.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return fmt.Errorf("--output: %q is neither text nor json", output)
			}
			if bin == "" {
				self, err := os.Executable()
				if err != nil {
					return runError{err}
				}
				bin = filepath.Dir(self)
			}
			var err error
			if s.Program, err = sidecarProgram(filepath.Join(bin, "petrelhook")); err != nil {
				return runError{err}
			}
			s.Pass = chain.Pass(pass)
			if err := s.Check(); err != nil {
				return err
			}
			if output == "text" {
				s.Started = func(what string) { fmt.Fprintln(cmd.ErrOrStderr(), what) }
			}
			began := time.Now()
			if added || !fail {
				err = s.Added(cmd.Context())
			}
			if err == nil && (fail || !added) {
				err = s.Failing(cmd.Context())
			}
			report := s.Report(began)
			if output == "json" {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				err = errors.Join(err, e.Encode(report))
			} else {
				err = errors.Join(err, report.WriteText(cmd.OutOrStdout()))
			}
			if err != nil {
				return runError{err}
			}
			if !report.OK() {
				return errBad
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&bin, "bin", "", "`FOLDER` of petrelhook (default: that of this program)")
	f.StringVar(&output, "output", "text", "form of the report: text or json")
	f.BoolVar(&added, "added", false, "only what sidecars add, and --fail where it is given too")
	f.BoolVar(&fail, "fail", false, "only what repeats do, and --added where it is given too")
	f.IntSliceVar(&s.Depths, "depths", s.Depths, "sidecars in a row, where a part fails")
	f.Float64SliceVar(&s.Parts, "parts", s.Parts, "parts of the leaf's requests that fail")
	f.Float64SliceVar(&s.Rates, "rates", s.Rates, "calls a second at which one sidecar is measured")
	f.IntSliceVar(&s.Chains, "chains", s.Chains, "sidecars in a row, where nothing fails, at the first of the rates")
	f.Float64Var(&s.Rate, "rate", 80, "calls a second where a part fails")
	f.Float64Var(&s.Unsafe, "unsafe", 0.5, "part of the calls that are unsafe to repeat")
	f.DurationVar(&s.Length, "length", 10*time.Second, "of the load of each run")
	f.DurationVar(&s.Aim, "aim", 500*time.Millisecond, "time in which an answer earns its full worth")
	f.DurationVar(&s.Deadline, "deadline", 2*time.Second, "time that a call at the top has; what is left is passed on")
	f.DurationVar(&s.Work, "work", 0, "time that the leaf takes for each request")
	f.IntVar(&s.Servers, "servers", 3, "servers a level")
	f.StringVar(&pass, "pass", string(chain.PassStatus),
		"what an application says of a call not served: status (the same), marked (a refusal as never run), error (500)")
	f.Uint64Var(&s.Seed, "seed", 1, "of all that is drawn")
	return cmd
}
