package agent

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// Check is a request to check whether a version can be applied: the program of each release that may be started with the version
// has to accept it. If a process serves, the check also finds out whether that process can apply the version by a reload. Checks
// are compared with == to match a result with its request.
type Check struct {
	Version  distribute.Revision
	Releases [2]string // of the serving process, if any, and the confirmed one; "" follows if that is only one release
	Process  Process   // the serving process; the zero value: no process serves
}

// CheckResult is the result of a Check.
type CheckResult struct {
	Rejection   string // why a release's program rejects the version; "": all accept it
	Unavailable string // why the check could not be made now; "": it has been made
	Reloadable  bool   // the serving process can reload: no field that is read only at a start differs
}

// configurationProgress is the state of a sidecar's configuration versions that is not persisted.
type configurationProgress struct {
	newest         distribute.Revision // the newest version that the agent has accepted
	pendingCheck   *Check              // the check that was requested and has not completed
	lastCheck      Check               // the last check that no release rejected; its result is lastResult
	lastResult     CheckResult
	digestReported bool          // DigestReported was called for the serving process
	reportedDigest string        // the digest of the file that the serving process read last; "": its program reports none
	expectedDigest string        // the digest of the file that was written for its reload; "": no file was written
	retryAt        time.Duration // the earliest time to try the version or request the reload again
	failures       int           // consecutive attempts that failed for reasons other than the version
	delayReason    string        // why the last of these attempts failed
	reservedUntil  time.Duration // no version is applied earlier: a rollout's order found the sidecar busy and will be repeated
}

// crashLoopThreshold is the number of consecutive exits, without a ready process in between, after which a sidecar counts as unable
// to start with the version in force. From then on, a newer version is applied although no process serves.
const crashLoopThreshold = 2

// SetNewestVersion reports the newest version that the agent has accepted. A version that is not newer than the last reported one
// has no effect.
func (s *Sidecar) SetNewestVersion(version distribute.Revision) {
	if version > s.newest {
		s.newest, s.delayReason, s.retryAt, s.failures = version, "", 0, 0
	}
}

// hasPendingVersion reports whether the newest version is neither in force nor rejected.
func (s *Sidecar) hasPendingVersion() bool { return s.newest > max(s.InForce, s.Rejected) }

// startVersion returns the version with which the next requested process is started.
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
	case s.Serving == nil && (s.startRequested || s.consecutiveCrashes < crashLoopThreshold): // restarts with the version in force come first
		return nil
	case s.Serving != nil && (!s.servingReady || !s.digestReported) && now < s.deadline: // wait until it is ready and has reported
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

// nextCheck returns the check that the newest version has to pass, given the current processes and releases.
func (s *Sidecar) nextCheck() Check {
	check := Check{Version: s.newest, Releases: [2]string{s.Confirmed}}
	if s.Serving != nil {
		if check.Process = *s.Serving; s.Serving.Release != s.Confirmed {
			check.Releases = [2]string{s.Serving.Release, s.Confirmed}
		}
	}
	return check
}

// CheckCompleted reports the result of a check. If the check is outdated by now, the result is dropped and a new check is
// requested, if one is still needed.
func (s *Sidecar) CheckCompleted(now time.Duration, check Check, result CheckResult) []Action {
	s.pendingCheck = nil
	switch {
	case s.Phase != Idle || !s.hasPendingVersion() || check != s.nextCheck(): // the result is outdated
	case result.Unavailable != "":
		s.retryVersionLater(now, result.Unavailable)
	case result.Rejection != "":
		s.Rejected, s.RejectionReason = check.Version, result.Rejection
	default:
		s.lastCheck, s.lastResult = check, result
	}
	return s.Tick(now)
}

// retryVersionLater schedules another attempt to apply the newest version, after an attempt that failed for a reason other than the
// version itself.
func (s *Sidecar) retryVersionLater(now time.Duration, reason string) {
	s.delayReason, s.retryAt, s.lastCheck = reason, now+s.limits.backoff(s.failures), Check{}
	s.failures++
}

// requestReload returns the action that writes the candidate to the serving process's file and has the process reload it.
func (s *Sidecar) requestReload(now time.Duration) []Action {
	s.expectedDigest, s.retryAt = "", now+s.limits.ReadyTimeout
	return []Action{{Reload: s.Serving, Version: s.Candidate}}
}

// ReloadRequested reports that the file of a process was written with the given digest and that the process was asked to reload
// it. A non-nil err says why this failed; the version is then tried again later.
func (s *Sidecar) ReloadRequested(now time.Duration, p Process, digest string, err error) {
	switch {
	case !s.ByReload || s.Serving == nil || *s.Serving != p: // the reload has been withdrawn
	case err != nil:
		s.Candidate, s.ByReload = 0, false
		s.retryVersionLater(now, err.Error())
	default:
		s.expectedDigest = digest
	}
}

// DigestReported reports the digest of the file that a process read last, according to the process itself, or "" if its program
// reports none. The candidate of a reload is in force once the process reports the expected digest.
func (s *Sidecar) DigestReported(p Process, digest string) {
	if s.Serving == nil || *s.Serving != p {
		return
	}
	s.digestReported, s.reportedDigest = true, digest
	if s.ByReload && s.expectedDigest != "" && digest == s.expectedDigest {
		s.finishCandidate("", true)
	}
}

// finishCandidate ends the attempt to apply the candidate. If failure is "", the candidate comes into force. A failed candidate is
// rejected if versionAtFault is true, and stays pending otherwise. A candidate that is already in force stays in force, whatever
// happens to its process afterwards.
func (s *Sidecar) finishCandidate(failure string, versionAtFault bool) {
	switch {
	case failure == "":
		s.InForce, s.retryAt = s.Candidate, 0
	case s.InForce != s.Candidate && versionAtFault:
		s.Rejected, s.RejectionReason, s.retryAt = s.Candidate, failure, 0
	}
	s.Candidate, s.ByReload = 0, false
}

// resetReportedDigest discards the digest that the last serving process reported. It is called when another process serves, or none.
// A reload in progress is withdrawn.
func (s *Sidecar) resetReportedDigest() {
	s.digestReported, s.reportedDigest, s.expectedDigest = false, "", ""
	s.withdrawReload()
}

// withdrawReload abandons a reload that the process has not confirmed. The version stays pending.
func (s *Sidecar) withdrawReload() {
	if s.ByReload {
		s.Candidate, s.ByReload, s.retryAt = 0, false, 0
	}
}

// Report returns the report on this sidecar's versions for the coordinators. name is the name of the sidecar.
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

// pendingReason returns what the newest version is waiting for.
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
