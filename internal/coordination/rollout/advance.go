package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// advance performs all transitions that the state allows, and returns the new orders.
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

// advanceStage moves to the next stage, or to Done after the last one, if the stage is complete, judged to be no worse and observed for its
// minimum time. It pauses a change whose stage has not been judged to be no worse within the plan's timeout.
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

// orderChanges issues orders to change the sidecars of the stage and to restart its controls.
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

// orderRollback orders sidecars back to the old release, those of later stages first. The phase becomes Stopped once all are back or
// abandoned.
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

// issueOrder appends an order for a sidecar if the sidecar is not abandoned, has no open order, and the plan's limits allow one more.
func (s *State) issueOrder(orders []Order, sidecar *Sidecar, target string) []Order {
	if sidecar.AbandonedReason != "" || sidecar.OpenOrder != 0 {
		return orders
	}
	changing, unavailable := s.Disruptions(sidecar.Name)
	repairs := s.Phase == RollingBack && !sidecar.Ready // the sidecar is out of service already
	if len(changing) >= s.Plan.MaxConcurrent || len(unavailable)+1 > s.Plan.MaxUnavailable && !repairs {
		return orders
	}
	s.lastOrder++
	sidecar.OpenOrder, sidecar.OrderedRelease = s.lastOrder, target
	return append(orders, Order{s.lastOrder, sidecar.Name, target})
}

// Disruptions returns the sidecars that the plan's limits count before the sidecar named except gets an order: those that have an open
// order, and those other than except that have one or are not ready.
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

// stageComplete reports whether all sidecars of the stage are changed, all its controls are restarted, and all of them are ready, except
// for abandoned ones.
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

// waitedFor returns the names of the sidecars that the stage may be waiting for.
func (s *State) waitedFor() string {
	var names []string
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.OpenOrder != 0 || sidecar.AbandonedReason == "" && !sidecar.Ready {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// controlSidecars returns the sidecars that are restarted as controls of the stage. They belong to later stages, the last stage first,
// because its sidecars keep the old release for the longest. Sidecars in the zones of the stage's own sidecars come first, because zones
// differ.
func (s *State) controlSidecars() (controls []*Sidecar) {
	var later []string
	for _, stage := range s.stages[s.Stage:] {
		later = append(later, stage...)
	}
	wanted := s.Plan.Stages[s.Stage-1].ControlCount
	// pick adds at most a given number of matching sidecars that have not been picked yet.
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
	for before := -1; len(controls) > before && len(controls) < wanted; { // each round picks one control per sidecar of the stage
		before = len(controls)
		for _, name := range s.stages[s.Stage-1] {
			pick(1, func(sidecar *Sidecar) bool { return sidecar.Zone == s.sidecars[name].Zone })
		}
	}
	pick(wanted, func(*Sidecar) bool { return true })
	return controls
}
