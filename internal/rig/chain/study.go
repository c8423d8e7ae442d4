package chain

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Study is a series of runs, one after the other.
type Study struct {
	Config                  // of all runs, but for Depth, FailFraction and Rate
	FailDepths    []int     // of chains whose leaf fails
	FailFractions []float64 // of the leaf's requests
	Rates         []float64 // at which one sidecar is compared with none
	ChainDepths   []int     // of chains in which nothing fails, at the first of the rates
	Runs          []*Result
	OnStart       func(what string) // is called at the start of each run; may be nil
}

// errStopped is the error of a study whose context has ended; its runs until then are complete.
var errStopped = errors.New("stopped early")

// Check returns an error if any of the runs is not valid.
func (s *Study) Check() error {
	if len(s.Rates) == 0 && len(s.ChainDepths) > 0 {
		return errors.New("rates: missing; write one at least")
	}
	for _, depth := range append(slices.Clone(s.FailDepths), s.ChainDepths...) {
		c := s.Config
		if c.Depth = depth; c.Check() != nil {
			return c.Check()
		}
	}
	for _, fraction := range s.FailFractions {
		c := s.Config
		if c.Depth, c.FailFraction = 1, fraction; c.Check() != nil {
			return c.Check()
		}
	}
	for _, rate := range s.Rates {
		c := s.Config
		if c.Depth, c.Rate = 1, rate; c.Check() != nil {
			return c.Check()
		}
	}
	return nil
}

// MeasureAddedLatency measures what sidecars add while nothing fails: one sidecar at each rate, then chains, each compared with the
// path without sidecars.
func (s *Study) MeasureAddedLatency(ctx context.Context) error {
	for _, rate := range s.Rates {
		if err := s.runBothPaths(ctx, 1, rate); err != nil {
			return err
		}
	}
	for _, depth := range s.ChainDepths {
		if depth == 1 && len(s.Rates) > 0 {
			continue // it has been measured
		}
		if err := s.runBothPaths(ctx, depth, s.Rates[0]); err != nil {
			return err
		}
	}
	return nil
}

// runBothPaths runs a chain without sidecars, then with them.
func (s *Study) runBothPaths(ctx context.Context, depth int, rate float64) error {
	for _, program := range []string{"", s.Program} {
		c := s.Config
		c.Program, c.Depth, c.Rate, c.FailFraction = program, depth, rate, 0
		if err := s.run(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// MeasureFailures measures each fraction of failures at the leaf at each depth.
func (s *Study) MeasureFailures(ctx context.Context) error {
	for _, fraction := range s.FailFractions {
		for _, depth := range s.FailDepths {
			c := s.Config
			c.Depth, c.FailFraction = depth, fraction
			if err := s.run(ctx, c); err != nil {
				return err
			}
		}
	}
	return nil
}

// run does one run and adds its result.
func (s *Study) run(ctx context.Context, c Config) error {
	if s.OnStart != nil {
		s.OnStart(fmt.Sprintf("depth %d, %g/s, %g%% fail, sidecars %v, %v",
			c.Depth, c.Rate, 100*c.FailFraction, c.Program != "", c.Length.Round(time.Millisecond)))
	}
	r, err := Run(ctx, c)
	if err == nil {
		s.Runs = append(s.Runs, r)
	}
	if ctx.Err() != nil { // an error then only follows from that
		return errStopped
	}
	return err
}
