package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Member is a sidecar that a plan may change.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Agent string `json:"agent,omitempty"` // the address of its agent
}

// Selector says which of the remaining sidecars a stage changes. Exactly one of its fields is set.
type Selector struct {
	Names []string `json:"Names"`
	Zone  string   `json:"Zone"`
	Count int      `json:"Count"`
	Share float64  `json:"Share"` // of all members, rounded up
}

// Stage is one step of a plan.
type Stage struct {
	Selector     Selector      `json:"Select"`
	ControlCount int           `json:"Control"` // how many sidecars of later stages are restarted with the old release, to compare with
	MinBakeTime  time.Duration `json:"Least"`   // how long the stage is watched at least
}

// Plan is a change from one release to another. Its keys in JSON are part of the coordinators' log.
type Plan struct {
	Application     string        `json:"Application"`
	From            string        `json:"From"` // the release that all sidecars run
	To              string        `json:"To"`   // the release that they are to run
	Stages          []Stage       `json:"Stages"`
	BaselinePeriod  time.Duration `json:"Before"`      // how long all are watched before anything is changed
	MaxConcurrent   int           `json:"AtOnce"`      // how many sidecars may change at the same time
	MaxUnavailable  int           `json:"Unavailable"` // how many may be out of service, including those that change
	ProgressTimeout time.Duration `json:"Patience"`    // how long a stage waits for evidence or for sidecars; then the change pauses
	DisableRollback bool          `json:"Hold"`        // a stop or an abort does not roll back
	Judge           JudgeConfig   `json:"Judge"`
}

// JudgeConfig is what the judge of a change has to guarantee; see package judge.
type JudgeConfig struct {
	Disabled       bool    `json:"None"`        // stages go by time and readiness alone
	FalseStopRate  float64 `json:"FalseStops"`  // the probability that a change that is no worse is stopped
	MissedStopRate float64 `json:"MissedStops"` // the probability that one that is worse by MinEffect is said to be no worse
	MinEffect      float64 `json:"Effect"`      // the smallest difference of a rate that matters
}

// String describes the plan in a line.
func (p *Plan) String() string {
	return fmt.Sprintf("%s: %s to %s in %d stages", p.Application, p.From, p.To, len(p.Stages))
}

// Errors of a plan that lacks something.
var (
	errReleases = errors.New("from, to: write both releases")
	errNoStages = errors.New("stages: write one at least")
)

// check finds what is wrong with a plan by itself, with the field.
func (p *Plan) check() error {
	switch {
	case p.From == "" || p.To == "":
		return errReleases
	case p.From == p.To:
		return fmt.Errorf("to: %s is what is there", p.To)
	case len(p.Stages) == 0:
		return errNoStages
	case p.MaxConcurrent < 1:
		return fmt.Errorf("max_concurrent: %d; write 1 or more", p.MaxConcurrent)
	case p.MaxUnavailable < p.MaxConcurrent:
		return fmt.Errorf("max_unavailable: %d; write max_concurrent (%d) or more: a sidecar that changes counts", p.MaxUnavailable, p.MaxConcurrent)
	case p.BaselinePeriod < 0:
		return fmt.Errorf("baseline_period: %v; write how long all are watched before anything is changed", p.BaselinePeriod)
	case p.ProgressTimeout <= 0:
		return fmt.Errorf("progress_timeout: %v; write how long a stage may wait for evidence", p.ProgressTimeout)
	}
	return nil
}
