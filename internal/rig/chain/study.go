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
	Config            // what all runs share; each sets Depth, Fail and Rate
	Depths  []int     // of what fails
	Parts   []float64 // that fail
	Rates   []float64 // at which one sidecar is measured beside none
	Chains  []int     // depths of chains in which nothing fails, at the first of the rates
	Runs    []*Result
	Started func(what string) // a run begins; nil: nobody is told
}

// errStopped ends a study whose context has ended.
var errStopped = errors.New("stopped early")

// Check says what is wrong with any of the runs.
func (s *Study) Check() error {
	if len(s.Rates) == 0 && len(s.Chains) > 0 {
		return errors.New("rates: missing; write one at least")
	}
	for _, depth := range append(slices.Clone(s.Depths), s.Chains...) {
		c := s.Config
		if c.Depth = depth; c.Check() != nil {
			return c.Check()
		}
	}
	for _, part := range s.Parts {
		c := s.Config
		if c.Depth, c.Fail = 1, part; c.Check() != nil {
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

// Added measures what sidecars add where nothing fails: one of them at each rate, then chains, each beside the path
// without them.
func (s *Study) Added(ctx context.Context) error {
	for _, rate := range s.Rates {
		if err := s.both(ctx, 1, rate); err != nil {
			return err
		}
	}
	for _, depth := range s.Chains {
		if depth == 1 && len(s.Rates) > 0 {
			continue // it is measured already
		}
		if err := s.both(ctx, depth, s.Rates[0]); err != nil {
			return err
		}
	}
	return nil
}

// both runs a chain without sidecars and with them.
func (s *Study) both(ctx context.Context, depth int, rate float64) error {
	for _, program := range []string{"", s.Program} {
		c := s.Config
		c.Program, c.Depth, c.Rate, c.Fail = program, depth, rate, 0
		if err := s.run(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

// Failing has parts of the leaf's requests fail at each depth.
func (s *Study) Failing(ctx context.Context) error {
	for _, part := range s.Parts {
		for _, depth := range s.Depths {
			c := s.Config
			c.Depth, c.Fail = depth, part
			if err := s.run(ctx, c); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Study) run(ctx context.Context, c Config) error {
	if s.Started != nil {
		s.Started(fmt.Sprintf("depth %d, %g/s, %g%% fail, sidecars %v, %v",
			c.Depth, c.Rate, 100*c.Fail, c.Program != "", c.Length.Round(time.Millisecond)))
	}
	r, err := Run(ctx, c)
	if err == nil {
		s.Runs = append(s.Runs, r)
	}
	if ctx.Err() != nil { // what broke off by it is no news
		return errStopped
	}
	return err
}
