package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Member is a sidecar that a plan may change.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Agent string `json:"agent,omitempty"` // the address of the one that is in charge of it
}

// Selector says which sidecars a stage takes of those that are left; one of its fields.
type Selector struct {
	Names []string `json:"Names"`
	Zone  string   `json:"Zone"`
	Count int      `json:"Count"`
	Share float64  `json:"Share"` // of all members, rounded up
}

// Stage is one step of a plan.
type Stage struct {
	Selector     Selector      `json:"Select"`
	ControlCount int           `json:"Control"` // how many old ones are restarted beside; of those that later stages take
	MinWatch     time.Duration `json:"Least"`   // how long it is watched at least
}

// Plan is a change from one release to another.
type Plan struct {
	Application     string        `json:"Application"`
	From            string        `json:"From"` // the release that all sidecars run
	To              string        `json:"To"`   // the release that they are to run
	Stages          []Stage       `json:"Stages"`
	BaselinePeriod  time.Duration `json:"Before"`      // for which all are watched before anything moves
	MaxConcurrent   int           `json:"AtOnce"`      // how many sidecars change at the same time
	MaxUnavailable  int           `json:"Unavailable"` // how many may be out of service, those that change counted
	EvidenceTimeout time.Duration `json:"Patience"`    // how long a stage waits for evidence; then the change pauses
	KeepOnStop      bool          `json:"Hold"`        // a stop leaves what was changed
	Judge           JudgeConfig   `json:"Judge"`
}

// JudgeConfig is what the judge of a change is held to, as package judge has it.
type JudgeConfig struct {
	Disabled       bool    `json:"None"`        // by the clock alone
	FalseStopRate  float64 `json:"FalseStops"`  // how often a change that is no worse may be stopped
	MissedStopRate float64 `json:"MissedStops"` // how often one that is worse may be missed
	MinEffect      float64 `json:"Effect"`      // the smallest difference of a rate that matters
}

// resolveStages is the members of each stage. It says what does not add up, and with what field.
func (p *Plan) resolveStages(members []Member) (stages [][]string, err error) {
	switch {
	case p.From == "" || p.To == "":
		return nil, fmt.Errorf("from, to: write both releases")
	case p.From == p.To:
		return nil, fmt.Errorf("to: %s is what is there", p.To)
	case len(p.Stages) == 0:
		return nil, fmt.Errorf("stages: write one at least")
	case p.MaxConcurrent < 1:
		return nil, fmt.Errorf("at_once: %d; write 1 or more", p.MaxConcurrent)
	case p.MaxUnavailable < p.MaxConcurrent:
		return nil, fmt.Errorf("unavailable: %d; write at_once (%d) or more: a sidecar that changes counts", p.MaxUnavailable, p.MaxConcurrent)
	case p.BaselinePeriod < 0:
		return nil, fmt.Errorf("before: %v; write how long all are watched before anything moves", p.BaselinePeriod)
	case p.EvidenceTimeout <= 0:
		return nil, fmt.Errorf("patience: %v; write how long a stage may wait for evidence", p.EvidenceTimeout)
	}
	left := slices.Clone(members)
	for i, s := range p.Stages {
		path := fmt.Sprintf("stages[%d]", i)
		selected, err := s.Selector.pick(left, len(members))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		left = slices.DeleteFunc(left, func(m Member) bool { return slices.Contains(selected, m.Name) })
		if s.ControlCount < 0 || s.ControlCount > len(left) {
			return nil, fmt.Errorf("%s.control: %d, and %d are left for later stages; write %d at most", path, s.ControlCount, len(left), len(left))
		}
		if s.MinWatch < 0 || s.MinWatch > p.EvidenceTimeout {
			return nil, fmt.Errorf("%s.least: %v; write a time up to patience (%v)", path, s.MinWatch, p.EvidenceTimeout)
		}
		stages = append(stages, selected)
	}
	if len(left) > 0 {
		return nil, fmt.Errorf("stages: %d of %d sidecars are in none, such as %s; let the last take share: 1", len(left), len(members), left[0].Name)
	}
	return stages, nil
}

// pick is the members that a stage takes; where it takes a number, zones take turns.
func (s Selector) pick(left []Member, total int) (selected []string, err error) {
	given := 0
	for _, set := range []bool{len(s.Names) > 0, s.Zone != "", s.Count != 0, s.Share != 0} {
		if set {
			given++
		}
	}
	switch {
	case given != 1:
		return nil, fmt.Errorf("write one of names, zone, count, share")
	case s.Share != 0 && !(s.Share > 0 && s.Share <= 1):
		return nil, fmt.Errorf("share: %v; write one above 0 and up to 1", s.Share)
	case s.Count < 0:
		return nil, fmt.Errorf("count: %d; write 1 or more", s.Count)
	case s.Zone != "":
		for _, m := range left {
			if m.Zone == s.Zone {
				selected = append(selected, m.Name)
			}
		}
	case len(s.Names) > 0:
		for _, name := range s.Names {
			if !slices.ContainsFunc(left, func(m Member) bool { return m.Name == name }) || slices.Contains(selected, name) {
				return nil, fmt.Errorf("names: %s is no sidecar, or is in a stage before", name)
			}
			selected = append(selected, name)
		}
	default:
		n := s.Count
		if s.Share > 0 {
			n = min(len(left), int(float64(total)*s.Share+0.999999))
		}
		if n > len(left) {
			return nil, fmt.Errorf("count: %d, and %d are left", n, len(left))
		}
		selected = pickAcrossZones(left, n)
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("it takes nobody")
	}
	return selected, nil
}

// pickAcrossZones takes n members, from each zone in turn.
func pickAcrossZones(left []Member, n int) (selected []string) {
	byZone, zones := map[string][]string{}, []string{}
	for _, m := range left {
		if byZone[m.Zone] == nil {
			zones = append(zones, m.Zone)
		}
		byZone[m.Zone] = append(byZone[m.Zone], m.Name)
	}
	slices.Sort(zones)
	for len(selected) < n {
		for _, z := range zones {
			if names := byZone[z]; len(names) > 0 && len(selected) < n {
				selected = append(selected, names[0])
				byZone[z] = names[1:]
			}
		}
	}
	return selected
}

// String is the plan in a line.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s to %s in %d stages", p.Application, p.From, p.To, len(p.Stages))
	return b.String()
}
