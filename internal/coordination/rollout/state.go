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
	TakingBack
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
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Release string `json:"release"` // as its agent reported last
	Ready   bool   `json:"ready"`
	Order   uint64 `json:"order,omitempty"` // the one that is open; 0: none
	To      string `json:"to,omitempty"`    // what that one wants
	Alone   string `json:"alone,omitempty"` // why it is left alone; "": it is not
	Control int    `json:"control"`         // the last stage for which it was restarted, counted from 1
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
	Done           uint64         `json:"done,omitempty"`   // the number of the last order that was carried out, well or not
	Failed         string         `json:"failed,omitempty"` // why that one failed; the sidecar runs what Release says
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
	Stage int       `json:"stage"` // counted from 1; one of another stage is late
	Worse bool      `json:"worse,omitempty"`
	Old   bool      `json:"old,omitempty"`  // it is the old ones that do worse than before the change
	Fine  bool      `json:"fine,omitempty"` // no worse; neither: not enough evidence
	Why   string    `json:"why"`
	Tally []Counted `json:"tally,omitempty"` // what it was reached by, now and then
}

// State is a change so far.
type State struct {
	Plan     Plan
	Phase    Phase
	Why      string        // of the pause or the stop
	Stage    int           // counted from 1
	Settled  time.Duration // of the plan's Before
	Watched  time.Duration
	Waited   time.Duration // for sidecars of this stage that are not ready, since one last came or went
	Fine     bool          // the judge says so of this stage
	Evidence string        // the judge's last word on it
	stages   [][]string
	sidecars map[string]*Sidecar
	names    []string // in the order of stages
	number   uint64
}

// New begins a change of sidecars that all run its From, or says why not.
func New(p Plan, members []Member, now []Report) (*State, error) {
	stages, err := p.resolve(members)
	if err != nil {
		return nil, err
	}
	s := &State{Plan: p, Stage: 1, stages: stages, sidecars: map[string]*Sidecar{}}
	for _, all := range stages {
		for _, name := range all {
			s.sidecars[name] = &Sidecar{Name: name}
			s.names = append(s.names, name)
		}
	}
	for _, m := range members {
		s.sidecars[m.Name].Zone = m.Zone
	}
	for _, r := range now {
		if c := s.sidecars[r.Sidecar]; c != nil {
			c.Release, c.Ready = r.Release, r.Ready
			s.number = max(s.number, r.Done) // agents refuse numbers that they know
		}
	}
	for _, name := range s.names {
		if c := s.sidecars[name]; c.Release != p.From {
			return nil, fmt.Errorf("%s runs %q, and the change is from %s: bring it there first, or leave it out", name, c.Release, p.From)
		}
	}
	return s, nil
}

// Apply takes in what happened, and gives the orders that are new.
func (s *State) Apply(e Event) []Order {
	switch {
	case e.Report != nil:
		s.report(*e.Report)
	case e.Verdict != nil:
		if v := e.Verdict; s.Phase == Running && v.Stage == s.Stage {
			switch s.Fine, s.Evidence = v.Fine, v.Why; {
			case v.Worse:
				s.stop(v.Why)
			case v.Old: // the release may take what they need, or something else happens
				s.Phase, s.Why = Paused, v.Why
			}
		}
	case e.Pause != "" && s.Phase == Running:
		s.Phase, s.Why = Paused, e.Pause
	case e.Resume && s.Phase == Paused:
		s.Phase, s.Why, s.Watched, s.Waited = Running, "", 0, 0
		s.Fine = s.Fine || e.Accept && s.changed()
	case e.Abort != "" && (s.Phase == Running || s.Phase == Paused):
		s.stop(e.Abort)
	case e.Elapsed > 0 && s.Phase == Running && s.Settled < s.Plan.Before:
		s.Settled += e.Elapsed
	case e.Elapsed > 0 && s.Phase == Running && s.changed():
		s.Watched += e.Elapsed
	case e.Elapsed > 0 && s.Phase == Running:
		if s.Waited += e.Elapsed; s.Waited >= s.Plan.Patience {
			s.Phase, s.Why = Paused, fmt.Sprintf("stage %d: nothing came of it in %v: %s", s.Stage, s.Waited, s.missing())
		}
	}
	return s.next()
}

// stop ends a change: what was changed goes back, unless it is to be held.
func (s *State) stop(why string) {
	s.Phase, s.Why = TakingBack, why
	if s.Plan.Hold {
		s.Phase = Stopped
	}
}

func (s *State) report(r Report) {
	c := s.sidecars[r.Sidecar]
	if c == nil {
		return
	}
	was := c.Release
	if c.Release, c.Ready = r.Release, r.Ready; r.Release != was {
		s.Waited = 0
	}
	goes := s.Phase == Running || s.Phase == Paused
	if c.Order == 0 && goes && was == s.Plan.To && r.Release != was {
		if r.FallbackReason == MachineIsolated {
			s.Phase, s.Why = Paused, fmt.Sprintf("%s is back at %s: %s", c.Name, r.Release, r.FallbackReason)
		} else {
			s.stop(fmt.Sprintf("%s went back to %s without an order: %s", c.Name, r.Release, r.FallbackReason))
		}
	}
	if c.Order == 0 || r.Done != c.Order {
		return
	}
	to := c.To
	s.Waited = 0
	c.Order, c.To = 0, ""
	switch {
	case r.Failed == "" && r.Release == to:
	case goes && to == s.Plan.To:
		s.stop(fmt.Sprintf("%s: %s", c.Name, r.Failed))
		if c.Release != s.Plan.From { // it is neither here nor there
			c.Alone = r.Failed
		}
	case to == s.Plan.To && c.Release == s.Plan.From: // ordered before the stop: it is where it is to be
	case goes: // a control that does not come back is no fault of the release
		s.Phase, s.Why = Paused, fmt.Sprintf("%s, restarted as it was: %s", c.Name, r.Failed)
		c.Alone = r.Failed
	case c.Release != s.Plan.From || r.Failed != "":
		c.Alone = fmt.Sprintf("order %d: %s", r.Done, r.Failed)
	}
}

// changed reports whether all of the stage are changed, and its control is restarted.
func (s *State) changed() bool {
	for _, name := range s.stages[s.Stage-1] {
		if c := s.sidecars[name]; c.Alone == "" && (c.Release != s.Plan.To || c.Order != 0 || !c.Ready) {
			return false
		}
	}
	for _, c := range s.controls() {
		if c.Alone == "" && (c.Order != 0 || c.Control != s.Stage || !c.Ready) {
			return false
		}
	}
	return true
}

// missing names those that a stage waits for.
func (s *State) missing() string {
	var all []string
	for _, name := range s.names {
		if c := s.sidecars[name]; c.Order != 0 || c.Alone == "" && !c.Ready {
			all = append(all, name)
		}
	}
	return strings.Join(all, ", ")
}

// controls are the sidecars that are restarted beside a stage: of later ones, the last first, for they are old the longest; those of the
// stage's own zones before others, for zones are not alike.
func (s *State) controls() (all []*Sidecar) {
	var later []string
	for _, stage := range s.stages[s.Stage:] {
		later = append(later, stage...)
	}
	wanted := s.Plan.Stages[s.Stage-1].Control
	take := func(zone string, any bool) {
		for _, name := range slices.Backward(later) {
			if c := s.sidecars[name]; len(all) < wanted && (any || c.Zone == zone) && !slices.Contains(all, c) {
				if all = append(all, c); !any {
					return
				}
			}
		}
	}
	for before := -1; len(all) > before && len(all) < wanted; { // one for each of the stage, in turn
		before = len(all)
		for _, name := range s.stages[s.Stage-1] {
			take(s.sidecars[name].Zone, false)
		}
	}
	take("", true)
	return all
}

// next decides what follows, and gives the orders that are new.
func (s *State) next() (orders []Order) {
	if s.Phase == Running && s.Settled < s.Plan.Before {
		return nil
	}
	for s.Phase == Running && s.changed() {
		last := s.Stage == len(s.stages)
		least := s.Plan.Stages[s.Stage-1].Least
		if !s.Fine && s.Watched >= s.Plan.Patience {
			s.Phase, s.Why = Paused, fmt.Sprintf("stage %d: not enough evidence after %v", s.Stage, s.Watched)
		}
		if !s.Fine || s.Watched < least {
			break
		}
		if last {
			s.Phase = Done
			return nil
		}
		s.Stage, s.Watched, s.Waited, s.Fine, s.Evidence = s.Stage+1, 0, 0, false, ""
	}
	switch s.Phase {
	case Running:
		for _, name := range s.stages[s.Stage-1] {
			if c := s.sidecars[name]; c.Release != s.Plan.To {
				orders = s.order(orders, c, s.Plan.To)
			}
		}
		for _, c := range s.controls() {
			if c.Control != s.Stage {
				before := len(orders)
				if orders = s.order(orders, c, s.Plan.From); len(orders) > before {
					c.Control = s.Stage
				}
			}
		}
	case TakingBack:
		open := false
		for _, name := range slices.Backward(s.names) {
			c := s.sidecars[name]
			if c.Alone == "" && c.Release != s.Plan.From {
				orders = s.order(orders, c, s.Plan.From)
			}
			open = open || c.Order != 0 || c.Alone == "" && c.Release != s.Plan.From
		}
		if !open {
			s.Phase = Stopped
		}
	}
	return orders
}

// order orders a sidecar to change, if the plan's limits allow one more now.
func (s *State) order(orders []Order, c *Sidecar, to string) []Order {
	if c.Alone != "" || c.Order != 0 {
		return orders
	}
	changing, out := s.Limits(c.Name)
	mends := s.Phase == TakingBack && !c.Ready // it is out of service as it is
	if len(changing) >= s.Plan.AtOnce || len(out)+1 > s.Plan.Unavailable && !mends {
		return orders
	}
	s.number++
	c.Order, c.To = s.number, to
	return append(orders, Order{s.number, c.Name, to})
}

// Limits are what the plan's limits count when one sidecar is to change: those that do, and the others that are out of service.
func (s *State) Limits(but string) (changing, out []string) {
	for _, name := range s.names {
		o := s.sidecars[name]
		if o.Order != 0 {
			changing = append(changing, name)
		}
		if name != but && (o.Order != 0 || !o.Ready) {
			out = append(out, name)
		}
	}
	return changing, out
}

// Confirmed is the release that agents may take for confirmed, now that a change is over; "": none.
func (s *State) Confirmed() string {
	switch {
	case s.Phase == Done:
		return s.Plan.To
	case s.Phase == Stopped && !s.Plan.Hold:
		return s.Plan.From
	}
	return ""
}

// Orders are those that are open: a driver that takes over says them once more.
func (s *State) Orders() (all []Order) {
	for _, name := range s.names {
		if c := s.sidecars[name]; c.Order != 0 {
			all = append(all, Order{c.Order, name, c.To})
		}
	}
	slices.SortFunc(all, func(a, b Order) int { return int(a.Number) - int(b.Number) })
	return all
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

// Waits is what a change that runs waits for, for people.
func (s *State) Waits() string {
	least := s.Plan.Stages[s.Stage-1].Least
	switch {
	case s.Settled < s.Plan.Before:
		return fmt.Sprintf("what is before: %v of %v", s.Settled.Round(time.Second), s.Plan.Before)
	case !s.changed():
		return "sidecars: " + s.missing()
	case !s.Fine:
		return fmt.Sprintf("evidence, for %v of %v: %s", s.Watched.Round(time.Second), s.Plan.Patience, s.Evidence)
	}
	return fmt.Sprintf("its time: %v of %v", s.Watched.Round(time.Second), least)
}

// Groups are the sidecars whose counts the judge compares in this stage: those that are changed, and their control.
func (s *State) Groups() (changed, control []string) {
	for _, name := range s.stages[s.Stage-1] {
		changed = append(changed, name)
	}
	for _, c := range s.controls() {
		control = append(control, c.Name)
	}
	return changed, control
}

// Fence is what an agent keeps of the drivers that it heard: orders of an older one are refused, and an order is carried out once.
type Fence struct {
	Token uint64            `json:"token"`
	Last  map[string]uint64 `json:"last"` // the number of the last order, of each sidecar
}

// Hear takes in a driver's token, and refuses that of an older one.
func (f *Fence) Hear(token uint64) error {
	if token < f.Token {
		return fmt.Errorf("the driver with token %d: one with %d was heard", token, f.Token)
	}
	f.Token = token
	return nil
}

// Equal reports whether two fences refuse alike.
func (f Fence) Equal(o Fence) bool { return f.Token == o.Token && maps.Equal(f.Last, o.Last) }

// Admit says why an order is refused; known: it has been carried out, or is about to be.
func (f *Fence) Admit(token uint64, o Order) (known bool, err error) {
	if err := f.Hear(token); err != nil {
		return false, fmt.Errorf("order %d of %w", o.Number, err)
	}
	if f.Last == nil {
		f.Last = map[string]uint64{}
	}
	if last := f.Last[o.Sidecar]; o.Number <= last {
		if o.Number < last {
			return false, fmt.Errorf("order %d: order %d came after it", o.Number, last)
		}
		return true, nil
	}
	f.Last[o.Sidecar] = o.Number
	return false, nil
}
