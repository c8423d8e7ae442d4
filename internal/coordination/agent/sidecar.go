package agent

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/rollout"
)

// Sidecar is the state machine that supervises the processes of one sidecar. The parameter now of its methods is the time since a
// fixed moment. The returned actions are carried out in order. The caller persists PersistedState whenever it has changed, before
// it carries out any action.
type Sidecar struct {
	PersistedState
	limits             Limits
	servingReady       bool          // whether Serving was ready when last observed
	nextReady          bool          // whether Next was ready when last observed
	deadline           time.Duration // end of the phase; in Idle without a process, the earliest time of the next start
	consecutiveCrashes int
	isolatedSince      time.Duration // negative: the machine is not isolated
	startRequested     bool          // a start was requested, and neither ProcessStarted nor StartFailed has been called since
	confirmedMissing   bool          // the store lacks the confirmed release
	configurationProgress
}

// New returns a sidecar without any process or history.
func New(confirmed string, limits Limits) *Sidecar {
	return &Sidecar{PersistedState: PersistedState{Confirmed: confirmed}, limits: limits, isolatedSince: -1}
}

// Restore returns a sidecar that continues from the state that an earlier agent persisted. isAlive reports whether a process
// still runs. The earlier agent may have started the last requested process without persisting it; found is that process. If
// found is nil, the process is in the state or was not started, and the caller has made sure that it cannot be started any
// more.
func Restore(state PersistedState, limits Limits, now time.Duration, isAlive func(Process) bool, found *Process) (s *Sidecar, actions []Action) {
	s = &Sidecar{PersistedState: state, limits: limits, isolatedSince: -1}
	if found != nil && s.Terminating != nil && found.PID == s.Terminating.PID && found.StartTicks == s.Terminating.StartTicks {
		found = nil // found is the persisted process Terminating
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
		s.deadline = now + s.trialPeriod() // the trial starts over, because no agent observed the process meanwhile
	case Ending:
		s.deadline = now + s.limits.TerminationTimeout // it is unknown when SIGTERM was sent, or whether it was sent
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
		actions = append(actions, Action{Term: s.Serving}) // a repeated SIGTERM has no effect on a process that is already terminating
	}
	if s.Phase == Starting && s.Next == nil { // the start was requested, but no process was started
		actions = append(actions, s.requestStart(s.Target)...)
	}
	return s, append(actions, s.Tick(now)...)
}

// Confirm records that the rollout of a release has ended, so that the sidecar may fall back to this release. Confirm only has an
// effect if the sidecar runs the release, or if the currently confirmed release is missing on this machine.
func (s *Sidecar) Confirm(release string) {
	if s.Serving != nil && s.Serving.Release == release || s.confirmedMissing {
		s.Confirmed, s.confirmedMissing = release, false // if this release is missing too, ReleaseMissing is called again
	}
}

// ReleaseMissing records that the store lacks a release, as on a machine that returns after a long absence. If the release is the
// confirmed release and no process runs, the next Confirm is accepted for any release.
func (s *Sidecar) ReleaseMissing(release string) {
	s.confirmedMissing = s.Phase == Idle && s.Serving == nil && release == s.Confirmed
}

// SetIsolated records whether the machine has lost contact with the coordinators' driver.
func (s *Sidecar) SetIsolated(now time.Duration, isolated bool) {
	if !isolated {
		s.isolatedSince = -1
	} else if s.isolatedSince < 0 {
		s.isolatedSince = now
	}
}

// Serves returns the release of the serving process and whether that process is ready. If there is no serving process, it returns
// the release and readiness of Next, the new process of a change. If there is no process at all, the release is "".
func (s *Sidecar) Serves() (release string, ready bool) {
	switch {
	case s.Serving != nil:
		return s.Serving.Release, s.servingReady
	case s.Next != nil:
		return s.Next.Release, s.nextReady
	}
	return "", false
}

// Tick returns the actions that have become due. It is called at every poll of the processes.
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

// mustFallBack reports whether a process of an unconfirmed release serves on a machine that has been isolated for too long.
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
		return nil // the next tick continues in Idle
	}
	s.Phase, s.deadline = Ending, now+s.limits.TerminationTimeout
	return []Action{{Term: s.Serving}}
}

// requestStart returns the action that starts a process. It counts the starts, so that a restarted agent can find out whether the
// last requested process was started.
func (s *Sidecar) requestStart(release string) []Action {
	s.StartCount++
	s.startRequested = true
	return []Action{{Start: release, Version: s.startVersion()}}
}

// scheduleRestart sets the time from which a process may be started to replace one that exited.
func (s *Sidecar) scheduleRestart(now time.Duration) {
	s.deadline, s.startRequested = now+s.limits.backoff(s.consecutiveCrashes), false
	s.consecutiveCrashes++
}
