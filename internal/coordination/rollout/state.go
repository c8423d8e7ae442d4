package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Phase is what a change does.
type Phase uint8

// The phases.
const (
	Running Phase = iota
	Paused
	RollingBack
	Done    // all are changed
	Stopped // and what was changed is taken back, held, or left alone
)

func (p Phase) String() string {
	return [...]string{"running", "paused", "taking back", "done", "stopped"}[p]
}

// Over reports whether nothing will follow.
func (p Phase) Over() bool { return p == Done || p == Stopped }

// Sidecar is what is known of one.
type Sidecar struct {
	Name            string `json:"name"`
	Zone            string `json:"zone,omitempty"`
	Release         string `json:"release"` // as its agent reported last
	Ready           bool   `json:"ready"`
	OpenOrder       uint64 `json:"order,omitempty"` // the one that is open; 0: none
	OrderedRelease  string `json:"to,omitempty"`    // what that one wants
	AbandonedReason string `json:"alone,omitempty"` // why it is left alone; "": it is not
	ControlStage    int    `json:"control"`         // the last stage for which it was restarted, counted from 1
}

// Order is what an agent is to do: run a release, by a start anew. An agent that has done an order of this number does nothing.
type Order struct {
	Number  uint64 `json:"number"`
	Sidecar string `json:"sidecar"`
	Release string `json:"release"`
}

// Event is what happens. One field says what.
type Event struct {
	Report  *Report       `json:"report,omitempty"`
	Verdict *Verdict      `json:"verdict,omitempty"`
	Elapsed time.Duration `json:"elapsed,omitempty"` // that the driver has watched since it told last
	Pause   string        `json:"pause,omitempty"`   // why
	Resume  bool          `json:"resume,omitempty"`
	Abort   string        `json:"abort,omitempty"`  // why
	Accept  bool          `json:"accept,omitempty"` // an operator takes the stage for no worse; with Resume
}

// Report is what an agent says of one sidecar.
type Report struct {
	Sidecar        string         `json:"sidecar"`
	Release        string         `json:"release"`
	Ready          bool           `json:"ready"`
	CompletedOrder uint64         `json:"done,omitempty"`   // the number of the last order that was carried out, well or not
	FailureReason  string         `json:"failed,omitempty"` // why that one failed; the sidecar runs what Release says
	FallbackReason FallbackReason `json:"fell,omitempty"`   // why it went to what is confirmed without an order, if it did
}

// FallbackReason is why an agent brought a sidecar back to what is confirmed.
type FallbackReason string

// The kinds.
const (
	ProcessEnded    FallbackReason = "it ended"
	MachineIsolated FallbackReason = "its machine was cut off" // which is no fault of a release
)

// Verdict is the judge's, of the stage that is watched.
type Verdict struct {
	Stage         int          `json:"stage"` // counted from 1; one of another stage is late
	Worse         bool         `json:"worse,omitempty"`
	BaselineWorse bool         `json:"old,omitempty"`  // it is the old ones that do worse than before the change
	NoWorse       bool         `json:"fine,omitempty"` // no worse; neither: not enough evidence
	Reason        string       `json:"why"`
	Cells         []CellResult `json:"tally,omitempty"` // what it was reached by, now and then
}

// State is a change so far.
type State struct {
	Plan            Plan
	Phase           Phase
	Reason          string        // of the pause or the stop
	Stage           int           // counted from 1
	BaselineElapsed time.Duration // of the plan's Before
	StageElapsed    time.Duration
	WaitElapsed     time.Duration // for sidecars of this stage that are not ready, since one last came or went
	JudgedNoWorse   bool          // the judge says so of this stage
	LastVerdict     string        // the judge's last word on it
	stages          [][]string
	sidecars        map[string]*Sidecar
	sidecarNames    []string // in the order of stages
	lastOrder       uint64
}

// New begins a change of sidecars that all run its From, or says why not.
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
			s.lastOrder = max(s.lastOrder, r.CompletedOrder) // agents refuse numbers that they know
		}
	}
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.Release != p.From {
			return nil, fmt.Errorf("%s runs %q, and the change is from %s: bring it there first, or leave it out", name, sidecar.Release, p.From)
		}
	}
	return s, nil
}

// Apply takes in what happened, and gives the orders that are new.
func (s *State) Apply(e Event) []Order {
	switch {
	case e.Report != nil:
		s.applyReport(*e.Report)
	case e.Verdict != nil:
		if v := e.Verdict; s.Phase == Running && v.Stage == s.Stage {
			switch s.JudgedNoWorse, s.LastVerdict = v.NoWorse, v.Reason; {
			case v.Worse:
				s.stop(v.Reason)
			case v.BaselineWorse: // the release may take what they need, or something else happens
				s.Phase, s.Reason = Paused, v.Reason
			}
		}
	case e.Pause != "" && s.Phase == Running:
		s.Phase, s.Reason = Paused, e.Pause
	case e.Resume && s.Phase == Paused:
		s.Phase, s.Reason, s.StageElapsed, s.WaitElapsed = Running, "", 0, 0
		s.JudgedNoWorse = s.JudgedNoWorse || e.Accept && s.stageComplete()
	case e.Abort != "" && (s.Phase == Running || s.Phase == Paused):
		s.stop(e.Abort)
	case e.Elapsed > 0 && s.Phase == Running && s.BaselineElapsed < s.Plan.BaselinePeriod:
		s.BaselineElapsed += e.Elapsed
	case e.Elapsed > 0 && s.Phase == Running && s.stageComplete():
		s.StageElapsed += e.Elapsed
	case e.Elapsed > 0 && s.Phase == Running:
		if s.WaitElapsed += e.Elapsed; s.WaitElapsed >= s.Plan.EvidenceTimeout {
			s.Phase, s.Reason = Paused, fmt.Sprintf("stage %d: nothing came of it in %v: %s", s.Stage, s.WaitElapsed, s.waitedFor())
		}
	}
	return s.advance()
}

// stop ends a change: what was changed goes back, unless it is to be held.
func (s *State) stop(why string) {
	s.Phase, s.Reason = RollingBack, why
	if s.Plan.KeepOnStop {
		s.Phase = Stopped
	}
}

func (s *State) applyReport(r Report) {
	sidecar := s.sidecars[r.Sidecar]
	if sidecar == nil {
		return
	}
	before := sidecar.Release
	if sidecar.Release, sidecar.Ready = r.Release, r.Ready; r.Release != before {
		s.WaitElapsed = 0
	}
	inProgress := s.Phase == Running || s.Phase == Paused
	if sidecar.OpenOrder == 0 && inProgress && before == s.Plan.To && r.Release != before {
		if r.FallbackReason == MachineIsolated {
			s.Phase, s.Reason = Paused, fmt.Sprintf("%s is back at %s: %s", sidecar.Name, r.Release, r.FallbackReason)
		} else {
			s.stop(fmt.Sprintf("%s went back to %s without an order: %s", sidecar.Name, r.Release, r.FallbackReason))
		}
	}
	if sidecar.OpenOrder == 0 || r.CompletedOrder != sidecar.OpenOrder {
		return
	}
	target := sidecar.OrderedRelease
	s.WaitElapsed = 0
	sidecar.OpenOrder, sidecar.OrderedRelease = 0, ""
	switch {
	case r.FailureReason == "" && r.Release == target:
	case inProgress && target == s.Plan.To:
		s.stop(fmt.Sprintf("%s: %s", sidecar.Name, r.FailureReason))
		if sidecar.Release != s.Plan.From { // it is neither here nor there
			sidecar.AbandonedReason = r.FailureReason
		}
	case target == s.Plan.To && sidecar.Release == s.Plan.From: // ordered before the stop: it is where it is to be
	case inProgress: // a control that does not come back is no fault of the release
		s.Phase, s.Reason = Paused, fmt.Sprintf("%s, restarted as it was: %s", sidecar.Name, r.FailureReason)
		sidecar.AbandonedReason = r.FailureReason
	case sidecar.Release != s.Plan.From || r.FailureReason != "":
		sidecar.AbandonedReason = fmt.Sprintf("order %d: %s", r.CompletedOrder, r.FailureReason)
	}
}

// stageComplete reports whether all of the stage are changed, and its control is restarted.
func (s *State) stageComplete() bool {
	for _, name := range s.stages[s.Stage-1] {
		if sidecar := s.sidecars[name]; sidecar.AbandonedReason == "" && (sidecar.Release != s.Plan.To || sidecar.OpenOrder != 0 || !sidecar.Ready) {
			return false
		}
	}
	for _, sidecar := range s.controlSidecars() {
		if sidecar.AbandonedReason == "" && (sidecar.OpenOrder != 0 || sidecar.ControlStage != s.Stage || !sidecar.Ready) {
			return false
		}
	}
	return true
}

// waitedFor names those that a stage waits for.
func (s *State) waitedFor() string {
	var names []string
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.OpenOrder != 0 || sidecar.AbandonedReason == "" && !sidecar.Ready {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

// controlSidecars are the sidecars that are restarted beside a stage: of later ones, the last first, for they are old the longest; those of the
// stage's own zones before others, for zones are not alike.
func (s *State) controlSidecars() (controls []*Sidecar) {
	var later []string
	for _, stage := range s.stages[s.Stage:] {
		later = append(later, stage...)
	}
	wanted := s.Plan.Stages[s.Stage-1].ControlCount
	pick := func(zone string, any bool) {
		for _, name := range slices.Backward(later) {
			if sidecar := s.sidecars[name]; len(controls) < wanted && (any || sidecar.Zone == zone) && !slices.Contains(controls, sidecar) {
				if controls = append(controls, sidecar); !any {
					return
				}
			}
		}
	}
	for before := -1; len(controls) > before && len(controls) < wanted; { // one for each of the stage, in turn
		before = len(controls)
		for _, name := range s.stages[s.Stage-1] {
			pick(s.sidecars[name].Zone, false)
		}
	}
	pick("", true)
	return controls
}

// advance decides what follows, and gives the orders that are new.
func (s *State) advance() (orders []Order) {
	if s.Phase == Running && s.BaselineElapsed < s.Plan.BaselinePeriod {
		return nil
	}
	for s.Phase == Running && s.stageComplete() {
		last := s.Stage == len(s.stages)
		minWatch := s.Plan.Stages[s.Stage-1].MinWatch
		if !s.JudgedNoWorse && s.StageElapsed >= s.Plan.EvidenceTimeout {
			s.Phase, s.Reason = Paused, fmt.Sprintf("stage %d: not enough evidence after %v", s.Stage, s.StageElapsed)
		}
		if !s.JudgedNoWorse || s.StageElapsed < minWatch {
			break
		}
		if last {
			s.Phase = Done
			return nil
		}
		s.Stage, s.StageElapsed, s.WaitElapsed, s.JudgedNoWorse, s.LastVerdict = s.Stage+1, 0, 0, false, ""
	}
	switch s.Phase {
	case Running:
		for _, name := range s.stages[s.Stage-1] {
			if sidecar := s.sidecars[name]; sidecar.Release != s.Plan.To {
				orders = s.issueOrder(orders, sidecar, s.Plan.To)
			}
		}
		for _, sidecar := range s.controlSidecars() {
			if sidecar.ControlStage != s.Stage {
				before := len(orders)
				if orders = s.issueOrder(orders, sidecar, s.Plan.From); len(orders) > before {
					sidecar.ControlStage = s.Stage
				}
			}
		}
	case RollingBack:
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
	}
	return orders
}

// issueOrder orders a sidecar to change, if the plan's limits allow one more now.
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

// Disruptions are what the plan's limits count when one sidecar is to change: those that do, and the others that are out of service.
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

// Confirmed is the release that agents may take for confirmed, now that a change is over; "": none.
func (s *State) Confirmed() string {
	switch {
	case s.Phase == Done:
		return s.Plan.To
	case s.Phase == Stopped && !s.Plan.KeepOnStop:
		return s.Plan.From
	}
	return ""
}

// OpenOrders are those that are open: a driver that takes over says them once more.
func (s *State) OpenOrders() (orders []Order) {
	for _, name := range s.sidecarNames {
		if sidecar := s.sidecars[name]; sidecar.OpenOrder != 0 {
			orders = append(orders, Order{sidecar.OpenOrder, name, sidecar.OrderedRelease})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return int(a.Number) - int(b.Number) })
	return orders
}

// Sidecars are what is known of each, by name.
func (s *State) Sidecars() (all []Sidecar) {
	for _, name := range slices.Sorted(maps.Keys(s.sidecars)) {
		all = append(all, *s.sidecars[name])
	}
	return all
}

// StageOf is the stage that changes a sidecar, counted from 1.
func (s *State) StageOf(name string) int {
	return 1 + slices.IndexFunc(s.stages, func(all []string) bool { return slices.Contains(all, name) })
}

// WaitingFor is what a change that runs waits for, for people.
func (s *State) WaitingFor() string {
	minWatch := s.Plan.Stages[s.Stage-1].MinWatch
	switch {
	case s.BaselineElapsed < s.Plan.BaselinePeriod:
		return fmt.Sprintf("what is before: %v of %v", s.BaselineElapsed.Round(time.Second), s.Plan.BaselinePeriod)
	case !s.stageComplete():
		return "sidecars: " + s.waitedFor()
	case !s.JudgedNoWorse:
		return fmt.Sprintf("evidence, for %v of %v: %s", s.StageElapsed.Round(time.Second), s.Plan.EvidenceTimeout, s.LastVerdict)
	}
	return fmt.Sprintf("its time: %v of %v", s.StageElapsed.Round(time.Second), minWatch)
}

// Groups are the sidecars whose counts the judge compares in this stage: those that are changed, and their control.
func (s *State) Groups() (changed, control []string) {
	for _, name := range s.stages[s.Stage-1] {
		changed = append(changed, name)
	}
	for _, sidecar := range s.controlSidecars() {
		control = append(control, sidecar.Name)
	}
	return changed, control
}

// Fence is what an agent keeps of the drivers that it heard: orders of an older one are refused, and an order is carried out once.
type Fence struct {
	Token      uint64            `json:"token"`
	LastOrders map[string]uint64 `json:"last"` // the number of the last order, of each sidecar
}

// ObserveToken takes in a driver's token, and refuses that of an older one.
func (f *Fence) ObserveToken(token uint64) error {
	if token < f.Token {
		return fmt.Errorf("the driver with token %d: one with %d was heard", token, f.Token)
	}
	f.Token = token
	return nil
}

// Equal reports whether two fences refuse alike.
func (f Fence) Equal(other Fence) bool {
	return f.Token == other.Token && maps.Equal(f.LastOrders, other.LastOrders)
}

// Admit says why an order is refused; known: it has been carried out, or is about to be.
func (f *Fence) Admit(token uint64, order Order) (known bool, err error) {
	if err := f.ObserveToken(token); err != nil {
		return false, fmt.Errorf("order %d of %w", order.Number, err)
	}
	if f.LastOrders == nil {
		f.LastOrders = map[string]uint64{}
	}
	if last := f.LastOrders[order.Sidecar]; order.Number <= last {
		if order.Number < last {
			return false, fmt.Errorf("order %d: order %d came after it", order.Number, last)
		}
		return true, nil
	}
	f.LastOrders[order.Sidecar] = order.Number
	return false, nil
}
