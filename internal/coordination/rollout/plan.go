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

// Selector selects the sidecars that a stage changes from those that no earlier stage changes. Exactly one of its fields is set.
type Selector struct {
	Names []string `json:"Names"`
	Zone  string   `json:"Zone"`
	Count int      `json:"Count"`
	Share float64  `json:"Share"` // fraction of all members, rounded up
}

// Stage is one step of a plan.
type Stage struct {
	Selector     Selector      `json:"Select"`
	ControlCount int           `json:"Control"` // how many sidecars of later stages are restarted with the old release as the control group
	MinBakeTime  time.Duration `json:"Least"`   // the minimum time for which a complete stage is observed
}

// Plan describes a change from one release to another. Its JSON keys are part of the coordinators' log.
type Plan struct {
	Application     string        `json:"Application"`
	From            string        `json:"From"` // the release that all sidecars run at the start
	To              string        `json:"To"`   // the release that they run when the change is done
	Stages          []Stage       `json:"Stages"`
	BaselinePeriod  time.Duration `json:"Before"`      // how long all sidecars are observed before the first one is changed
	MaxConcurrent   int           `json:"AtOnce"`      // how many sidecars may change at the same time
	MaxUnavailable  int           `json:"Unavailable"` // how many may be out of service, including those that change
	ProgressTimeout time.Duration `json:"Patience"`    // how long a stage waits for evidence or for sidecars before the change pauses
	DisableRollback bool          `json:"Hold"`        // after a stop or an abort the changed sidecars keep the new release
	Judge           JudgeConfig   `json:"Judge"`
}

// JudgeConfig sets the error rates that the judge of a change guarantees; see package judge.
type JudgeConfig struct {
	Disabled       bool    `json:"None"`        // stages advance by time and readiness alone
	FalseStopRate  float64 `json:"FalseStops"`  // the probability that a release that is no worse is judged to be worse
	MissedStopRate float64 `json:"MissedStops"` // the probability that a release that is worse by MinEffect is judged to be no worse
	MinEffect      float64 `json:"Effect"`      // the smallest difference of a rate that matters
}

// String returns a one-line description of the plan. The text is part of Summary.Plan and must not change.
func (p *Plan) String() string {
	return fmt.Sprintf("%s: %s to %s in %d stages", p.Application, p.From, p.To, len(p.Stages))
}

// Errors of Plan.check.
var (
	errReleases = errors.New("from, to: write both releases")
	errNoStages = errors.New("stages: write one at least")
)

// check validates a plan without the members. The error names the field of the plan file.
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
