// Package report tells people of a change: why it stands where it stands, what each stage was counted to have done, and the same as a
// page and as a table of columns that other tools read. It is pure but for the writers it is given; it decides nothing.
package report

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
)

// Line is one thing to know of a change. Rule is stable, for tools.
type Line struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// The rules.
const (
	Over             = "over"
	Stopped          = "stopped"
	Paused           = "paused"
	RollingBack      = "taking-back"
	BaselineTime     = "time-before"
	Ordered          = "ordered"
	NotReady         = "not-ready"
	LeftAlone        = "left-alone"
	ConcurrencyLimit = "limit-at-once"
	UnavailableLimit = "limit-unavailable"
	Worse            = "worse"
	EvidenceMissing  = "evidence-missing"
	EvidenceNever    = "evidence-never"
	NoTraffic        = "evidence-none"
	MinWatchTime     = "time-least"
	NoJudge          = "no-judge"
	NoControl        = "no-control"
	ResumeWith       = "resume"
)

// Explain says why a change stands where it stands, the most important first.
func Explain(c *rollout.Change) (all []Line) {
	s := c.State
	say := func(rule, format string, args ...any) { all = append(all, Line{rule, fmt.Sprintf(format, args...)}) }
	switch s.Phase {
	case rollout.Done:
		say(Over, "all sidecars run %s", s.Plan.To)
	case rollout.Stopped:
		say(Stopped, "stopped in stage %d: %s", s.Stage, s.Reason)
	case rollout.Paused:
		say(Paused, "paused in stage %d: %s", s.Stage, s.Reason)
	case rollout.RollingBack:
		say(RollingBack, "taken back from stage %d: %s", s.Stage, s.Reason)
	}
	sidecars(s, say)
	if s.Phase == rollout.Running && s.BaselineElapsed < s.Plan.BaselinePeriod {
		say(BaselineTime, "nothing moves until all were watched for %v; so far %v", s.Plan.BaselinePeriod, s.BaselineElapsed.Round(time.Second))
		return all
	}
	if s.Phase == rollout.Running || s.Phase == rollout.Paused || s.Phase == rollout.RollingBack || s.Phase == rollout.Stopped {
		evidence(c, say)
	}
	if s.Phase == rollout.Running && s.JudgedNoWorse && s.StageElapsed < s.Plan.Stages[s.Stage-1].MinWatch {
		say(MinWatchTime, "stage %d is no worse; it is watched for %v, so far %v", s.Stage, s.Plan.Stages[s.Stage-1].MinWatch, s.StageElapsed.Round(time.Second))
	}
	if s.Phase == rollout.Paused {
		say(ResumeWith, "rollout resume %s goes on and waits once more, with --accept it takes the stage for no worse; rollout abort %s takes back what was changed", s.Plan.Application, s.Plan.Application)
	}
	return all
}

// sidecars says what holds up those that are to change now.
func sidecars(s *rollout.State, say func(rule, format string, args ...any)) {
	changing, out := s.Disruptions("")
	waits := 0
	for _, c := range s.Sidecars() {
		to := s.Plan.To
		if s.Phase == rollout.RollingBack {
			to = s.Plan.From
		}
		switch due := s.StageOf(c.Name) <= s.Stage && c.Release != to; {
		case c.AbandonedReason != "":
			say(LeftAlone, "%s is left alone at %s: %s", c.Name, c.Release, c.AbandonedReason)
		case s.Phase.Over():
		case c.OpenOrder != 0:
			say(Ordered, "%s carries out order %d, to %s", c.Name, c.OpenOrder, c.OrderedRelease)
		case !c.Ready:
			say(NotReady, "%s runs %s and is not ready, or its agent is out of reach", c.Name, c.Release)
		case due && s.Phase != rollout.Paused:
			waits++
		}
	}
	if waits == 0 || s.BaselineElapsed < s.Plan.BaselinePeriod {
		return
	}
	if len(changing) >= s.Plan.MaxConcurrent {
		say(ConcurrencyLimit, "%d more of this stage wait: at_once is %d, and %s change", waits, s.Plan.MaxConcurrent, strings.Join(changing, ", "))
	} else if len(out)+1 > s.Plan.MaxUnavailable {
		say(UnavailableLimit, "%d more of this stage wait: unavailable is %d, and out of service are %s", waits, s.Plan.MaxUnavailable, strings.Join(out, ", "))
	}
}

// evidence says what the judge has found of this stage, and what it lacks.
func evidence(c *rollout.Change, say func(rule, format string, args ...any)) {
	s := c.State
	switch {
	case s.Plan.Judge.Disabled:
		say(NoJudge, "the plan has no judge: stages go by least, and by what does not come up")
		return
	case s.Stage == len(s.Plan.Stages) && s.Phase == rollout.Running:
		say(NoControl, "the last stage has nobody to compare with: it ends when its sidecars have lived through their trials")
		return
	}
	n := len(c.Results)
	if n == 0 || c.Results[n-1].Stage != s.Stage {
		if s.Phase == rollout.Running {
			say(NoTraffic, "nothing was counted of stage %d yet at both the new and the control", s.Stage)
		}
		return
	}
	j := s.Plan.Judge
	for _, k := range c.Results[n-1].Cells {
		cell := judge.Cell{Class: k.Class, Zone: k.Zone, Metric: k.Metric}
		new, control := judge.Counts{Hits: k.NewHits, Total: k.NewTotal}, judge.Counts{Hits: k.ControlHits, Total: k.ControlTotal}
		seen := fmt.Sprintf("%v: new %v of %v, control %.6g of %.6g", cell, k.NewHits, k.NewTotal, k.ControlHits, k.ControlTotal)
		switch {
		case k.Verdict == judge.Worse.String():
			say(Worse, "%s: worse, odds %.3g", seen, k.Odds)
		case k.Advisory || k.Verdict == judge.NoWorse.String() || s.Phase == rollout.Stopped || s.Phase == rollout.RollingBack:
		case k.NewTotal == 0 || k.ControlTotal == 0:
			say(NoTraffic, "%s: nothing to compare yet", cell)
		default:
			if more, ok := judge.RequestsNeeded(new, control, j.MissedStopRate, j.MinEffect); ok {
				say(EvidenceMissing, "%s; at most %.4f more, where %v matters: about %.0f more requests of the new at these rates", seen, k.MaxDifference, j.MinEffect, more)
			} else {
				say(EvidenceNever, "%s; at these rates it will not be shown to be within %v", seen, j.MinEffect)
			}
		}
	}
}
