package agent

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/rollout"
)

// Sidecar supervises the processes of one sidecar. Each method takes the time since some fixed moment and returns the actions to carry
// out, in order. The caller persists PersistedState whenever it has changed, before it carries out any action.
type Sidecar struct {
	PersistedState
	limits             Limits
	servingReady       bool          // the last observation of Serving
	nextReady          bool          // the last observation of Next
	deadline           time.Duration // of the phase; in Idle without a process, when the next start may be made
	consecutiveCrashes int
	isolatedSince      time.Duration // below 0: the machine is not isolated
	startRequested     bool          // and neither ProcessStarted nor StartFailed was called yet
	confirmedMissing   bool          // the store does not have the confirmed release
	configurationProgress
}

// New returns a sidecar without any process or history.
func New(confirmed string, limits Limits) *Sidecar {
	return &Sidecar{PersistedState: PersistedState{Confirmed: confirmed}, limits: limits, isolatedSince: -1}
}

// Restore returns the sidecar that continues from the state that an earlier agent persisted. isAlive reports whether a process still
// runs. The last start that was requested may have been made without being noted in the state: found is its process then. nil: it was
// noted, or not made, and the caller has made sure that it cannot be made any more.
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
		s.deadline = now + s.trialPeriod() // the trial starts over: no agent watched meanwhile
	case Ending:
		s.deadline = now + s.limits.TerminationTimeout // nobody knows when SIGTERM was sent, or whether it was
	}
	for _, p := range []*Process{s.Serving, s.Next, s.Terminating} {
		if p != nil && !isAlive(*p) {
			actions = append(actions, s.ProcessExited(now, *p, "")...)
		}
	}
	if s.Terminating != nil {
		actions = append(actions, Action{Kill: s.Terminating})
	}
	if s.Phase == Ending && s.Serving != nil {
		actions = append(actions, Action{Term: s.Serving}) // again: it has no effect on a process that is ending already
	}
	if s.Phase == Starting && s.Next == nil { // the start was noted and never made
		actions = append(actions, s.requestStart(s.Target)...)
	}
	return s, append(actions, s.Tick(now)...)
}

// Confirm reports that the rollout of a release is over, so that the sidecar may fall back to it. It has an effect where the sidecar
// runs the release, or where the release that was confirmed before is missing on this machine.
func (s *Sidecar) Confirm(release string) {
	if s.Serving != nil && s.Serving.Release == release || s.confirmedMissing {
		s.Confirmed, s.confirmedMissing = release, false // if this one is missing too, ReleaseMissing says so again
	}
}

// ReleaseMissing reports that the store does not have a release, as on a machine that comes back after a long time. If it is the
// confirmed one and nothing runs, the next Confirm is accepted whatever it names.
func (s *Sidecar) ReleaseMissing(release string) {
	s.confirmedMissing = s.Phase == Idle && s.Serving == nil && release == s.Confirmed
}

// SetIsolated reports whether the machine is out of contact with the coordinators' driver.
func (s *Sidecar) SetIsolated(now time.Duration, isolated bool) {
	if !isolated {
		s.isolatedSince = -1
	} else if s.isolatedSince < 0 {
		s.isolatedSince = now
	}
}

// Serves returns the release of the process that serves, or starts to while there is none, and whether that process is ready. The
// release is "" if there is no process.
func (s *Sidecar) Serves() (release string, ready bool) {
	switch {
	case s.Serving != nil:
		return s.Serving.Release, s.servingReady
	case s.Next != nil:
		return s.Next.Release, s.nextReady
	}
	return "", false
}

// Tick returns the actions that the passing of time makes necessary. It is called at every poll of the processes.
func (s *Sidecar) Tick(now time.Duration) []Action {
	switch s.Phase {
	case Idle:
		return s.tickIdle(now)
	case Starting:
		if now >= s.deadline {
			return s.failChange(now, fmt.Sprintf("not ready in %v", s.limits.ReadyTimeout), true)
		}
	case Trial:
		return s.tickTrial(now)
	case Ending:
		if now >= s.deadline && s.Serving != nil {
			s.deadline = now + s.limits.TerminationTimeout
			return []Action{{Kill: s.Serving}}
		}
	}
	return nil
}

func (s *Sidecar) tickIdle(now time.Duration) []Action {
	switch {
	case s.Terminating != nil:
		return nil
	case s.Serving == nil && now >= s.deadline && !s.startRequested:
		return s.requestStart(s.Confirmed)
	case s.mustFallBack(now):
		s.FallbackReason = rollout.MachineIsolated
		return s.beginRelease(now, 0, s.Confirmed)
	}
	return s.advanceConfiguration(now)
}

// mustFallBack reports whether a process of an unconfirmed release has served for too long without contact with the coordinators.
func (s *Sidecar) mustFallBack(now time.Duration) bool {
	isolated := s.isolatedSince >= 0 && now-s.isolatedSince >= s.limits.IsolationTimeout
	return isolated && s.Serving != nil && s.Serving.Release != s.Confirmed && s.servingReady
}

func (s *Sidecar) tickTrial(now time.Duration) []Action {
	switch {
	case now < s.deadline:
		return nil
	case !s.nextReady:
		return s.failChange(now, "not ready at the end of its trial", true)
	case s.Serving == nil:
		s.promote()
		return nil // the next tick does what follows
	}
	s.Phase, s.deadline = Ending, now+s.limits.TerminationTimeout
	return []Action{{Term: s.Serving}}
}

// requestStart returns the action that starts a process. Starts are counted, so that an agent that is started again can find out
// whether the last one was made.
func (s *Sidecar) requestStart(release string) []Action {
	s.StartCount++
	s.startRequested = true
	return []Action{{Start: release, Version: s.startVersion()}}
}

// scheduleRestart sets when a process may be started in place of one that ended.
func (s *Sidecar) scheduleRestart(now time.Duration) {
	s.deadline, s.startRequested = now+s.limits.backoff(s.consecutiveCrashes), false
	s.consecutiveCrashes++
}
