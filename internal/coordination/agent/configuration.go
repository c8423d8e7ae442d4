package agent

import (
	"fmt"
	"strings"
	"time"

	"petrelhook/internal/coordination/distribute"
)

// Configured is what survives the agent of a sidecar's configuration. Revisions are of versions of its service; 0:
// what its release says by itself.
type Configured struct {
	InForce distribute.Revision `json:"in_force,omitempty"` // every start begins with it, but a version's own change
	Trying  distribute.Revision `json:"trying,omitempty"`   // on its way in; 0: none
	Live    bool                `json:"live,omitempty"`     // by the process that serves; else by a change that goes on
	Refused distribute.Revision `json:"refused,omitempty"`  // the newest that was not put in force, for good
	Why     string              `json:"why,omitempty"`      // and why
}

// Check is a question whether a version can go in: each release that may be started with it has to take it. Where a
// process serves, it is also how it goes in: live, or by a change.
type Check struct {
	Version  distribute.Revision
	Releases [2]string // that runs, and that is confirmed where it is another; "": there is none
	Process  Process   // that serves; the zero one: none does
}

// Verdict is the answer.
type Verdict struct {
	Refused string // by the program of a release, in its own words; "": it is taken
	Unknown string // why it can't be said now; "": it is known
	Live    bool   // the process that serves can take it as it runs: no field differs that it reads only as it starts
}

// news is what a sidecar knows of the versions of its configuration while the agent lives.
type news struct {
	wanted   distribute.Revision // the newest that was taken
	asking   *Check              // it is out
	checked  Check               // was answered with verdict
	verdict  Verdict
	heard    bool          // the process that serves has told what it runs
	told     string        // the digest of the file that it read last; "": it does not tell
	expected string        // the digest of the file that was written for it last; "": none was
	again    time.Duration // when to try again, or to tell again
	tries    int           // in a row, of which nothing came
	late     string        // why
	held     time.Duration // until then an order of a rollout that found no room comes first
}

// crashing is after how many ends in a row, without a yes between, a sidecar is taken not to come up with what is in
// force.
const crashing = 2

// Want tells of the newest version that was taken. An older one is never wanted again.
func (s *Sidecar) Want(version distribute.Revision) {
	if version > s.wanted {
		s.wanted, s.late, s.again, s.tries = version, "", 0, 0
	}
}

// pending reports whether there is a version to be put in force.
func (s *Sidecar) pending() bool { return s.wanted > max(s.InForce, s.Refused) }

// version is what a start begins with.
func (s *Sidecar) version() distribute.Revision {
	if s.Phase == Starting && s.Trying != 0 {
		return s.Trying
	}
	return s.InForce
}

// configure gives what is due for the newest version, where no change goes on. A version whose turn has come is seen
// through or fails before a newer one has its own.
func (s *Sidecar) configure(now time.Duration) []Action {
	switch {
	case s.Trying != 0:
		if s.Serving != nil && now >= s.again {
			return s.tell(now)
		}
		return nil
	case !s.pending() || s.asking != nil || now < s.held || now < s.again:
		return nil
	case s.Serving == nil && (s.asked || s.crashes < crashing): // what is in force comes first
		return nil
	case s.Serving != nil && !(s.ready && s.heard) && now < s.due: // it has just begun
		return nil
	}
	if c := s.question(); s.checked != c {
		s.asking = &c
		return []Action{{Check: &c}}
	}
	s.Trying = s.wanted
	if s.verdict.Live && s.Serving != nil && s.told != "" {
		s.Live = true
		return s.tell(now)
	}
	release := s.Confirmed
	if s.Serving != nil {
		release = s.Serving.Release
	}
	return s.begin(now, release)
}

func (s *Sidecar) question() Check {
	c := Check{Version: s.wanted, Releases: [2]string{s.Confirmed}}
	if s.Serving != nil {
		if c.Process = *s.Serving; s.Serving.Release != s.Confirmed {
			c.Releases = [2]string{s.Serving.Release, s.Confirmed}
		}
	}
	return c
}

// Checked tells what came of a check.
func (s *Sidecar) Checked(now time.Duration, c Check, v Verdict) []Action {
	s.asking = nil
	switch {
	case s.Phase != Idle || !s.pending() || c != s.question(): // it is asked anew when its turn comes
	case v.Unknown != "":
		s.putOff(now, v.Unknown)
	case v.Refused != "":
		s.Refused, s.Why = c.Version, v.Refused
	default:
		s.checked, s.verdict = c, v
	}
	return s.Tick(now)
}

// putOff has what came to nothing by nobody's fault tried again, after a pause that doubles.
func (s *Sidecar) putOff(now time.Duration, why string) {
	pause := s.limits.Pause << min(s.tries, 30)
	if pause <= 0 || pause > s.limits.Most {
		pause = s.limits.Most
	}
	s.tries++
	s.late, s.again, s.checked = why, now+pause, Check{}
}

// tell has the process that serves read its file again, with the version that is on its way.
func (s *Sidecar) tell(now time.Duration) []Action {
	s.expected, s.again = "", now+s.limits.Ready
	return []Action{{Reload: s.Serving, Version: s.Trying}}
}

// Told tells that the file was written, what its digest is, and that the process was asked to read it; or why not.
func (s *Sidecar) Told(now time.Duration, p Process, digest string, err error) {
	switch {
	case !s.Live || s.Serving == nil || *s.Serving != p:
	case err != nil:
		s.Trying, s.Live = 0, false
		s.putOff(now, err.Error())
	default:
		s.expected = digest
	}
}

// Runs tells the digest of the file that a process read last; "": it does not say.
func (s *Sidecar) Runs(p Process, digest string) {
	if s.Serving == nil || *s.Serving != p {
		return
	}
	s.heard, s.told = true, digest
	if s.Live && s.expected != "" && digest == s.expected {
		s.tried("", true)
	}
}

// tried ends what is on its way: "" puts it in force. What is in force stays so whatever comes after, and what is at
// no fault is tried again.
func (s *Sidecar) tried(why string, fault bool) {
	switch {
	case why == "":
		s.InForce, s.again = s.Trying, 0
	case s.InForce != s.Trying && fault:
		s.Refused, s.Why, s.again = s.Trying, why, 0
	}
	s.Trying, s.Live = 0, false
}

// another tells that another process serves, or none: nothing was heard of it yet.
func (s *Sidecar) another() {
	s.heard, s.told, s.expected = false, "", ""
	s.drop()
}

// drop takes back what was told and not read yet: it has its turn later.
func (s *Sidecar) drop() {
	if s.Live {
		s.Trying, s.Live, s.again = 0, false, 0
	}
}

// Report is how the sidecar of a name stands with its versions.
func (s *Sidecar) Report(name string) distribute.Report {
	r := distribute.Report{Sidecar: name, InForce: s.InForce}
	if s.Refused > s.InForce {
		r.Refused, r.Reason = s.Refused, s.Why
	}
	if s.pending() {
		r.Reason = s.waits()
	}
	r.Reason = strings.ReplaceAll(r.Reason, "\n", " ")
	r.Reason = strings.ToValidUTF8(r.Reason[:min(len(r.Reason), distribute.MaxReasonBytes)], "")
	return r
}

// waits says what the newest version waits for.
func (s *Sidecar) waits() string {
	switch {
	case s.Trying != 0 && s.Trying != s.wanted:
		return fmt.Sprintf("revision %d is on its way in", s.Trying)
	case s.Live:
		return "the process that serves was told to read it"
	case s.Trying != 0:
		return [...]string{"", "its process starts", "its process is on trial", "the process before ends"}[s.Phase]
	case s.Phase != Idle && s.Order != 0:
		return fmt.Sprintf("order %d of a rollout goes on", s.Order)
	case s.Phase != Idle:
		return "a change goes on"
	case s.Serving == nil:
		return "no process serves"
	}
	return s.late
}

// occupied is why an order finds no room: what came first.
func (s *Sidecar) occupied(order uint64) error {
	if s.Trying != 0 {
		return fmt.Errorf("order %d: version %d of the configuration is not over: %v", order, s.Trying, s.Phase)
	}
	return fmt.Errorf("order %d: order %d is not over: %v", order, s.Order, s.Phase)
}
