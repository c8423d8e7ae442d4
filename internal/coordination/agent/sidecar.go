package agent

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rollout"
)

// Phase is what goes on.
type Phase uint8

// The phases.
const (
	Idle Phase = iota
	Starting
	Trial
	Ending
)

func (p Phase) String() string { return [...]string{"idle", "starting", "trial", "ending"}[p] }

// Process is one that runs. A number is used again by the system; with the time of its start it is one process's.
type Process struct {
	PID          int    `json:"pid"`
	Began        uint64 `json:"began"` // as the system says it
	Release      string `json:"release"`
	AdminAddress string `json:"door,omitempty"`  // where it hears operators
	Start        uint64 `json:"start,omitempty"` // which of the sidecar's starts made it; 0: an agent that did not say
}

// Limits are how long things may take.
type Limits struct {
	Ready   time.Duration // from the start to the first yes
	Trial   time.Duration // for which a new process has to live beside the one before
	Version time.Duration // as Trial, of a process with a new version of its configuration; 0: as Trial
	End     time.Duration // from TERM to KILL
	CutOff  time.Duration // without the fleet, until what is not confirmed goes back
	Pause   time.Duration // after the first crash; it doubles
	Most    time.Duration // the longest such pause
}

// PersistedState is what survives the agent: it is written before what it says is done.
type PersistedState struct {
	Confirmed      string                 `json:"confirmed"` // the release that a change may go back to
	Serving        *Process               `json:"now,omitempty"`
	Next           *Process               `json:"next,omitempty"`
	Terminating    *Process               `json:"doomed,omitempty"` // of a change that failed: killed; nothing is started until it is gone
	Target         string                 `json:"to,omitempty"`     // Starting: the release that is wanted
	Order          uint64                 `json:"order,omitempty"`  // of the change that goes on, 0: its own
	Phase          Phase                  `json:"phase"`
	Done           uint64                 `json:"done,omitempty"` // the last order that is over
	Failed         string                 `json:"failed,omitempty"`
	Starts         uint64                 `json:"starts,omitempty"` // how many were asked for; the last one may have been made unseen
	FallbackReason rollout.FallbackReason `json:"fell,omitempty"`   // why it went back to what is confirmed without an order, until the next order
	Configured
}

// Action is something to be done.
type Action struct {
	Start   string              // a release
	Version distribute.Revision // of the configuration, that the start begins with or the process is told; 0: none
	Term    *Process
	Kill    *Process
	Reload  *Process // its file is replaced by one with the version, and it is asked to read it
	Check   *Check
}

// Sidecar is the machine. Kept is saved whenever it has changed, before anything is done.
type Sidecar struct {
	PersistedState
	limits  Limits
	ready   bool // the one that serves said yes last
	yes     bool // the next one did
	due     time.Duration
	crashes int
	cutOff  time.Duration // since when; below 0: it is not
	asked   bool          // a start was asked for, and nothing was heard of it yet
	lost    bool          // what is confirmed is not to be had
	news
}

// New is a sidecar that nothing was ever done for.
func New(confirmed string, l Limits) *Sidecar {
	return &Sidecar{PersistedState: PersistedState{Confirmed: confirmed}, limits: l, cutOff: -1}
}

// Restore is a sidecar as an agent before had kept it, with which of its processes still live. A start that was asked for may have
// been made: an unknown process that the place of the hand-over knows is found as found.
func Restore(k PersistedState, l Limits, now time.Duration, lives func(Process) bool, found *Process) (s *Sidecar, todo []Action) {
	s = &Sidecar{PersistedState: k, limits: l, cutOff: -1}
	if found != nil && s.Terminating != nil && found.PID == s.Terminating.PID && found.Began == s.Terminating.Began {
		found = nil // it is known
	}
	switch {
	case s.Phase == Starting && s.Next == nil && found != nil:
		s.Next = found
	case s.Phase == Idle && s.Serving == nil && found != nil:
		s.Serving = found
	}
	s.due = now + s.limits.Ready
	switch s.Phase {
	case Trial:
		s.due = now + s.trial() // it is watched anew, as a whole
	case Ending:
		s.due = now
	}
	for _, p := range []*Process{s.Serving, s.Next, s.Terminating} {
		if p != nil && !lives(*p) {
			todo = append(todo, s.Died(now, *p, "")...)
		}
	}
	if s.Terminating != nil {
		todo = append(todo, Action{Kill: s.Terminating})
	}
	if s.Phase == Starting && s.Next == nil { // it was never begun, and what was found is claimed: it never will be
		todo = append(todo, s.start(s.Target)...)
	}
	return s, append(todo, s.Tick(now)...)
}

// Change is an order to run a release, by a start anew.
func (s *Sidecar) Change(now time.Duration, order uint64, release string) ([]Action, error) {
	switch {
	case order != 0 && (order == s.Order || order <= s.Done):
		return nil, nil // it goes on, or is over
	case s.Phase != Idle:
		s.held = now + s.limits.Ready // it is said again
		return nil, s.occupied(order)
	case s.Terminating != nil:
		return nil, fmt.Errorf("order %d: process %d of the change before is not gone yet", order, s.Terminating.PID)
	}
	return s.change(now, order, release), nil
}

func (s *Sidecar) change(now time.Duration, order uint64, release string) []Action {
	s.Order, s.Failed = order, ""
	s.drop()
	if order != 0 {
		s.FallbackReason = ""
	}
	return s.begin(now, release)
}

// begin begins a change: of an order, its own, or of the version that is on its way.
func (s *Sidecar) begin(now time.Duration, release string) []Action {
	s.Target, s.Phase = release, Starting
	s.due, s.yes = now+s.limits.Ready, false
	return s.start(release)
}

// start asks for a start, which is counted: an agent that begins again can tell whether it was made.
func (s *Sidecar) start(release string) []Action {
	s.Starts++
	s.asked = true
	return []Action{{Start: release, Version: s.version()}}
}

// Confirm says that a change is over for the fleet: what runs is what to go back to.
func (s *Sidecar) Confirm(release string) {
	if s.Serving != nil && s.Serving.Release == release || s.lost {
		s.Confirmed, s.lost = release, false // one that is not to be had either is lost again
	}
}

// Lost tells that what is confirmed is not to be had on this machine any more: it was away for long. The fleet's word counts then.
func (s *Sidecar) Lost(release string) {
	s.lost = s.Phase == Idle && s.Serving == nil && release == s.Confirmed
}

// Began tells of a process that was started.
func (s *Sidecar) Began(now time.Duration, p Process) []Action {
	s.asked, s.lost = false, false
	switch {
	case s.Phase == Starting && s.Next == nil && p.Release == s.Target:
		s.Next = &p
	case s.Phase == Idle && s.Serving == nil:
		s.Serving, s.ready, s.due = &p, false, now+s.limits.Ready
		s.another()
	default: // nobody waits for it any more
		return []Action{{Kill: &p}}
	}
	return nil
}

// NotBegun tells that a start did not work.
func (s *Sidecar) NotBegun(now time.Duration, why string) []Action {
	s.asked = false
	if s.Phase == Starting && s.Next == nil {
		return s.fail(now, why, false)
	}
	s.crash(now)
	return nil
}

// trial is for how long the next process is on trial.
func (s *Sidecar) trial() time.Duration {
	if s.Trying != 0 && s.limits.Version > 0 {
		return s.limits.Version
	}
	return s.limits.Trial
}

// Answered tells what the operators' endpoint of a process said.
func (s *Sidecar) Answered(now time.Duration, p Process, yes bool) []Action {
	switch {
	case s.Serving != nil && *s.Serving == p:
		if s.ready = yes; yes {
			s.crashes = 0
		} else if s.Phase == Ending && s.Trying != 0 && s.yes { // it takes no new connections: all are the next one's
			s.InForce = s.Trying
		}
	case s.Next != nil && *s.Next == p:
		if s.yes = yes; yes && s.Phase == Starting {
			s.Phase, s.due = Trial, now+s.trial()
		}
	}
	return nil
}

// Died tells that a process has ended, of whatever, and what it said last.
func (s *Sidecar) Died(now time.Duration, p Process, said string) []Action {
	switch {
	case s.Terminating != nil && *s.Terminating == p:
		s.Terminating = nil
	case s.Next != nil && *s.Next == p:
		s.Next = nil
		switch s.Phase {
		case Starting:
			return s.fail(now, "it ended before it was ready"+quoted(said), true)
		case Trial:
			return s.fail(now, "it ended in its trial"+quoted(said), true)
		case Ending: // the new one dies as the one before ends: that one is all there is, or nobody
			s.Phase = Idle
			s.over("it ended as the one before was told to", true)
			if s.Serving == nil {
				s.crash(now)
			}
		}
	case s.Serving != nil && *s.Serving == p:
		if s.Serving, s.ready = nil, false; s.Phase == Idle && p.Release != s.Confirmed {
			s.FallbackReason = rollout.ProcessEnded
		}
		s.another()
		switch s.Phase {
		case Idle:
			s.crash(now)
		case Ending:
			s.promote()
		}
	}
	return s.Tick(now)
}

// promote makes the next process the one that serves.
func (s *Sidecar) promote() {
	s.Serving, s.Next, s.ready, s.Phase = s.Next, nil, s.yes, Idle
	s.over("", true)
	s.another()
}

// over ends a change. What came of a version's own is not what came of the last order.
func (s *Sidecar) over(why string, fault bool) {
	if s.Trying != 0 {
		s.Target = ""
		s.tried(why, fault)
		return
	}
	if s.Order != 0 {
		s.Done = s.Order
	}
	s.Failed, s.Order, s.Target = why, 0, ""
}

// fail ends a change that did not work: the one that served goes on. A version that was at no fault is tried again.
func (s *Sidecar) fail(now time.Duration, why string, fault bool) (todo []Action) {
	if s.Next != nil {
		todo = append(todo, Action{Kill: s.Next})
		s.Next, s.Terminating = nil, s.Next
	}
	s.Phase = Idle
	if s.Trying != 0 && !fault {
		s.putOff(now, why)
	}
	s.over(why, fault)
	if s.Serving == nil {
		s.crash(now)
	}
	return append(todo, s.Tick(now)...)
}

// crash begins the pause before the next start.
func (s *Sidecar) crash(now time.Duration) {
	pause := s.limits.Pause << min(s.crashes, 30)
	if pause <= 0 || pause > s.limits.Most {
		pause = s.limits.Most
	}
	s.crashes++
	s.due, s.asked = now+pause, false
}

// Cut tells whether the fleet is out of reach.
func (s *Sidecar) Cut(now time.Duration, cut bool) {
	if !cut {
		s.cutOff = -1
	} else if s.cutOff < 0 {
		s.cutOff = now
	}
}

// Tick gives what is due.
func (s *Sidecar) Tick(now time.Duration) []Action {
	switch s.Phase {
	case Idle:
		if s.Terminating != nil {
			return nil
		}
		if s.Serving == nil && now >= s.due && !s.asked {
			return s.start(s.Confirmed)
		}
		if s.Serving != nil && s.cutOff >= 0 && now-s.cutOff >= s.limits.CutOff && s.Serving.Release != s.Confirmed && s.ready {
			s.FallbackReason = rollout.MachineIsolated
			return s.change(now, 0, s.Confirmed)
		}
		return s.configure(now)
	case Starting:
		if now >= s.due {
			return s.fail(now, fmt.Sprintf("not ready in %v", s.limits.Ready), true)
		}
	case Trial:
		if now < s.due {
			return nil
		}
		if !s.yes {
			return s.fail(now, "it said no at the end of its trial", true)
		}
		if s.Serving == nil {
			s.promote()
			return nil // what follows is for the next tick
		}
		s.Phase, s.due = Ending, now+s.limits.End
		return []Action{{Term: s.Serving}}
	case Ending:
		if now >= s.due && s.Serving != nil {
			s.due = now + s.limits.End
			return []Action{{Kill: s.Serving}}
		}
	}
	return nil
}

// Serves reports whether a process serves, and of which release.
func (s *Sidecar) Serves() (release string, ready bool) {
	switch {
	case s.Serving != nil:
		return s.Serving.Release, s.ready
	case s.Next != nil:
		return s.Next.Release, s.yes
	}
	return "", false
}

func quoted(said string) string {
	if said == "" {
		return ""
	}
	return ": " + said
}
