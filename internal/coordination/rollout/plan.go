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

// Select says which sidecars a stage takes of those that are left; one of its fields.
type Select struct {
	Names []string
	Zone  string
	Count int
	Share float64 // of all members, rounded up
}

// Stage is one step of a plan.
type Stage struct {
	Select  Select
	Control int           // how many old ones are restarted beside; of those that later stages take
	Least   time.Duration // how long it is watched at least
}

// Plan is a change from one release to another.
type Plan struct {
	Application string
	From, To    string // releases
	Stages      []Stage
	Before      time.Duration // for which all are watched before anything moves
	AtOnce      int           // how many sidecars change at the same time
	Unavailable int           // how many may be out of service, those that change counted
	Patience    time.Duration // how long a stage waits for evidence; then the change pauses
	Hold        bool          // a stop leaves what was changed
	Judge       Judgement
}

// Judgement is what the judge of a change is held to, as package judge has it.
type Judgement struct {
	None                            bool // by the clock alone
	FalseStops, MissedStops, Effect float64
}

// resolve is the members of each stage. It says what does not add up, and with what field.
func (p *Plan) resolve(members []Member) (stages [][]string, err error) {
	switch {
	case p.From == "" || p.To == "":
		return nil, fmt.Errorf("from, to: write both releases")
	case p.From == p.To:
		return nil, fmt.Errorf("to: %s is what is there", p.To)
	case len(p.Stages) == 0:
		return nil, fmt.Errorf("stages: write one at least")
	case p.AtOnce < 1:
		return nil, fmt.Errorf("at_once: %d; write 1 or more", p.AtOnce)
	case p.Unavailable < p.AtOnce:
		return nil, fmt.Errorf("unavailable: %d; write at_once (%d) or more: a sidecar that changes counts", p.Unavailable, p.AtOnce)
	case p.Before < 0:
		return nil, fmt.Errorf("before: %v; write how long all are watched before anything moves", p.Before)
	case p.Patience <= 0:
		return nil, fmt.Errorf("patience: %v; write how long a stage may wait for evidence", p.Patience)
	}
	left := slices.Clone(members)
	for i, s := range p.Stages {
		at := fmt.Sprintf("stages[%d]", i)
		taken, err := s.Select.of(left, len(members))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", at, err)
		}
		left = slices.DeleteFunc(left, func(m Member) bool { return slices.Contains(taken, m.Name) })
		if s.Control < 0 || s.Control > len(left) {
			return nil, fmt.Errorf("%s.control: %d, and %d are left for later stages; write %d at most", at, s.Control, len(left), len(left))
		}
		if s.Least < 0 || s.Least > p.Patience {
			return nil, fmt.Errorf("%s.least: %v; write a time up to patience (%v)", at, s.Least, p.Patience)
		}
		stages = append(stages, taken)
	}
	if len(left) > 0 {
		return nil, fmt.Errorf("stages: %d of %d sidecars are in none, such as %s; let the last take share: 1", len(left), len(members), left[0].Name)
	}
	return stages, nil
}

// of is the members that a stage takes; where it takes a number, zones take turns.
func (s Select) of(left []Member, all int) (taken []string, err error) {
	said := 0
	for _, is := range []bool{len(s.Names) > 0, s.Zone != "", s.Count != 0, s.Share != 0} {
		if is {
			said++
		}
	}
	switch {
	case said != 1:
		return nil, fmt.Errorf("write one of names, zone, count, share")
	case s.Share != 0 && !(s.Share > 0 && s.Share <= 1):
		return nil, fmt.Errorf("share: %v; write one above 0 and up to 1", s.Share)
	case s.Count < 0:
		return nil, fmt.Errorf("count: %d; write 1 or more", s.Count)
	case s.Zone != "":
		for _, m := range left {
			if m.Zone == s.Zone {
				taken = append(taken, m.Name)
			}
		}
	case len(s.Names) > 0:
		for _, name := range s.Names {
			if !slices.ContainsFunc(left, func(m Member) bool { return m.Name == name }) || slices.Contains(taken, name) {
				return nil, fmt.Errorf("names: %s is no sidecar, or is in a stage before", name)
			}
			taken = append(taken, name)
		}
	default:
		n := s.Count
		if s.Share > 0 {
			n = min(len(left), int(float64(all)*s.Share+0.999999))
		}
		if n > len(left) {
			return nil, fmt.Errorf("count: %d, and %d are left", n, len(left))
		}
		taken = turns(left, n)
	}
	if len(taken) == 0 {
		return nil, fmt.Errorf("it takes nobody")
	}
	return taken, nil
}

// turns takes n members, from each zone in turn.
func turns(left []Member, n int) (taken []string) {
	byZone, zones := map[string][]string{}, []string{}
	for _, m := range left {
		if byZone[m.Zone] == nil {
			zones = append(zones, m.Zone)
		}
		byZone[m.Zone] = append(byZone[m.Zone], m.Name)
	}
	slices.Sort(zones)
	for len(taken) < n {
		for _, z := range zones {
			if all := byZone[z]; len(all) > 0 && len(taken) < n {
				taken = append(taken, all[0])
				byZone[z] = all[1:]
			}
		}
	}
	return taken
}

// String is the plan in a line.
func (p *Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s to %s in %d stages", p.Application, p.From, p.To, len(p.Stages))
	return b.String()
}
