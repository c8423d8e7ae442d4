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
	Over       = "over"
	Stopped    = "stopped"
	Pause      = "paused"
	Back       = "taking-back"
	Before     = "time-before"
	Ordered    = "ordered"
	NotReady   = "not-ready"
	Alone      = "left-alone"
	AtOnce     = "limit-at-once"
	OutOf      = "limit-unavailable"
	Worse      = "worse"
	Evidence   = "evidence-missing"
	Never      = "evidence-never"
	NoTraffic  = "evidence-none"
	Least      = "time-least"
	NoJudge    = "no-judge"
	NoControl  = "no-control"
	ResumeWith = "resume"
)

// Explain says why a change stands where it stands, the most important first.
func Explain(c *rollout.Change) (all []Line) {
	s := c.State
	say := func(rule, format string, args ...any) { all = append(all, Line{rule, fmt.Sprintf(format, args...)}) }
	switch s.Phase {
	case rollout.Done:
		say(Over, "all sidecars run %s", s.Plan.To)
	case rollout.Stopped:
		say(Stopped, "stopped in stage %d: %s", s.Stage, s.Why)
	case rollout.Paused:
		say(Pause, "paused in stage %d: %s", s.Stage, s.Why)
	case rollout.TakingBack:
		say(Back, "taken back from stage %d: %s", s.Stage, s.Why)
	}
	sidecars(s, say)
	if s.Phase == rollout.Running && s.Settled < s.Plan.Before {
		say(Before, "nothing moves until all were watched for %v; so far %v", s.Plan.Before, s.Settled.Round(time.Second))
		return all
	}
	if s.Phase == rollout.Running || s.Phase == rollout.Paused || s.Phase == rollout.TakingBack || s.Phase == rollout.Stopped {
		evidence(c, say)
	}
	if s.Phase == rollout.Running && s.Fine && s.Watched < s.Plan.Stages[s.Stage-1].Least {
		say(Least, "stage %d is no worse; it is watched for %v, so far %v", s.Stage, s.Plan.Stages[s.Stage-1].Least, s.Watched.Round(time.Second))
	}
	if s.Phase == rollout.Paused {
		say(ResumeWith, "rollout resume %s goes on and waits once more, with --accept it takes the stage for no worse; rollout abort %s takes back what was changed", s.Plan.Application, s.Plan.Application)
	}
	return all
}

// sidecars says what holds up those that are to change now.
func sidecars(s *rollout.State, say func(rule, format string, args ...any)) {
	changing, out := s.Limits("")
	waits := 0
	for _, c := range s.Sidecars() {
		to := s.Plan.To
		if s.Phase == rollout.TakingBack {
			to = s.Plan.From
		}
		switch due := s.StageOf(c.Name) <= s.Stage && c.Release != to; {
		case c.Alone != "":
			say(Alone, "%s is left alone at %s: %s", c.Name, c.Release, c.Alone)
		case s.Phase.Over():
		case c.Order != 0:
			say(Ordered, "%s carries out order %d, to %s", c.Name, c.Order, c.To)
		case !c.Ready:
			say(NotReady, "%s runs %s and is not ready, or its agent is out of reach", c.Name, c.Release)
		case due && s.Phase != rollout.Paused:
			waits++
		}
	}
	if waits == 0 || s.Settled < s.Plan.Before {
		return
	}
	if len(changing) >= s.Plan.AtOnce {
		say(AtOnce, "%d more of this stage wait: at_once is %d, and %s change", waits, s.Plan.AtOnce, strings.Join(changing, ", "))
	} else if len(out)+1 > s.Plan.Unavailable {
		say(OutOf, "%d more of this stage wait: unavailable is %d, and out of service are %s", waits, s.Plan.Unavailable, strings.Join(out, ", "))
	}
}

// evidence says what the judge has found of this stage, and what it lacks.
func evidence(c *rollout.Change, say func(rule, format string, args ...any)) {
	s := c.State
	switch {
	case s.Plan.Judge.None:
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
		new, control := judge.Counts{Hit: k.New, Of: k.NewOf}, judge.Counts{Hit: k.Control, Of: k.ControlOf}
		seen := fmt.Sprintf("%v: new %v of %v, control %.6g of %.6g", cell, k.New, k.NewOf, k.Control, k.ControlOf)
		switch {
		case k.Verdict == judge.Worse.String():
			say(Worse, "%s: worse, odds %.3g", seen, k.Odds)
		case k.Part || k.Verdict == judge.NoWorse.String() || s.Phase == rollout.Stopped || s.Phase == rollout.TakingBack:
		case k.NewOf == 0 || k.ControlOf == 0:
			say(NoTraffic, "%s: nothing to compare yet", cell)
		default:
			if more, ok := judge.Needs(new, control, j.MissedStops, j.Effect); ok {
				say(Evidence, "%s; at most %.4f more, where %v matters: about %.0f more requests of the new at these rates", seen, k.Most, j.Effect, more)
			} else {
				say(Never, "%s; at these rates it will not be shown to be within %v", seen, j.Effect)
			}
		}
	}
}
