package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// advance takes all steps that the state allows now, and returns the new orders.
func (s *State) advance() (orders []Order) {
	if s.Phase == Running && s.BaselineElapsed < s.Plan.BaselinePeriod {
		return nil
	}
	s.advanceStage()
	switch s.Phase {
	case Running:
		return s.orderChanges()
	case RollingBack:
		return s.orderRollback()
	}
	return nil
}

// advanceStage goes to the next stage, and to Done after the last one, where a stage is complete, judged and watched for long enough. It
// pauses a change whose evidence does not come.
func (s *State) advanceStage() {
	for s.Phase == Running && s.stageComplete() {
		if !s.JudgedNoWorse && s.StageElapsed >= s.Plan.ProgressTimeout {
			s.pause(fmt.Sprintf("stage %d: not enough evidence after %v", s.Stage, s.StageElapsed))
		}
		if !s.JudgedNoWorse || s.StageElapsed < s.Plan.Stages[s.Stage-1].MinBakeTime {
			return
		}
		if s.Stage == len(s.stages) {
			s.Phase = Done
			return
		}
		s.Stage, s.StageElapsed, s.WaitElapsed, s.JudgedNoWorse, s.LastVerdict = s.Stage+1, 0, 0, false, ""
	}
}

// orderChanges orders sidecars of the stage to change and controls to restart.
func (s *State) orderChanges() (orders []Order) {
	for _, name := range s.stages[s.Stage-1] {
		if sidecar := s.sidecars[name]; sidecar.Release != s.Plan.To {
			orders = s.issueOrder(orders, sidecar, s.Plan.To)
		}
	}
	for _, sidecar := range s.controlSidecars() {
		if sidecar.ControlStage == s.Stage {
			continue
		}
		before := len(orders)
		if orders = s.issueOrder(orders, sidecar, s.Plan.From); len(orders) > before {
			sidecar.ControlStage = s.Stage
		}
	}
	return orders
}

// orderRollback orders sidecars back to the old release, the last changed first. The change is stopped once none is left.
func (s *State) orderRollback() (orders []Order) {
	open := false
	for _, name := range slices.Backward(s.sidecarNames) {
		sidecar := s.sidecars[name]
		if sidecar.AbandonedReason == "" && sidecar.Release != s.Plan.From {
			orders = s.issueOrder(orders, sidecar, s.Plan.From)
		}
		open = open || sidecar.OpenOrder != 0 || sidecar.AbandonedReason == "" && sidecar.Release != s.Plan.From
	}
	if !open {
		s.Phase = Stopped
	}
	return orders
}

// issueOrder appends an order for a sidecar, if it has none open and the plan's limits allow one more.
func (s *State) issueOrder(orders []Order, sidecar *Sidecar, target string) []Order {
	if sidecar.AbandonedReason != "" || sidecar.OpenOrder != 0 {
		return orders
	}
	changing, unavailable := s.Disruptions(sidecar.Name)
	repairs := s.Phase == RollingBack && !sidecar.Ready // it is out of service as it is
	if len(changing) >= s.Plan.MaxConcurrent || len(unavailable)+1 > s.Plan.MaxUnavailable && !repairs {
		return orders
	}
	s.lastOrder++
	sidecar.OpenOrder, sidecar.OrderedRelease = s.lastOrder, target
	return append(orders, Order{s.lastOrder, sidecar.Name, target})
}

// Disruptions returns what the plan's limits count when a sidecar is to change: those that change, and those that change or are not ready
// except that one.
func (s *State) Disruptions(except string) (changing, unavailable []string) {
	for _, name := range s.sidecarNames {
		sidecar := s.sidecars[name]
		if sidecar.OpenOrder != 0 {
			changing = append(changing, name)
		}
		if name != except && (sidecar.OpenOrder != 0 || !sidecar.Ready) {
			unavailable = append(unavailable, name)
		}
	}
	return changing, unavailable
}

// stageComplete reports whether all sidecars of the stage are changed and all its controls are restarted, but for abandoned ones.
func (s *State) stageComplete() bool {
	for _, name := range s.stages[s.Stage-1] {
		sidecar := s.sidecars[name]
		changed := sidecar.Release == s.Plan.To && sidecar.OpenOrder == 0 && sidecar.Ready
		if sidecar.AbandonedReason == "" && !changed {
			return false
		}
	}
	for _, sidecar := range s.controlSidecars() {
		restarted := sidecar.OpenOrder == 0 && sidecar.ControlStage == s.Stage && sidecar.Ready
		if sidecar.AbandonedReason == "" && !restarted {
			return false
		}
	}
	return true
}

// waitedFor names the sidecars that a stage may wait for.
func (s *State) waitedFor() string {
	var names []string
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.OpenOrder != 0 || sidecar.AbandonedReason == "" && !sidecar.Ready {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// controlSidecars returns the sidecars that are restarted as control of the stage. They are of later stages, the last first, because those
// keep the old release for the longest; and of the zones of the stage's own sidecars before others, because zones are not alike.
func (s *State) controlSidecars() (controls []*Sidecar) {
	var later []string
	for _, stage := range s.stages[s.Stage:] {
		later = append(later, stage...)
	}
	wanted := s.Plan.Stages[s.Stage-1].ControlCount
	// pick adds at most a number of sidecars that are not picked yet, of those that match.
	pick := func(most int, matches func(*Sidecar) bool) {
		for _, name := range slices.Backward(later) {
			if most == 0 || len(controls) >= wanted {
				return
			}
			if sidecar := s.sidecars[name]; matches(sidecar) && !slices.Contains(controls, sidecar) {
				controls = append(controls, sidecar)
				most--
			}
		}
	}
	for before := -1; len(controls) > before && len(controls) < wanted; { // rounds of one for each of the stage's sidecars
		before = len(controls)
		for _, name := range s.stages[s.Stage-1] {
			pick(1, func(sidecar *Sidecar) bool { return sidecar.Zone == s.sidecars[name].Zone })
		}
	}
	pick(wanted, func(*Sidecar) bool { return true })
	return controls
}
