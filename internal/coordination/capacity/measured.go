// Package capacity answers what a fleet of a stated size asks of each role. It is pure: assumptions and measured points go in, state,
// messages, processor time, memory and a verdict beside a budget come out.
package capacity

import "time"

// Point is one figure of one run, of a whole process (or the mean of one role's processes) as seen from outside.
type Point struct {
	Workload string  `json:"workload"` // what the members do: "renewals", "rollout", "watches", "publish", ...
	Role     string  `json:"role"`     // "leader", "follower", "driver", "agent", "sidecar", "member", "tool"
	Metric   string  `json:"metric"`   // with its unit: "cpu_us_s", "bytes_in_s", "bytes_out_s", "messages_in_s", "memory_bytes", ...
	Size     int     `json:"size"`     // members
	Run      int     `json:"run"`      // 1 to 3
	Value    float64 `json:"value"`
}

// Measured is what a scale run leaves behind; it is committed as deploy/capacity-measured.json.
type Measured struct {
	At       time.Time `json:"at"`
	Commit   string    `json:"commit"`
	Machine  string    `json:"machine"` // processors and memory, in words
	Seed     uint64    `json:"seed"`
	FitUpTo  int       `json:"fit_up_to"` // sizes up to here are fitted on; larger ones check the fit
	Points   []Point   `json:"points"`
	Findings []string  `json:"findings,omitempty"` // what failed, or was not run, in words
}
