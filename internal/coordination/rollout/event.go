package rollout

import "time"

// Order tells an agent to start a release in a new process of one sidecar, even if the sidecar runs the release already. An agent that has
// accepted the order with this number before does nothing.
type Order struct {
	Number  uint64 `json:"number"`
	Sidecar string `json:"sidecar"`
	Release string `json:"release"`
}

// Event is an input of the state machine. Exactly one field is set, besides Accept. Reports, verdicts and elapsed times come from the
// driver, the others from operators.
type Event struct {
	Report  *Report       `json:"report,omitempty"`
	Verdict *Verdict      `json:"verdict,omitempty"`
	Elapsed time.Duration `json:"elapsed,omitempty"` // how long the driver has observed the change since its last Elapsed event
	Pause   string        `json:"pause,omitempty"`   // the reason
	Resume  bool          `json:"resume,omitempty"`
	Abort   string        `json:"abort,omitempty"`  // the reason
	Accept  bool          `json:"accept,omitempty"` // with Resume: the operator accepts the stage as no worse
}

// Report is an agent's report of the state of one sidecar.
type Report struct {
	Sidecar        string         `json:"sidecar"`
	Release        string         `json:"release"`
	Ready          bool           `json:"ready"`
	CompletedOrder uint64         `json:"done,omitempty"`   // number of the last order that has ended, successful or not
	FailureReason  string         `json:"failed,omitempty"` // why that order failed; "" if it succeeded. The sidecar runs Release in either case
	FallbackReason FallbackReason `json:"fell,omitempty"`   // why the sidecar went back to the confirmed release without an order; "": it did not
}

// FallbackReason is why an agent moved a sidecar back to the confirmed release without an order. Its texts are part of the log.
type FallbackReason string

// The reasons.
const (
	ProcessEnded    FallbackReason = "it ended"
	MachineIsolated FallbackReason = "its machine was cut off" // not a fault of the release
)

// Verdict is the judge's verdict on the current stage. If neither Worse nor NoWorse is set, there is not enough evidence.
type Verdict struct {
	Stage         int          `json:"stage"` // counted from 1; a verdict on a stage other than the current one has no effect
	Worse         bool         `json:"worse,omitempty"`
	BaselineWorse bool         `json:"old,omitempty"` // sidecars with the old release perform worse than before the change
	NoWorse       bool         `json:"fine,omitempty"`
	Reason        string       `json:"why"`
	Cells         []CellResult `json:"tally,omitempty"` // the counts behind the verdict; not every verdict has them
}
