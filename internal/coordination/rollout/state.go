package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Phase is the phase of a change; see the package comment. Its number is stored in snapshots, and its text in the transitions of a change.
type Phase uint8

// The phases.
const (
	Running Phase = iota
	Paused
	RollingBack
	Done
	Stopped
)

func (p Phase) String() string {
	return [...]string{"running", "paused", "taking back", "done", "stopped"}[p]
}

// Over reports whether the phase is final.
func (p Phase) Over() bool { return p == Done || p == Stopped }

// Sidecar is the known state of one sidecar of a change.
type Sidecar struct {
	Name            string `json:"name"`
	Zone            string `json:"zone,omitempty"`
	Release         string `json:"release"` // as its agent reported last
	Ready           bool   `json:"ready"`
	OpenOrder       uint64 `json:"order,omitempty"` // 0: none
	OrderedRelease  string `json:"to,omitempty"`    // the release of the open order
	AbandonedReason string `json:"alone,omitempty"` // why it gets no more orders; "": it may get some
	ControlStage    int    `json:"control"`         // the last stage for which it was restarted as a control, counted from 1; 0: none
}

// State is the state of a change. New returns the initial state, Apply applies events to it.
type State struct {
	Plan            Plan
	Phase           Phase
	Reason          string        // why the change is paused, rolled back or stopped
	Stage           int           // the current stage, counted from 1
	BaselineElapsed time.Duration // how much of Plan.BaselinePeriod has passed
	StageElapsed    time.Duration // how long the stage has been observed while it was complete
	WaitElapsed     time.Duration // how long the stage has waited for sidecars since one of them last changed its release or completed an order
	JudgedNoWorse   bool          // the judge or an operator has found the stage to be no worse
	LastVerdict     string        // the reason of the judge's last verdict on this stage

	stages       [][]string // the names of each stage's sidecars
	sidecars     map[string]*Sidecar
	sidecarNames []string // in the order of the stages
	lastOrder    uint64   // the largest number of an order
}

// New returns the initial state of a change of sidecars that all run the release Plan.From. The error names the field of the plan or the
// sidecar that prevents the change.
func New(p Plan, members []Member, reports []Report) (*State, error) {
	stages, err := p.resolveStages(members)
	if err != nil {
		return nil, err
	}
	s := &State{Plan: p, Stage: 1, stages: stages, sidecars: map[string]*Sidecar{}}
	for _, stage := range stages {
		for _, name := range stage {
			s.sidecars[name] = &Sidecar{Name: name}
			s.sidecarNames = append(s.sidecarNames, name)
		}
	}
	for _, m := range members {
		s.sidecars[m.Name].Zone = m.Zone
	}
	for _, r := range reports {
		if sidecar := s.sidecars[r.Sidecar]; sidecar != nil {
			sidecar.Release, sidecar.Ready = r.Release, r.Ready
			s.lastOrder = max(s.lastOrder, r.CompletedOrder) // agents do not execute orders whose numbers they have seen
		}
	}
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.Release != p.From {
			return nil, fmt.Errorf("%s runs %q, and the change is from %s: bring it there first, or leave it out", name, sidecar.Release, p.From)
		}
	}
	return s, nil
}

// Apply applies an event and returns the new orders that follow. An event that does not fit the state has no effect.
func (s *State) Apply(e Event) []Order {
	switch {
	case e.Report != nil:
		s.applyReport(*e.Report)
	case e.Verdict != nil:
		s.applyVerdict(*e.Verdict)
	case e.Pause != "" && s.Phase == Running:
		s.pause(e.Pause)
	case e.Resume && s.Phase == Paused:
		s.Phase, s.Reason, s.StageElapsed, s.WaitElapsed = Running, "", 0, 0
		s.JudgedNoWorse = s.JudgedNoWorse || e.Accept && s.stageComplete()
	case e.Abort != "" && (s.Phase == Running || s.Phase == Paused):
		s.stop(e.Abort)
	case e.Elapsed > 0 && s.Phase == Running:
		s.applyElapsed(e.Elapsed)
	}
	return s.advance()
}

func (s *State) pause(reason string) { s.Phase, s.Reason = Paused, reason }

// stop ends a change: the changed sidecars are rolled back, unless the plan disables that.
func (s *State) stop(reason string) {
	s.Phase, s.Reason = RollingBack, reason
	if s.Plan.DisableRollback {
		s.Phase = Stopped
	}
}

func (s *State) applyVerdict(v Verdict) {
	if s.Phase != Running || v.Stage != s.Stage {
		return
	}
	s.JudgedNoWorse, s.LastVerdict = v.NoWorse, v.Reason
	switch {
	case v.Worse:
		s.stop(v.Reason)
	case v.BaselineWorse: // the new release may take resources from the old one, or the cause lies outside the change
		s.pause(v.Reason)
	}
}

// applyElapsed adds time to the baseline period, to the observation of a complete stage, or to the wait for the stage's sidecars, and
// pauses the change when that wait reaches the plan's timeout.
func (s *State) applyElapsed(elapsed time.Duration) {
	switch {
	case s.BaselineElapsed < s.Plan.BaselinePeriod:
		s.BaselineElapsed += elapsed
	case s.stageComplete():
		s.StageElapsed += elapsed
	default:
		if s.WaitElapsed += elapsed; s.WaitElapsed >= s.Plan.ProgressTimeout {
			s.pause(fmt.Sprintf("stage %d: nothing came of it in %v: %s", s.Stage, s.WaitElapsed, s.waitedFor()))
		}
	}
}

// applyReport updates a sidecar and closes its order if the report completes it. A changed sidecar that is back at another release without
// an order stops the change, or pauses it if only its machine was isolated.
func (s *State) applyReport(r Report) {
	sidecar := s.sidecars[r.Sidecar]
	if sidecar == nil {
		return
	}
	before := sidecar.Release
	if sidecar.Release, sidecar.Ready = r.Release, r.Ready; r.Release != before {
		s.WaitElapsed = 0
	}
	if sidecar.OpenOrder == 0 && s.inProgress() && before == s.Plan.To && r.Release != before {
		if r.FallbackReason == MachineIsolated {
			s.pause(fmt.Sprintf("%s is back at %s: %s", sidecar.Name, r.Release, r.FallbackReason))
		} else {
			s.stop(fmt.Sprintf("%s went back to %s without an order: %s", sidecar.Name, r.Release, r.FallbackReason))
		}
	}
	if sidecar.OpenOrder != 0 && r.CompletedOrder == sidecar.OpenOrder {
		s.completeOrder(sidecar, r)
	}
}

func (s *State) inProgress() bool { return s.Phase == Running || s.Phase == Paused }

// completeOrder closes a sidecar's open order. A failed order to the new release stops the change; a failed restart of a control pauses it.
func (s *State) completeOrder(sidecar *Sidecar, r Report) {
	target := sidecar.OrderedRelease
	s.WaitElapsed = 0
	sidecar.OpenOrder, sidecar.OrderedRelease = 0, ""
	switch {
	case r.FailureReason == "" && r.Release == target:
	case s.inProgress() && target == s.Plan.To:
		s.stop(fmt.Sprintf("%s: %s", sidecar.Name, r.FailureReason))
		if sidecar.Release != s.Plan.From { // it did not return to the old release
			sidecar.AbandonedReason = r.FailureReason
		}
	case target == s.Plan.To && sidecar.Release == s.Plan.From: // ordered before the stop: the sidecar runs the old release, as the rollback requires
	case s.inProgress(): // a control that fails to restart is no fault of the new release
		s.pause(fmt.Sprintf("%s, restarted as it was: %s", sidecar.Name, r.FailureReason))
		sidecar.AbandonedReason = r.FailureReason
	case sidecar.Release != s.Plan.From || r.FailureReason != "":
		sidecar.AbandonedReason = fmt.Sprintf("order %d: %s", r.CompletedOrder, r.FailureReason)
	}
}

// Confirmed returns the release that agents may confirm because the change is over; "": there is none.
func (s *State) Confirmed() string {
	switch {
	case s.Phase == Done:
		return s.Plan.To
	case s.Phase == Stopped && !s.Plan.DisableRollback:
		return s.Plan.From
	}
	return ""
}

// OpenOrders returns the open orders, sorted by number.
func (s *State) OpenOrders() (orders []Order) {
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.OpenOrder != 0 {
			orders = append(orders, Order{sidecar.OpenOrder, name, sidecar.OrderedRelease})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return int(a.Number) - int(b.Number) })
	return orders
}

// Sidecars returns the state of all sidecars, sorted by name.
func (s *State) Sidecars() (all []Sidecar) {
	for _, name := range slices.Sorted(maps.Keys(s.sidecars)) {
		all = append(all, *s.sidecars[name])
	}
	return all
}

// StageOf returns the stage that changes a sidecar, counted from 1; 0: there is no such sidecar.
func (s *State) StageOf(name string) int {
	return 1 + slices.IndexFunc(s.stages, func(stage []string) bool { return slices.Contains(stage, name) })
}

// WaitingFor describes to operators what a running change waits for.
func (s *State) WaitingFor() string {
	switch {
	case s.BaselineElapsed < s.Plan.BaselinePeriod:
		return fmt.Sprintf("baseline period: %v of %v", s.BaselineElapsed.Round(time.Second), s.Plan.BaselinePeriod)
	case !s.stageComplete():
		return "sidecars: " + s.waitedFor()
	case !s.JudgedNoWorse:
		return fmt.Sprintf("evidence: %v of at most %v: %s", s.StageElapsed.Round(time.Second), s.Plan.ProgressTimeout, s.LastVerdict)
	}
	return fmt.Sprintf("minimum bake time: %v of %v", s.StageElapsed.Round(time.Second), s.Plan.Stages[s.Stage-1].MinBakeTime)
}

// Groups returns the sidecars that the judge compares in the current stage: those that the stage changes, and the control group.
func (s *State) Groups() (changed, control []string) {
	changed = append(changed, s.stages[s.Stage-1]...)
	for _, sidecar := range s.controlSidecars() {
		control = append(control, sidecar.Name)
	}
	return changed, control
}
