package agent

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// ConfigurationState is what survives the agent of a sidecar's configuration. Revisions are of versions of its service; 0:
// what its release says by itself.
type ConfigurationState struct {
	InForce         distribute.Revision `json:"in_force,omitempty"` // every start begins with it, but a version's own change
	Candidate       distribute.Revision `json:"trying,omitempty"`   // on its way in; 0: none
	ByReload        bool                `json:"live,omitempty"`     // by the process that serves; else by a change that goes on
	Rejected        distribute.Revision `json:"refused,omitempty"`  // the newest that was not put in force, for good
	RejectionReason string              `json:"why,omitempty"`      // and why
}

// Check is a question whether a version can go in: each release that may be started with it has to take it. Where a
// process serves, it is also how it goes in: live, or by a change.
type Check struct {
	Version  distribute.Revision
	Releases [2]string // that runs, and that is confirmed where it is another; "": there is none
	Process  Process   // that serves; the zero one: none does
}

// CheckResult is the answer.
type CheckResult struct {
	Rejection   string // by the program of a release, in its own words; "": it is taken
	Unavailable string // why it can't be said now; "": it is known
	Reloadable  bool   // the process that serves can take it as it runs: no field differs that it reads only as it starts
}

// configurationProgress is what a sidecar knows of the versions of its configuration while the agent lives.
type configurationProgress struct {
	newest         distribute.Revision // the newest that was taken
	pendingCheck   *Check              // it is out
	lastCheck      Check               // was answered with verdict
	lastResult     CheckResult
	digestReported bool          // the process that serves has told what it runs
	reportedDigest string        // the digest of the file that it read last; "": it does not tell
	expectedDigest string        // the digest of the file that was written for it last; "": none was
	retryAt        time.Duration // when to try again, or to tell again
	failures       int           // in a row, of which nothing came
	delayReason    string        // why
	reservedUntil  time.Duration // until then an order of a rollout that found no room comes first
}

// crashLoopThreshold is after how many ends in a row, without a yes between, a sidecar is taken not to come up with what is in
// force.
const crashLoopThreshold = 2

// SetNewestVersion tells of the newest version that was taken. An older one is never wanted again.
func (s *Sidecar) SetNewestVersion(version distribute.Revision) {
	if version > s.newest {
		s.newest, s.delayReason, s.retryAt, s.failures = version, "", 0, 0
	}
}

// hasPendingVersion reports whether there is a version to be put in force.
func (s *Sidecar) hasPendingVersion() bool { return s.newest > max(s.InForce, s.Rejected) }

// startVersion is what a start begins with.
func (s *Sidecar) startVersion() distribute.Revision {
	if s.Phase == Starting && s.Candidate != 0 {
		return s.Candidate
	}
	return s.InForce
}

// advanceConfiguration gives what is due for the newest version, where no change goes on. A version whose turn has come is seen
// through or fails before a newer one has its own.
func (s *Sidecar) advanceConfiguration(now time.Duration) []Action {
	switch {
	case s.Candidate != 0:
		if s.Serving != nil && now >= s.retryAt {
			return s.requestReload(now)
		}
		return nil
	case !s.hasPendingVersion() || s.pendingCheck != nil || now < s.reservedUntil || now < s.retryAt:
		return nil
	case s.Serving == nil && (s.startRequested || s.consecutiveCrashes < crashLoopThreshold): // what is in force comes first
		return nil
	case s.Serving != nil && !(s.servingReady && s.digestReported) && now < s.deadline: // it has just begun
		return nil
	}
	if check := s.nextCheck(); s.lastCheck != check {
		s.pendingCheck = &check
		return []Action{{Check: &check}}
	}
	s.Candidate = s.newest
	if s.lastResult.Reloadable && s.Serving != nil && s.reportedDigest != "" {
		s.ByReload = true
		return s.requestReload(now)
	}
	release := s.Confirmed
	if s.Serving != nil {
		release = s.Serving.Release
	}
	return s.startNext(now, release)
}

func (s *Sidecar) nextCheck() Check {
	check := Check{Version: s.newest, Releases: [2]string{s.Confirmed}}
	if s.Serving != nil {
		if check.Process = *s.Serving; s.Serving.Release != s.Confirmed {
			check.Releases = [2]string{s.Serving.Release, s.Confirmed}
		}
	}
	return check
}

// CheckCompleted tells what came of a check.
func (s *Sidecar) CheckCompleted(now time.Duration, check Check, result CheckResult) []Action {
	s.pendingCheck = nil
	switch {
	case s.Phase != Idle || !s.hasPendingVersion() || check != s.nextCheck(): // it is asked anew when its turn comes
	case result.Unavailable != "":
		s.retryVersionLater(now, result.Unavailable)
	case result.Rejection != "":
		s.Rejected, s.RejectionReason = check.Version, result.Rejection
	default:
		s.lastCheck, s.lastResult = check, result
	}
	return s.Tick(now)
}

// retryVersionLater has what came to nothing by nobody's fault tried again, after a pause that doubles.
func (s *Sidecar) retryVersionLater(now time.Duration, reason string) {
	pause := s.limits.InitialBackoff << min(s.failures, 30)
	if pause <= 0 || pause > s.limits.MaxBackoff {
		pause = s.limits.MaxBackoff
	}
	s.failures++
	s.delayReason, s.retryAt, s.lastCheck = reason, now+pause, Check{}
}

// requestReload has the process that serves read its file again, with the version that is on its way.
func (s *Sidecar) requestReload(now time.Duration) []Action {
	s.expectedDigest, s.retryAt = "", now+s.limits.ReadyTimeout
	return []Action{{Reload: s.Serving, Version: s.Candidate}}
}

// ReloadRequested tells that the file was written, what its digest is, and that the process was asked to read it; or why not.
func (s *Sidecar) ReloadRequested(now time.Duration, p Process, digest string, err error) {
	switch {
	case !s.ByReload || s.Serving == nil || *s.Serving != p:
	case err != nil:
		s.Candidate, s.ByReload = 0, false
		s.retryVersionLater(now, err.Error())
	default:
		s.expectedDigest = digest
	}
}

// DigestReported tells the digest of the file that a process read last; "": it does not say.
func (s *Sidecar) DigestReported(p Process, digest string) {
	if s.Serving == nil || *s.Serving != p {
		return
	}
	s.digestReported, s.reportedDigest = true, digest
	if s.ByReload && s.expectedDigest != "" && digest == s.expectedDigest {
		s.finishCandidate("", true)
	}
}

// finishCandidate ends what is on its way: "" puts it in force. What is in force stays so whatever comes after, and what is at
// no fault is tried again.
func (s *Sidecar) finishCandidate(failure string, versionAtFault bool) {
	switch {
	case failure == "":
		s.InForce, s.retryAt = s.Candidate, 0
	case s.InForce != s.Candidate && versionAtFault:
		s.Rejected, s.RejectionReason, s.retryAt = s.Candidate, failure, 0
	}
	s.Candidate, s.ByReload = 0, false
}

// resetReportedDigest tells that another process serves, or none: nothing was heard of it yet.
func (s *Sidecar) resetReportedDigest() {
	s.digestReported, s.reportedDigest, s.expectedDigest = false, "", ""
	s.withdrawReload()
}

// withdrawReload takes back what was told and not read yet: it has its turn later.
func (s *Sidecar) withdrawReload() {
	if s.ByReload {
		s.Candidate, s.ByReload, s.retryAt = 0, false, 0
	}
}

// Report is how the sidecar of a name stands with its versions.
func (s *Sidecar) Report(name string) distribute.Report {
	report := distribute.Report{Sidecar: name, InForce: s.InForce}
	if s.Rejected > s.InForce {
		report.Refused, report.Why = s.Rejected, s.RejectionReason
	}
	if s.hasPendingVersion() {
		report.Why = s.pendingReason()
	}
	report.Why = strings.ReplaceAll(report.Why, "\n", " ")
	report.Why = strings.ToValidUTF8(report.Why[:min(len(report.Why), distribute.MaxWhy)], "")
	return report
}

// pendingReason says what the newest version waits for.
func (s *Sidecar) pendingReason() string {
	switch {
	case s.Candidate != 0 && s.Candidate != s.newest:
		return fmt.Sprintf("revision %d is on its way in", s.Candidate)
	case s.ByReload:
		return "the process that serves was told to read it"
	case s.Candidate != 0:
		return [...]string{"", "its process starts", "its process is on trial", "the process before ends"}[s.Phase]
	case s.Phase != Idle && s.Order != 0:
		return fmt.Sprintf("order %d of a rollout goes on", s.Order)
	case s.Phase != Idle:
		return "a change goes on"
	case s.Serving == nil:
		return "no process serves"
	}
	return s.delayReason
}

// busyError is why an order finds no room: what came first.
func (s *Sidecar) busyError(order uint64) error {
	if s.Candidate != 0 {
		return fmt.Errorf("order %d: version %d of the configuration is not over: %v", order, s.Candidate, s.Phase)
	}
	return fmt.Errorf("order %d: order %d is not over: %v", order, s.Order, s.Phase)
}
