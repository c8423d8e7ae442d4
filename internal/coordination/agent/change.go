package agent

import (
	"fmt"
	"time"

	"petrelhook/internal/coordination/rollout"
)

// ChangeRelease carries out an order to run a release in a new process. An order that is in progress or has ended has no effect.
// An error says why the order cannot be carried out now; the driver then repeats the order.
func (s *Sidecar) ChangeRelease(now time.Duration, order uint64, release string) ([]Action, error) {
	switch {
	case order != 0 && (order == s.Order || order <= s.CompletedOrder):
		return nil, nil // in progress, or ended
	case s.Phase != Idle:
		s.reservedUntil = now + s.limits.ReadyTimeout
		return nil, s.busyError(order)
	case s.Terminating != nil:
		return nil, fmt.Errorf("order %d: process %d of the change before is not gone yet", order, s.Terminating.PID)
	}
	return s.beginRelease(now, order, release), nil
}

// busyError returns an error that names the change for which an order has to wait.
func (s *Sidecar) busyError(order uint64) error {
	if s.Candidate != 0 {
		return fmt.Errorf("order %d: version %d of the configuration is not over: %v", order, s.Candidate, s.Phase)
	}
	return fmt.Errorf("order %d: order %d is not over: %v", order, s.Order, s.Phase)
}

// beginRelease begins the change of a release for an order. Order 0 stands for a fallback that the sidecar decided on itself.
func (s *Sidecar) beginRelease(now time.Duration, order uint64, release string) []Action {
	s.Order, s.FailureReason = order, ""
	s.withdrawReload()
	if order != 0 {
		s.FallbackReason = ""
	}
	return s.startNext(now, release)
}

// startNext begins a change, of the release or to the candidate version, by requesting the start of the next process.
func (s *Sidecar) startNext(now time.Duration, release string) []Action {
	s.Target, s.Phase = release, Starting
	s.deadline, s.nextReady = now+s.limits.ReadyTimeout, false
	return s.requestStart(release)
}

// trialPeriod returns the length of the trial of the next process.
func (s *Sidecar) trialPeriod() time.Duration {
	if s.Candidate != 0 && s.limits.VersionTrialPeriod > 0 {
		return s.limits.VersionTrialPeriod
	}
	return s.limits.TrialPeriod
}

// ProcessStarted reports that a requested start has been made. The process is killed if the change that requested it has ended.
func (s *Sidecar) ProcessStarted(now time.Duration, p Process) []Action {
	s.startRequested, s.confirmedMissing = false, false
	switch {
	case s.Phase == Starting && s.Next == nil && p.Release == s.Target:
		s.Next = &p
	case s.Phase == Idle && s.Serving == nil:
		s.Serving, s.servingReady, s.deadline = &p, false, now+s.limits.ReadyTimeout
		s.resetReportedDigest()
	default: // the change that requested it has ended
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

// ReadinessObserved reports whether a process is ready, according to its admin endpoint. It currently returns no actions.
func (s *Sidecar) ReadinessObserved(now time.Duration, p Process, ready bool) []Action {
	switch {
	case s.Serving != nil && *s.Serving == p:
		if s.servingReady = ready; ready {
			s.consecutiveCrashes = 0
		} else if s.Phase == Ending && s.Candidate != 0 && s.nextReady { // the old process accepts no new connections: the next one gets all of them
			s.InForce = s.Candidate
		}
	case s.Next != nil && *s.Next == p:
		if s.nextReady = ready; ready && s.Phase == Starting {
			s.Phase, s.deadline = Trial, now+s.trialPeriod()
		}
	}
	return nil
}

// ProcessExited reports that a process has exited, for whatever reason. lastLine is the line of its log that explains the exit
// best, or "" if there is none; it becomes part of the reason why a change failed.
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

// nextExited handles the exit of the new process of a change. If failed is true, the change has failed and actions are complete:
// the caller adds none.
func (s *Sidecar) nextExited(now time.Duration, lastLine string) (actions []Action, failed bool) {
	s.Next = nil
	switch s.Phase {
	case Starting:
		return s.failChange(now, "it ended before it was ready"+afterColon(lastLine), true), true
	case Trial:
		return s.failChange(now, "it ended in its trial"+afterColon(lastLine), true), true
	case Ending: // the old process is terminating; it is the only one left, or it has exited too
		s.Phase = Idle
		s.finishChange("it ended while the old process was ending", true)
		if s.Serving == nil {
			s.scheduleRestart(now)
		}
	}
	return nil, false
}

// servingExited handles the exit of the serving process.
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

// promote makes the next process the serving one and ends the change successfully.
func (s *Sidecar) promote() {
	s.Serving, s.Next, s.servingReady, s.Phase = s.Next, nil, s.nextReady, Idle
	s.finishChange("", true)
	s.resetReportedDigest()
}

// finishChange ends a change, successfully if failure is "". The result of a change to a candidate version does not overwrite the
// result of the last order.
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

// failChange ends a failed change and has its new process killed; the old process continues to serve. A candidate version that is
// not at fault is tried again later.
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

// afterColon returns the text that appends an optional explanation to a message.
func afterColon(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
