package rollout

import "time"

// Order asks an agent to run a release in a new process of one sidecar, even if that runs the release already. An agent that has carried
// out an order of this number does nothing.
type Order struct {
	Number  uint64 `json:"number"`
	Sidecar string `json:"sidecar"`
	Release string `json:"release"`
}

// Event is something that happened to a change. Exactly one field is set, besides Accept. Reports, verdicts and times come from the driver,
// the others from operators.
type Event struct {
	Report  *Report       `json:"report,omitempty"`
	Verdict *Verdict      `json:"verdict,omitempty"`
	Elapsed time.Duration `json:"elapsed,omitempty"` // that the driver has watched since it last reported time
	Pause   string        `json:"pause,omitempty"`   // the reason
	Resume  bool          `json:"resume,omitempty"`
	Abort   string        `json:"abort,omitempty"`  // the reason
	Accept  bool          `json:"accept,omitempty"` // with Resume: the operator takes the stage for no worse
}

// Report is what an agent reports of one sidecar.
type Report struct {
	Sidecar        string         `json:"sidecar"`
	Release        string         `json:"release"`
	Ready          bool           `json:"ready"`
	CompletedOrder uint64         `json:"done,omitempty"`   // the last order that is over, successful or not
	FailureReason  string         `json:"failed,omitempty"` // why that one failed; the sidecar runs what Release says
	FallbackReason FallbackReason `json:"fell,omitempty"`   // why the sidecar went back to the confirmed release without an order; "": it did not
}

// FallbackReason says why an agent brought a sidecar back to the confirmed release without an order. Its texts are part of the log.
type FallbackReason string

// The reasons.
const (
	ProcessEnded    FallbackReason = "it ended"
	MachineIsolated FallbackReason = "its machine was cut off" // which is no fault of the release
)

// Verdict is what the judge says of the current stage. With neither Worse nor NoWorse there is not enough evidence.
type Verdict struct {
	Stage         int          `json:"stage"` // counted from 1; a verdict on another stage is late and has no effect
	Worse         bool         `json:"worse,omitempty"`
	BaselineWorse bool         `json:"old,omitempty"` // sidecars with the old release do worse than before the change
	NoWorse       bool         `json:"fine,omitempty"`
	Reason        string       `json:"why"`
	Cells         []CellResult `json:"tally,omitempty"` // what the verdict rests on; not with every verdict
}
