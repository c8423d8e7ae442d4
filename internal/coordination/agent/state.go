package agent

import (
	"time"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rollout"
)

// Phase is the step of a change that a sidecar is in. Its number is persisted, and its text is part of an agent's status.
type Phase uint8

// The phases; see the package's comment.
const (
	Idle Phase = iota
	Starting
	Trial
	Ending
)

func (p Phase) String() string { return [...]string{"idle", "starting", "trial", "ending"}[p] }

// Process identifies a process of a sidecar. The system reuses process IDs; the ID and the start time together identify one
// process.
type Process struct {
	PID          int    `json:"pid"`
	StartTicks   uint64 `json:"began"` // clock ticks between the boot of the system and the start of the process
	Release      string `json:"release"`
	AdminAddress string `json:"door,omitempty"`  // address of its admin endpoint
	StartNumber  uint64 `json:"start,omitempty"` // the value of PersistedState.StartCount when it was started; 0: written by an older agent
}

// Limits are the time limits of a sidecar's changes.
type Limits struct {
	ReadyTimeout       time.Duration // from the start of a process until it is ready for the first time
	TrialPeriod        time.Duration // how long a new process has to run beside the old one
	VersionTrialPeriod time.Duration // the same for a process with a new version of the configuration; 0: TrialPeriod
	TerminationTimeout time.Duration // from SIGTERM to SIGKILL
	IsolationTimeout   time.Duration // how long the machine may be isolated before an unconfirmed release is replaced
	InitialBackoff     time.Duration // before the restart after a first crash; doubles with each further one
	MaxBackoff         time.Duration
}

// backoff returns the delay before the next attempt. failures is the number of consecutive failures before the latest one.
func (l Limits) backoff(failures int) time.Duration {
	pause := l.InitialBackoff << min(failures, 30)
	if pause <= 0 || pause > l.MaxBackoff {
		return l.MaxBackoff
	}
	return pause
}

// PersistedState is the part of a sidecar's state that outlives the agent's process. The agent writes it to the disk before it
// carries out the actions that the state records as requested.
type PersistedState struct {
	Confirmed      string                 `json:"confirmed"`        // the release to fall back to
	Serving        *Process               `json:"now,omitempty"`    // the process that serves; in a change the old one
	Next           *Process               `json:"next,omitempty"`   // the new process of a change
	Terminating    *Process               `json:"doomed,omitempty"` // the process that is killed because its change failed; nothing is started until it has exited
	Target         string                 `json:"to,omitempty"`     // the release of the change in progress
	Order          uint64                 `json:"order,omitempty"`  // the order of the change in progress; 0: the agent's own decision
	Phase          Phase                  `json:"phase"`
	CompletedOrder uint64                 `json:"done,omitempty"`   // the last order that has ended, successfully or not
	FailureReason  string                 `json:"failed,omitempty"` // why CompletedOrder failed; "": it succeeded
	StartCount     uint64                 `json:"starts,omitempty"` // starts requested so far; the last one may have been made by an agent that was killed before it persisted the new process
	FallbackReason rollout.FallbackReason `json:"fell,omitempty"`   // why the sidecar went back to the confirmed release without an order; cleared by the next order
	ConfigurationState
}

// ConfigurationState is the persisted part of what a sidecar knows of versions of its configuration. A revision of 0 stands for the
// settings of the release alone.
type ConfigurationState struct {
	InForce         distribute.Revision `json:"in_force,omitempty"` // the version of every start, except the start that applies a candidate
	Candidate       distribute.Revision `json:"trying,omitempty"`   // the version being applied; 0: none
	ByReload        bool                `json:"live,omitempty"`     // the candidate is applied by a reload of the serving process; otherwise by a change
	Rejected        distribute.Revision `json:"refused,omitempty"`  // the newest permanently rejected version
	RejectionReason string              `json:"why,omitempty"`
}

// Action is an action that the caller has to carry out. Exactly one of Start, Term, Kill, Reload and Check is set.
type Action struct {
	Start   string              // start a process of this release with Version, and report ProcessStarted or StartFailed
	Version distribute.Revision // for Start and Reload; 0: the settings of the release alone
	Term    *Process            // send SIGTERM
	Kill    *Process            // send SIGKILL
	Reload  *Process            // write this process's configuration file with Version, ask it to reload, and report ReloadRequested
	Check   *Check              // have the version checked, and report CheckCompleted
}
