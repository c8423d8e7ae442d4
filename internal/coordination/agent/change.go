package agent

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/rollout"
)

// ChangeRelease carries out an order to run a release in a new process. An order that is in progress or over has no effect. An error
// says why the order cannot be carried out now; the driver repeats it.
func (s *Sidecar) ChangeRelease(now time.Duration, order uint64, release string) ([]Action, error) {
	switch {
	case order != 0 && (order == s.Order || order <= s.CompletedOrder):
		return nil, nil // it is in progress, or over
	case s.Phase != Idle:
		s.reservedUntil = now + s.limits.ReadyTimeout
		return nil, s.busyError(order)
	case s.Terminating != nil:
		return nil, fmt.Errorf("order %d: process %d of the change before is not gone yet", order, s.Terminating.PID)
	}
	return s.beginRelease(now, order, release), nil
}

// busyError says which change an order has to wait for.
func (s *Sidecar) busyError(order uint64) error {
	if s.Candidate != 0 {
		return fmt.Errorf("order %d: version %d of the configuration is not over: %v", order, s.Candidate, s.Phase)
	}
	return fmt.Errorf("order %d: order %d is not over: %v", order, s.Order, s.Phase)
}

// beginRelease begins the change of an order, or with order 0 of the sidecar's own decision.
func (s *Sidecar) beginRelease(now time.Duration, order uint64, release string) []Action {
	s.Order, s.FailureReason = order, ""
	s.withdrawReload()
	if order != 0 {
		s.FallbackReason = ""
	}
	return s.startNext(now, release)
}

// startNext begins a change: of a release, or of the candidate version.
func (s *Sidecar) startNext(now time.Duration, release string) []Action {
	s.Target, s.Phase = release, Starting
	s.deadline, s.nextReady = now+s.limits.ReadyTimeout, false
	return s.requestStart(release)
}

// trialPeriod is how long the next process is on trial.
func (s *Sidecar) trialPeriod() time.Duration {
	if s.Candidate != 0 && s.limits.VersionTrialPeriod > 0 {
		return s.limits.VersionTrialPeriod
	}
	return s.limits.TrialPeriod
}

// ProcessStarted reports that a requested start was made.
func (s *Sidecar) ProcessStarted(now time.Duration, p Process) []Action {
	s.startRequested, s.confirmedMissing = false, false
	switch {
	case s.Phase == Starting && s.Next == nil && p.Release == s.Target:
		s.Next = &p
	case s.Phase == Idle && s.Serving == nil:
		s.Serving, s.servingReady, s.deadline = &p, false, now+s.limits.ReadyTimeout
		s.resetReportedDigest()
	default: // the change that requested it is over
		return []Action{{Kill: &p}}
	}
	return nil
}

// StartFailed reports that a requested start could not be made.
func (s *Sidecar) StartFailed(now time.Duration, reason string) []Action {
	s.startRequested = false
	if s.Phase == Starting && s.Next == nil {
		return s.failChange(now, reason, false)
	}
	s.scheduleRestart(now)
	return nil
}

// ReadinessObserved reports whether the operators' endpoint of a process says that it is ready. It returns no actions today.
func (s *Sidecar) ReadinessObserved(now time.Duration, p Process, ready bool) []Action {
	switch {
	case s.Serving != nil && *s.Serving == p:
		if s.servingReady = ready; ready {
			s.consecutiveCrashes = 0
		} else if s.Phase == Ending && s.Candidate != 0 && s.nextReady { // it accepts no new connections: the next process has them all
			s.InForce = s.Candidate
		}
	case s.Next != nil && *s.Next == p:
		if s.nextReady = ready; ready && s.Phase == Starting {
			s.Phase, s.deadline = Trial, now+s.trialPeriod()
		}
	}
	return nil
}

// ProcessExited reports that a process has ended, for whatever reason, and the line of its log that explains it best, "" if there is
// none.
func (s *Sidecar) ProcessExited(now time.Duration, p Process, lastLine string) []Action {
	switch {
	case s.Terminating != nil && *s.Terminating == p:
		s.Terminating = nil
	case s.Next != nil && *s.Next == p:
		if actions, failed := s.nextExited(now, lastLine); failed {
			return actions
		}
	case s.Serving != nil && *s.Serving == p:
		s.servingExited(now)
	}
	return s.Tick(now)
}

// nextExited handles the end of the new process of a change. failed: the change has failed, and actions are all that follows.
func (s *Sidecar) nextExited(now time.Duration, lastLine string) (actions []Action, failed bool) {
	s.Next = nil
	switch s.Phase {
	case Starting:
		return s.failChange(now, "it ended before it was ready"+afterColon(lastLine), true), true
	case Trial:
		return s.failChange(now, "it ended in its trial"+afterColon(lastLine), true), true
	case Ending: // the old process is ending too: it is all there is, or there is none
		s.Phase = Idle
		s.finishChange("it ended while the old process was ending", true)
		if s.Serving == nil {
			s.scheduleRestart(now)
		}
	}
	return nil, false
}

// servingExited handles the end of the process that serves.
func (s *Sidecar) servingExited(now time.Duration) {
	if s.Phase == Idle && s.Serving.Release != s.Confirmed {
		s.FallbackReason = rollout.ProcessEnded
	}
	s.Serving, s.servingReady = nil, false
	s.resetReportedDigest()
	switch s.Phase {
	case Idle:
		s.scheduleRestart(now)
	case Ending:
		s.promote()
	}
}

// promote makes the next process the one that serves.
func (s *Sidecar) promote() {
	s.Serving, s.Next, s.servingReady, s.Phase = s.Next, nil, s.nextReady, Idle
	s.finishChange("", true)
	s.resetReportedDigest()
}

// finishChange ends a change, successfully if failure is "". The result of a candidate version's change does not replace that of the
// last order.
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

// failChange ends a change that failed; the old process continues to serve. A candidate version that is not at fault is tried again.
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

func afterColon(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
