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
	StartTicks   uint64 `json:"began"` // as the system says it
	Release      string `json:"release"`
	AdminAddress string `json:"door,omitempty"`  // where it hears operators
	StartNumber  uint64 `json:"start,omitempty"` // which of the sidecar's starts made it; 0: an agent that did not say
}

// Limits are how long things may take.
type Limits struct {
	ReadyTimeout       time.Duration // from the start to the first yes
	TrialPeriod        time.Duration // for which a new process has to live beside the one before
	VersionTrialPeriod time.Duration // as Trial, of a process with a new version of its configuration; 0: as Trial
	TerminationTimeout time.Duration // from TERM to KILL
	IsolationTimeout   time.Duration // without the fleet, until what is not confirmed goes back
	InitialBackoff     time.Duration // after the first crash; it doubles
	MaxBackoff         time.Duration // the longest such pause
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
	CompletedOrder uint64                 `json:"done,omitempty"` // the last order that is over
	FailureReason  string                 `json:"failed,omitempty"`
	StartCount     uint64                 `json:"starts,omitempty"` // how many were asked for; the last one may have been made unseen
	FallbackReason rollout.FallbackReason `json:"fell,omitempty"`   // why it went back to what is confirmed without an order, until the next order
	ConfigurationState
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
	limits             Limits
	servingReady       bool // the one that serves said yes last
	nextReady          bool // the next one did
	deadline           time.Duration
	consecutiveCrashes int
	isolatedSince      time.Duration // since when; below 0: it is not
	startRequested     bool          // a start was asked for, and nothing was heard of it yet
	confirmedMissing   bool          // what is confirmed is not to be had
	configurationProgress
}

// New is a sidecar that nothing was ever done for.
func New(confirmed string, limits Limits) *Sidecar {
	return &Sidecar{PersistedState: PersistedState{Confirmed: confirmed}, limits: limits, isolatedSince: -1}
}

// Restore is a sidecar as an agent before had kept it, with which of its processes still live. A start that was asked for may have
// been made: an unknown process that the place of the hand-over knows is found as found.
func Restore(state PersistedState, limits Limits, now time.Duration, isAlive func(Process) bool, found *Process) (s *Sidecar, actions []Action) {
	s = &Sidecar{PersistedState: state, limits: limits, isolatedSince: -1}
	if found != nil && s.Terminating != nil && found.PID == s.Terminating.PID && found.StartTicks == s.Terminating.StartTicks {
		found = nil // it is known
	}
	switch {
	case s.Phase == Starting && s.Next == nil && found != nil:
		s.Next = found
	case s.Phase == Idle && s.Serving == nil && found != nil:
		s.Serving = found
	}
	s.deadline = now + s.limits.ReadyTimeout
	switch s.Phase {
	case Trial:
		s.deadline = now + s.trialPeriod() // it is watched anew, as a whole
	case Ending:
		s.deadline = now
	}
	for _, p := range []*Process{s.Serving, s.Next, s.Terminating} {
		if p != nil && !isAlive(*p) {
			actions = append(actions, s.ProcessExited(now, *p, "")...)
		}
	}
	if s.Terminating != nil {
		actions = append(actions, Action{Kill: s.Terminating})
	}
	if s.Phase == Starting && s.Next == nil { // it was never begun, and what was found is claimed: it never will be
		actions = append(actions, s.requestStart(s.Target)...)
	}
	return s, append(actions, s.Tick(now)...)
}

// ChangeRelease is an order to run a release, by a start anew.
func (s *Sidecar) ChangeRelease(now time.Duration, order uint64, release string) ([]Action, error) {
	switch {
	case order != 0 && (order == s.Order || order <= s.CompletedOrder):
		return nil, nil // it goes on, or is over
	case s.Phase != Idle:
		s.reservedUntil = now + s.limits.ReadyTimeout // it is said again
		return nil, s.busyError(order)
	case s.Terminating != nil:
		return nil, fmt.Errorf("order %d: process %d of the change before is not gone yet", order, s.Terminating.PID)
	}
	return s.beginRelease(now, order, release), nil
}

func (s *Sidecar) beginRelease(now time.Duration, order uint64, release string) []Action {
	s.Order, s.FailureReason = order, ""
	s.withdrawReload()
	if order != 0 {
		s.FallbackReason = ""
	}
	return s.startNext(now, release)
}

// startNext begins a change: of an order, its own, or of the version that is on its way.
func (s *Sidecar) startNext(now time.Duration, release string) []Action {
	s.Target, s.Phase = release, Starting
	s.deadline, s.nextReady = now+s.limits.ReadyTimeout, false
	return s.requestStart(release)
}

// requestStart asks for a start, which is counted: an agent that begins again can tell whether it was made.
func (s *Sidecar) requestStart(release string) []Action {
	s.StartCount++
	s.startRequested = true
	return []Action{{Start: release, Version: s.startVersion()}}
}

// Confirm says that a change is over for the fleet: what runs is what to go back to.
func (s *Sidecar) Confirm(release string) {
	if s.Serving != nil && s.Serving.Release == release || s.confirmedMissing {
		s.Confirmed, s.confirmedMissing = release, false // one that is not to be had either is lost again
	}
}

// ReleaseMissing tells that what is confirmed is not to be had on this machine any more: it was away for long. The fleet's word counts then.
func (s *Sidecar) ReleaseMissing(release string) {
	s.confirmedMissing = s.Phase == Idle && s.Serving == nil && release == s.Confirmed
}

// ProcessStarted tells of a process that was started.
func (s *Sidecar) ProcessStarted(now time.Duration, p Process) []Action {
	s.startRequested, s.confirmedMissing = false, false
	switch {
	case s.Phase == Starting && s.Next == nil && p.Release == s.Target:
		s.Next = &p
	case s.Phase == Idle && s.Serving == nil:
		s.Serving, s.servingReady, s.deadline = &p, false, now+s.limits.ReadyTimeout
		s.resetReportedDigest()
	default: // nobody waits for it any more
		return []Action{{Kill: &p}}
	}
	return nil
}

// StartFailed tells that a start did not work.
func (s *Sidecar) StartFailed(now time.Duration, reason string) []Action {
	s.startRequested = false
	if s.Phase == Starting && s.Next == nil {
		return s.failChange(now, reason, false)
	}
	s.scheduleRestart(now)
	return nil
}

// trialPeriod is for how long the next process is on trial.
func (s *Sidecar) trialPeriod() time.Duration {
	if s.Candidate != 0 && s.limits.VersionTrialPeriod > 0 {
		return s.limits.VersionTrialPeriod
	}
	return s.limits.TrialPeriod
}

// ReadinessObserved tells what the operators' endpoint of a process said.
func (s *Sidecar) ReadinessObserved(now time.Duration, p Process, ready bool) []Action {
	switch {
	case s.Serving != nil && *s.Serving == p:
		if s.servingReady = ready; ready {
			s.consecutiveCrashes = 0
		} else if s.Phase == Ending && s.Candidate != 0 && s.nextReady { // it takes no new connections: all are the next one's
			s.InForce = s.Candidate
		}
	case s.Next != nil && *s.Next == p:
		if s.nextReady = ready; ready && s.Phase == Starting {
			s.Phase, s.deadline = Trial, now+s.trialPeriod()
		}
	}
	return nil
}

// ProcessExited tells that a process has ended, of whatever, and what it said last.
func (s *Sidecar) ProcessExited(now time.Duration, p Process, lastLine string) []Action {
	switch {
	case s.Terminating != nil && *s.Terminating == p:
		s.Terminating = nil
	case s.Next != nil && *s.Next == p:
		s.Next = nil
		switch s.Phase {
		case Starting:
			return s.failChange(now, "it ended before it was ready"+afterColon(lastLine), true)
		case Trial:
			return s.failChange(now, "it ended in its trial"+afterColon(lastLine), true)
		case Ending: // the new one dies as the one before ends: that one is all there is, or nobody
			s.Phase = Idle
			s.finishChange("it ended as the one before was told to", true)
			if s.Serving == nil {
				s.scheduleRestart(now)
			}
		}
	case s.Serving != nil && *s.Serving == p:
		if s.Serving, s.servingReady = nil, false; s.Phase == Idle && p.Release != s.Confirmed {
			s.FallbackReason = rollout.ProcessEnded
		}
		s.resetReportedDigest()
		switch s.Phase {
		case Idle:
			s.scheduleRestart(now)
		case Ending:
			s.promote()
		}
	}
	return s.Tick(now)
}

// promote makes the next process the one that serves.
func (s *Sidecar) promote() {
	s.Serving, s.Next, s.servingReady, s.Phase = s.Next, nil, s.nextReady, Idle
	s.finishChange("", true)
	s.resetReportedDigest()
}

// finishChange ends a change. What came of a version's own is not what came of the last order.
func (s *Sidecar) finishChange(failure string, versionAtFault bool) {
	if s.Candidate != 0 {
		s.Target = ""
		s.finishCandidate(failure, versionAtFault)
		return
	}
	if s.Order != 0 {
		s.CompletedOrder = s.Order
	}
	s.FailureReason, s.Order, s.Target = failure, 0, ""
}

// failChange ends a change that did not work: the one that served goes on. A version that was at no fault is tried again.
func (s *Sidecar) failChange(now time.Duration, failure string, versionAtFault bool) (actions []Action) {
	if s.Next != nil {
		actions = append(actions, Action{Kill: s.Next})
		s.Next, s.Terminating = nil, s.Next
	}
	s.Phase = Idle
	if s.Candidate != 0 && !versionAtFault {
		s.retryVersionLater(now, failure)
	}
	s.finishChange(failure, versionAtFault)
	if s.Serving == nil {
		s.scheduleRestart(now)
	}
	return append(actions, s.Tick(now)...)
}

// scheduleRestart begins the pause before the next start.
func (s *Sidecar) scheduleRestart(now time.Duration) {
	pause := s.limits.InitialBackoff << min(s.consecutiveCrashes, 30)
	if pause <= 0 || pause > s.limits.MaxBackoff {
		pause = s.limits.MaxBackoff
	}
	s.consecutiveCrashes++
	s.deadline, s.startRequested = now+pause, false
}

// SetIsolated tells whether the fleet is out of reach.
func (s *Sidecar) SetIsolated(now time.Duration, isolated bool) {
	if !isolated {
		s.isolatedSince = -1
	} else if s.isolatedSince < 0 {
		s.isolatedSince = now
	}
}

// Tick gives what is due.
func (s *Sidecar) Tick(now time.Duration) []Action {
	switch s.Phase {
	case Idle:
		if s.Terminating != nil {
			return nil
		}
		if s.Serving == nil && now >= s.deadline && !s.startRequested {
			return s.requestStart(s.Confirmed)
		}
		if s.Serving != nil && s.isolatedSince >= 0 && now-s.isolatedSince >= s.limits.IsolationTimeout && s.Serving.Release != s.Confirmed && s.servingReady {
			s.FallbackReason = rollout.MachineIsolated
			return s.beginRelease(now, 0, s.Confirmed)
		}
		return s.advanceConfiguration(now)
	case Starting:
		if now >= s.deadline {
			return s.failChange(now, fmt.Sprintf("not ready in %v", s.limits.ReadyTimeout), true)
		}
	case Trial:
		if now < s.deadline {
			return nil
		}
		if !s.nextReady {
			return s.failChange(now, "it said no at the end of its trial", true)
		}
		if s.Serving == nil {
			s.promote()
			return nil // what follows is for the next tick
		}
		s.Phase, s.deadline = Ending, now+s.limits.TerminationTimeout
		return []Action{{Term: s.Serving}}
	case Ending:
		if now >= s.deadline && s.Serving != nil {
			s.deadline = now + s.limits.TerminationTimeout
			return []Action{{Kill: s.Serving}}
		}
	}
	return nil
}

// Serves reports whether a process serves, and of which release.
func (s *Sidecar) Serves() (release string, ready bool) {
	switch {
	case s.Serving != nil:
		return s.Serving.Release, s.servingReady
	case s.Next != nil:
		return s.Next.Release, s.nextReady
	}
	return "", false
}

func afterColon(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
