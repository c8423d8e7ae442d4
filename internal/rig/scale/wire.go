package scale

import (
	"time"

	"petrelhook/internal/coordination/distribute"
)

// request is one line of JSON that a run writes to a process of hollow members; the response is one line, too. One field is set.
// The process ends with its input.
type request struct {
	Join    *join             `json:"join,omitempty"`   // first, and once
	Sample  bool              `json:"sample,omitempty"` // what the members have sent and received until now
	Await   *condition        `json:"await,omitempty"`  // the response comes when the condition holds for all members
	Adopted *adoptionsRequest `json:"taken,omitempty"`  // which versions the members have adopted
}

// join describes the members that a process is to have.
type join struct {
	Workload     string        `json:"workload"`
	Coordinators []string      `json:"coordinators"`
	Members      span          `json:"members"`
	Size         int           `json:"size"` // members of all processes
	Seed         uint64        `json:"seed"`
	TTL          time.Duration `json:"ttl_ns,omitempty"` // of sessions
	Application  string        `json:"application,omitempty"`
	Release      string        `json:"release,omitempty"` // the release that sidecars run at first
}

// condition is what a run waits for.
type condition struct {
	Calls   uint64 `json:"calls,omitempty"`   // polls that each agent has answered, or responses that each subscriber has got, at least
	Release string `json:"release,omitempty"` // each sidecar runs this release
	// Revisions are the lowest revisions that members may have, by service.
	Revisions map[string]distribute.Revision `json:"holds,omitempty"`
}

// adoptionsRequest asks for the versions that members have adopted, from a revision on.
type adoptionsRequest struct {
	From distribute.Revision `json:"from"`
}

// response is what a process of hollow members answers.
type response struct {
	Err       string     `json:"err,omitempty"`
	Agents    []string   `json:"agents,omitempty"` // their addresses, in the order of members
	Sample    *sample    `json:"sample,omitempty"`
	InForce   []int64    `json:"in_force,omitempty"` // when the condition came to hold for each member, in ns of the machine's monotonic clock
	Adoptions []adoption `json:"takes,omitempty"`
}

// sample is all that the members of a process have done since they joined.
type sample struct {
	Time       int64              `json:"at"`    // ns of the machine's monotonic clock
	Traffic    map[string]traffic `json:"of"`    // by the address of a coordinator; for agents the one key is driverEnd
	LostLeases int                `json:"lost"`  // leases that members do not hold any more
	MinPolls   uint64             `json:"least"` // polls that the agent with fewest has answered
	// Waiting is the number of calls without a response yet, by the address of a coordinator.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// driverEnd stands for the caller of agents, in sample.Traffic.
const driverEnd = "driver"

// traffic is what went over connections, from the point of view of the coordinator: In is what it received.
type traffic struct {
	In          uint64 `json:"in"`  // bytes
	Out         uint64 `json:"out"` // bytes
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	Open        int    `json:"open"` // connections
}

func (t traffic) plus(o traffic) traffic {
	return traffic{t.In + o.In, t.Out + o.Out, t.MessagesIn + o.MessagesIn, t.MessagesOut + o.MessagesOut,
		t.Open + o.Open}
}

// minus is the traffic since o; connections are the present ones.
func (t traffic) minus(o traffic) traffic {
	return traffic{t.In - o.In, t.Out - o.Out, t.MessagesIn - o.MessagesIn, t.MessagesOut - o.MessagesOut, t.Open}
}
