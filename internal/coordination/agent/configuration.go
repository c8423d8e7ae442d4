package agent

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// Check is a request to check whether a version can be applied: the program of each release that may be started with it has to accept
// it. If a process serves, the check also finds out whether that process can reload. It is comparable: a result belongs to an equal
// Check.
type Check struct {
	Version  distribute.Revision
	Releases [2]string // the release that runs, and the confirmed one where it is another; "": none
	Process  Process   // the process that serves; the zero value: none does
}

// CheckResult is the result of a Check.
type CheckResult struct {
	Rejection   string // what a release's program says against the version; "": it is accepted
	Unavailable string // why the check could not be made now; "": it was made
	Reloadable  bool   // the serving process can reload: no field differs that it reads at its start alone
}

// configurationProgress is what a sidecar knows of versions of its configuration until its agent ends.
type configurationProgress struct {
	newest         distribute.Revision // the newest version that the agent has accepted
	pendingCheck   *Check              // requested, and not completed
	lastCheck      Check               // completed with lastResult
	lastResult     CheckResult
	digestReported bool          // DigestReported was called for the serving process
	reportedDigest string        // the digest of the file that it read last; "": its program does not report one
	expectedDigest string        // the digest of the file that was written for its reload; "": none was
	retryAt        time.Duration // when to try again, or to request the reload again
	failures       int           // attempts in a row that failed without the version's fault
	delayReason    string        // why the last of them failed
	reservedUntil  time.Duration // until then no version is applied: a rollout's order found the sidecar busy and is repeated
}

// crashLoopThreshold is the number of exits in a row, without readiness in between, from which on a sidecar is taken not to come up
// with the version in force; then a newer version is applied although nothing serves.
const crashLoopThreshold = 2

// SetNewestVersion reports the newest version that the agent has accepted. An older one has no effect.
func (s *Sidecar) SetNewestVersion(version distribute.Revision) {
	if version > s.newest {
		s.newest, s.delayReason, s.retryAt, s.failures = version, "", 0, 0
	}
}

// hasPendingVersion reports whether the newest version is neither in force nor rejected.
func (s *Sidecar) hasPendingVersion() bool { return s.newest > max(s.InForce, s.Rejected) }

// startVersion is the version that a process is started with.
func (s *Sidecar) startVersion() distribute.Revision {
	if s.Phase == Starting && s.Candidate != 0 {
		return s.Candidate
	}
	return s.InForce
}

// advanceConfiguration takes the next step towards the newest version while no change is in progress. A candidate is applied or fails
// before a newer version becomes the candidate.
func (s *Sidecar) advanceConfiguration(now time.Duration) []Action {
	switch {
	case s.Candidate != 0:
		if s.Serving != nil && now >= s.retryAt {
			return s.requestReload(now)
		}
		return nil
	case !s.hasPendingVersion() || s.pendingCheck != nil || now < s.reservedUntil || now < s.retryAt:
		return nil
	case s.Serving == nil && (s.startRequested || s.consecutiveCrashes < crashLoopThreshold): // the version in force comes first
		return nil
	case s.Serving != nil && (!s.servingReady || !s.digestReported) && now < s.deadline: // it has just been started
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

// nextCheck is the check that the newest version has to pass with the processes and releases of this moment.
func (s *Sidecar) nextCheck() Check {
	check := Check{Version: s.newest, Releases: [2]string{s.Confirmed}}
	if s.Serving != nil {
		if check.Process = *s.Serving; s.Serving.Release != s.Confirmed {
			check.Releases = [2]string{s.Serving.Release, s.Confirmed}
		}
	}
	return check
}

// CheckCompleted reports the result of a check. A result that has become outdated is dropped, and the check is requested again.
func (s *Sidecar) CheckCompleted(now time.Duration, check Check, result CheckResult) []Action {
	s.pendingCheck = nil
	switch {
	case s.Phase != Idle || !s.hasPendingVersion() || check != s.nextCheck(): // outdated
	case result.Unavailable != "":
		s.retryVersionLater(now, result.Unavailable)
	case result.Rejection != "":
		s.Rejected, s.RejectionReason = check.Version, result.Rejection
	default:
		s.lastCheck, s.lastResult = check, result
	}
	return s.Tick(now)
}

// retryVersionLater schedules another attempt after one that failed without the version's fault.
func (s *Sidecar) retryVersionLater(now time.Duration, reason string) {
	s.delayReason, s.retryAt, s.lastCheck = reason, now+s.limits.backoff(s.failures), Check{}
	s.failures++
}

// requestReload has the serving process reload its file with the candidate.
func (s *Sidecar) requestReload(now time.Duration) []Action {
	s.expectedDigest, s.retryAt = "", now+s.limits.ReadyTimeout
	return []Action{{Reload: s.Serving, Version: s.Candidate}}
}

// ReloadRequested reports that the file of a process was written, with this digest, and that the process was asked to reload it; or the
// error that prevented it.
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

// DigestReported reports the digest of the file that a process says it has read last, "" if its program reports none. The candidate of
// a reload is in force once the process reports the expected digest.
func (s *Sidecar) DigestReported(p Process, digest string) {
	if s.Serving == nil || *s.Serving != p {
		return
	}
	s.digestReported, s.reportedDigest = true, digest
	if s.ByReload && s.expectedDigest != "" && digest == s.expectedDigest {
		s.finishCandidate("", true)
	}
}

// finishCandidate ends the attempt to apply the candidate: a failure of "" puts it in force. A version that has come into force stays
// in force whatever happens to its process afterwards. A candidate that is not at fault stays pending.
func (s *Sidecar) finishCandidate(failure string, versionAtFault bool) {
	switch {
	case failure == "":
		s.InForce, s.retryAt = s.Candidate, 0
	case s.InForce != s.Candidate && versionAtFault:
		s.Rejected, s.RejectionReason, s.retryAt = s.Candidate, failure, 0
	}
	s.Candidate, s.ByReload = 0, false
}

// resetReportedDigest forgets what the last serving process reported: another one serves now, or none.
func (s *Sidecar) resetReportedDigest() {
	s.digestReported, s.reportedDigest, s.expectedDigest = false, "", ""
	s.withdrawReload()
}

// withdrawReload gives up a reload that the process has not confirmed. The version stays pending.
func (s *Sidecar) withdrawReload() {
	if s.ByReload {
		s.Candidate, s.ByReload, s.retryAt = 0, false, 0
	}
}

// Report returns the report to the coordinators on the versions of this sidecar, which is called name.
func (s *Sidecar) Report(name string) distribute.Report {
	report := distribute.Report{Sidecar: name, InForce: s.InForce}
	if s.Rejected > s.InForce {
		report.Refused, report.Reason = s.Rejected, s.RejectionReason
	}
	if s.hasPendingVersion() {
		report.Reason = s.pendingReason()
	}
	report.Reason = strings.ReplaceAll(report.Reason, "\n", " ")
	report.Reason = strings.ToValidUTF8(report.Reason[:min(len(report.Reason), distribute.MaxReasonBytes)], "")
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
