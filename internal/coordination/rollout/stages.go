package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// resolveStages returns the names of the sidecars of each stage. The error names the field of the plan that does not fit the members.
func (p *Plan) resolveStages(members []Member) (stages [][]string, err error) {
	if err := p.check(); err != nil {
		return nil, err
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
		if s.MinBakeTime < 0 || s.MinBakeTime > p.ProgressTimeout {
			return nil, fmt.Errorf("%s.min_bake_time: %v; write a time up to progress_timeout (%v)", path, s.MinBakeTime, p.ProgressTimeout)
		}
		stages = append(stages, selected)
	}
	if len(left) > 0 {
		return nil, fmt.Errorf("stages: %d of %d sidecars are in none, such as %s; let the last take share: 1", len(left), len(members), left[0].Name)
	}
	return stages, nil
}

// Errors of a selector.
var (
	errSelectorFields = errors.New("write one of names, zone, count, share")
	errNoneSelected   = errors.New("it takes nobody")
)

// check validates a selector without the members.
func (s Selector) check() error {
	given := 0
	for _, set := range []bool{len(s.Names) > 0, s.Zone != "", s.Count != 0, s.Share != 0} {
		if set {
			given++
		}
	}
	switch {
	case given != 1:
		return errSelectorFields
	case s.Share != 0 && !(s.Share > 0 && s.Share <= 1): // written so that NaN is refused too
		return fmt.Errorf("share: %v; write one above 0 and up to 1", s.Share)
	case s.Count < 0:
		return fmt.Errorf("count: %d; write 1 or more", s.Count)
	}
	return nil
}

// pick returns the names of the members that a stage changes. left holds the members that no earlier stage
// changes; total is the number of all members. A count or a share of members is spread over the zones.
func (s Selector) pick(left []Member, total int) (selected []string, err error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	switch {
	case s.Zone != "":
		for _, m := range left {
			if m.Zone == s.Zone {
				selected = append(selected, m.Name)
			}
		}
	case len(s.Names) > 0:
		selected, err = s.pickNames(left)
	default:
		selected, err = s.pickNumber(left, total)
	}
	if err == nil && len(selected) == 0 {
		err = errNoneSelected
	}
	if err != nil {
		return nil, err
	}
	return selected, nil
}

// pickNames returns the names of the selector. Each must be in left and occur only once.
func (s Selector) pickNames(left []Member) (selected []string, err error) {
	for _, name := range s.Names {
		if !slices.ContainsFunc(left, func(m Member) bool { return m.Name == name }) || slices.Contains(selected, name) {
			return nil, fmt.Errorf("names: %s is no sidecar, or is in a stage before", name)
		}
		selected = append(selected, name)
	}
	return selected, nil
}

// pickNumber returns as many names from left as the selector's count, or as its share of total, rounded up.
func (s Selector) pickNumber(left []Member, total int) ([]string, error) {
	n := s.Count
	if s.Share > 0 {
		// Adding less than 1 keeps a rounding error of the product from adding a member.
		n = min(len(left), int(float64(total)*s.Share+0.999999))
	}
	if n > len(left) {
		return nil, fmt.Errorf("count: %d, and %d are left", n, len(left))
	}
	return pickAcrossZones(left, n), nil
}

// pickAcrossZones returns the names of n members, taken from the zones in turn.
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
