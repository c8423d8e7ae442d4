// Package report presents a rolling change to operators: the reasons for its state, the counts of each stage, and both as an HTML page
// and as a Parquet file for other tools. It only reads the change, and its only I/O is with the writers that it is given.
package report

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
)

// Line is one reason for the state of a change. Tools may rely on Rule, which does not change between versions; Text is for people.
type Line struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// The values of Line.Rule; docs/operate/rollout.md lists them.
const (
	Over             = "over"
	Stopped          = "stopped"
	Paused           = "paused"
	RollingBack      = "taking-back"
	BaselineTime     = "time-before"
	Ordered          = "ordered"
	NotReady         = "not-ready"
	Abandoned        = "left-alone"
	ConcurrencyLimit = "limit-at-once"
	UnavailableLimit = "limit-unavailable"
	Worse            = "worse"
	EvidenceMissing  = "evidence-missing"
	EvidenceNever    = "evidence-never"
	NoTraffic        = "evidence-none"
	MinBakeTime      = "time-least"
	NoJudge          = "no-judge"
	NoControl        = "no-control"
	ResumeWith       = "resume"
)

// lines collects the reasons for the state of a change.
type lines []Line

func (l *lines) add(rule, format string, args ...any) {
	*l = append(*l, Line{rule, fmt.Sprintf(format, args...)})
}

// Explain returns the reasons why a change is in its state, the most important first.
func Explain(c *rollout.Change) []Line {
	s := c.State
	var l lines
	switch s.Phase {
	case rollout.Done:
		l.add(Over, "all sidecars run %s", s.Plan.To)
	case rollout.Stopped:
		l.add(Stopped, "stopped in stage %d: %s", s.Stage, s.Reason)
	case rollout.Paused:
		l.add(Paused, "paused in stage %d: %s", s.Stage, s.Reason)
	case rollout.RollingBack:
		l.add(RollingBack, "rolling back from stage %d: %s", s.Stage, s.Reason)
	}
	l.addSidecars(s)
	if s.Phase == rollout.Running && s.BaselineElapsed < s.Plan.BaselinePeriod {
		l.add(BaselineTime, "no sidecar is changed until all were observed for %v; so far %v", s.Plan.BaselinePeriod, s.BaselineElapsed.Round(time.Second))
		return l
	}
	if s.Phase != rollout.Done {
		l.addEvidence(c)
	}
	if minBakeTime := s.Plan.Stages[s.Stage-1].MinBakeTime; s.Phase == rollout.Running && s.JudgedNoWorse && s.StageElapsed < minBakeTime {
		l.add(MinBakeTime, "stage %d is no worse; it is observed for at least %v, so far %v", s.Stage, minBakeTime, s.StageElapsed.Round(time.Second))
	}
	if s.Phase == rollout.Paused {
		l.add(ResumeWith, "rollout resume %s continues and waits again, with --accept it accepts the stage as no worse; "+
			"rollout abort %s rolls back what was changed", s.Plan.Application, s.Plan.Application)
	}
	return l
}

// addSidecars adds the reasons why sidecars have not changed yet: a sidecar was abandoned, has an open order or is not ready, or the
// stage's remaining sidecars wait because a limit of the plan is reached.
func (l *lines) addSidecars(s *rollout.State) {
	waiting := 0
	for _, c := range s.Sidecars() {
		target := s.Plan.To
		if s.Phase == rollout.RollingBack {
			target = s.Plan.From
		}
		toChange := s.StageOf(c.Name) <= s.Stage && c.Release != target
		switch {
		case c.AbandonedReason != "":
			l.add(Abandoned, "%s was abandoned at %s: %s", c.Name, c.Release, c.AbandonedReason)
		case s.Phase.Over():
		case c.OpenOrder != 0:
			l.add(Ordered, "%s carries out order %d, to %s", c.Name, c.OpenOrder, c.OrderedRelease)
		case !c.Ready:
			l.add(NotReady, "%s runs %s and is not ready, or its agent is unreachable", c.Name, c.Release)
		case toChange && s.Phase != rollout.Paused:
			waiting++
		}
	}
	if waiting == 0 || s.BaselineElapsed < s.Plan.BaselinePeriod {
		return
	}
	changing, unavailable := s.Disruptions("")
	if len(changing) >= s.Plan.MaxConcurrent {
		l.add(ConcurrencyLimit, "%d more sidecars wait: max_concurrent is %d, and these are changing: %s", waiting, s.Plan.MaxConcurrent, strings.Join(changing, ", "))
	} else if len(unavailable)+1 > s.Plan.MaxUnavailable {
		l.add(UnavailableLimit, "%d more sidecars wait: max_unavailable is %d, and these are out of service: %s", waiting, s.Plan.MaxUnavailable,
			strings.Join(unavailable, ", "))
	}
}

// addEvidence adds the judge's findings about the stage and the evidence that is missing.
func (l *lines) addEvidence(c *rollout.Change) {
	s := c.State
	switch {
	case s.Plan.Judge.Disabled:
		l.add(NoJudge, "the plan has no judge: stages advance by min_bake_time and readiness alone")
		return
	case s.Stage == len(s.Plan.Stages) && s.Phase == rollout.Running:
		l.add(NoControl, "the last stage has no control group: it ends when its sidecars have passed their trials")
		return
	}
	n := len(c.Results)
	if n == 0 || c.Results[n-1].Stage != s.Stage {
		if s.Phase == rollout.Running {
			l.add(NoTraffic, "stage %d: nothing was counted yet at both the new sidecars and the control group", s.Stage)
		}
		return
	}
	for _, cell := range c.Results[n-1].Cells {
		l.addCell(s, cell)
	}
}

// addCell adds a line for a cell that is worse or that lacks evidence. It adds nothing for a cell that is judged to be no worse or
// for an advisory cell that is not worse. Once the change is stopped or rolling back, it does not add missing evidence.
func (l *lines) addCell(s *rollout.State, r rollout.CellResult) {
	cell := judge.Cell{Class: r.Class, Zone: r.Zone, Metric: r.Metric}
	counted := fmt.Sprintf("%v: new %v of %v, control %.6g of %.6g", cell, r.NewHits, r.NewTotal, r.ControlHits, r.ControlTotal)
	config := s.Plan.Judge
	switch {
	case r.Verdict == judge.Worse.String():
		l.add(Worse, "%s: worse, odds %.3g", counted, r.Odds)
	case r.Advisory || r.Verdict == judge.NoWorse.String() || s.Phase == rollout.Stopped || s.Phase == rollout.RollingBack:
	case r.NewTotal == 0 || r.ControlTotal == 0:
		l.add(NoTraffic, "%s: nothing to compare yet", cell)
	default:
		newCounts, control := judge.Counts{Hits: r.NewHits, Total: r.NewTotal}, judge.Counts{Hits: r.ControlHits, Total: r.ControlTotal}
		if more, ok := judge.RequestsNeeded(newCounts, control, config.MissedStopRate, config.MinEffect); ok {
			l.add(EvidenceMissing, "%s; the rate is larger by at most %.4f, and %v matters: about %.0f more requests to the new release are needed at these rates", counted,
				r.MaxDifference, config.MinEffect, more)
		} else {
			l.add(EvidenceNever, "%s; at these rates the difference will not be shown to be below %v", counted, config.MinEffect)
		}
	}
}
