package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"petrelhook/internal/coordination/capacity"
	"petrelhook/internal/rig/provenance"
)

// Run does all runs. On an error it returns what was measured until then as well; Findings name the runs that failed or were
// not done.
func Run(ctx context.Context, o Options) (m *capacity.Measured, err error) {
	limit, err := o.prepare()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, release := context.WithTimeoutCause(ctx, o.Timeout, fmt.Errorf("--within: %v are over", o.Timeout))
	defer release()
	s := &series{options: &o, limit: limit, measured: &capacity.Measured{
		At: time.Now().UTC().Truncate(time.Second), Commit: provenance.Revision(), Machine: provenance.Machine(),
		Seed: o.Seed, FitUpTo: slices.Max(o.Sizes)}}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			s.runSize(ctx, w, n)
		}
	}
	s.measured.Findings = append(s.measured.Findings, compareCosts(s.measured.Points)...)
	first := s.firstError
	if first == nil && ctx.Err() != nil {
		first = context.Cause(ctx)
	}
	if s.failed > 1 {
		first = fmt.Errorf("%w (and %d more runs have failed: see what was found)", first, s.failed-1)
	}
	return s.measured, first
}

// prepare checks, before anything is started, that all runs are possible. It returns the limit of descriptors.
func (o *Options) prepare() (limit uint64, err error) {
	if err := o.Check(); err != nil {
		return 0, err
	}
	limit = o.DescriptorLimit
	if limit == 0 {
		if limit, err = descriptorLimit(); err != nil {
			return 0, err
		}
	}
	for _, w := range o.Workloads {
		for _, n := range o.sizes() {
			if _, err := newLayout(w, n, o.realMachinesOf(w), limit); err != nil {
				return 0, err
			}
		}
	}
	for _, name := range o.programs() {
		if info, err := os.Stat(o.program(name)); err != nil || info.IsDir() {
			return 0, fmt.Errorf("--bin: there is no %s; build it (go build -o bin/ ./cmd/...) or write another folder",
				o.program(name))
		}
	}
	return limit, nil
}

// series is all runs of one Run, with their results so far.
type series struct {
	options    *Options
	limit      uint64 // of descriptors
	measured   *capacity.Measured
	firstError error // of the first run that failed; nil: none has
	failed     int
}

// runSize does the runs of a workload at one size, and records their points and findings.
func (s *series) runSize(ctx context.Context, workload string, size int) {
	m := s.measured
	for number := 1; number <= s.options.Runs; number++ {
		what := fmt.Sprintf("%s of %d members, run %d of %d", workload, size, number, s.options.Runs)
		if ctx.Err() != nil {
			m.Findings = append(m.Findings, "not run: "+what)
			continue
		}
		r := &run{options: s.options, workload: workload, size: size, number: number, description: what, limit: s.limit}
		err := r.execute(ctx)
		m.Points = append(m.Points, r.points...)
		var no rejection
		switch {
		case err == nil:
		case errors.As(err, &no): // the next run would be rejected too
			m.Findings = append(m.Findings, fmt.Sprintf("%s of %d members: %v", workload, size, no.error))
			return
		default:
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			if s.failed++; s.firstError == nil {
				s.firstError = fmt.Errorf("%s: %w", what, err)
			}
			m.Findings = append(m.Findings, fmt.Sprintf("failed: %s: %v", what, err))
		}
	}
}

// rejection is an error that the product answers by design, such as a limit of its own: a finding, not a failed run.
type rejection struct{ error }
