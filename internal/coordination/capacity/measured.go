package capacity

import "time"

// Point is one measurement of one run: of a process as seen from outside, or the mean of the processes of one role.
type Point struct {
	Workload string  `json:"workload"` // what the members do: "renewals", "rollout", "watches", "publish", ...
	Role     string  `json:"role"`     // "leader", "follower", "driver", "agent", "sidecar", "member", "tool"
	Metric   string  `json:"metric"`   // with its unit: "cpu_us_s", "bytes_in_s", "bytes_out_s", "messages_in_s", "memory_bytes", ...
	Size     int     `json:"size"`     // members
	Run      int     `json:"run"`      // 1 to 3
	Value    float64 `json:"value"`
}

// Measured is the result of a scale run; the committed one is deploy/capacity-measured.json.
type Measured struct {
	At       time.Time `json:"at"`
	Commit   string    `json:"commit"`
	Machine  string    `json:"machine"` // processors and memory, in words
	Seed     uint64    `json:"seed"`
	FitUpTo  int       `json:"fit_up_to"` // sizes up to here are fitted on; larger ones check the fit
	Points   []Point   `json:"points"`
	Findings []string  `json:"findings,omitempty"` // what failed, or was not run, in words
}
