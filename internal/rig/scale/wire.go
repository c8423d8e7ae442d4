package scale

import (
	"time"

	"petrelhook/internal/coordination/distribute"
)

// question is one line of JSON that a run writes to a process of hollow members; it is answered by one line. One
// field says what. The end of the lines ends the process.
type question struct {
	Join   *join  `json:"join,omitempty"`   // first, and once
	Sample bool   `json:"sample,omitempty"` // what members have sent and received until now
	Await  *await `json:"await,omitempty"`  // answered when it holds of all members
	Taken  *taken `json:"taken,omitempty"`  // what members have taken
}

// join is what members are told.
type join struct {
	Workload     string        `json:"workload"`
	Coordinators []string      `json:"coordinators"`
	Members      span          `json:"members"`
	Size         int           `json:"size"` // members of all processes
	Seed         uint64        `json:"seed"`
	TTL          time.Duration `json:"ttl_ns,omitempty"` // of sessions
	Application  string        `json:"application,omitempty"`
	Release      string        `json:"release,omitempty"` // that sidecars run at first
}

// await is something that a run waits for.
type await struct {
	Calls   uint64 `json:"calls,omitempty"`   // each agent has answered so many looks; each watcher got so many answers
	Release string `json:"release,omitempty"` // each sidecar runs it
	// Holds is what members have taken at least, by service.
	Holds map[string]distribute.Revision `json:"holds,omitempty"`
}

// taken asks for what members have taken.
type taken struct {
	From distribute.Revision `json:"from"`
}

// answer is a process's.
type answer struct {
	Err     string   `json:"err,omitempty"`
	Agents  []string `json:"agents,omitempty"` // where they listen, in the order of members
	Sample  *sample  `json:"sample,omitempty"`
	InForce []int64  `json:"in_force,omitempty"` // when each member had it, by the machine's monotonic clock, in ns
	Takes   []take   `json:"takes,omitempty"`
}

// sample is all that the members of a process have done since they joined.
type sample struct {
	At    int64              `json:"at"`    // ns of the machine's monotonic clock
	Of    map[string]traffic `json:"of"`    // by the address of a coordinator; agents are called by "driver" only
	Lost  int                `json:"lost"`  // leases that are held no more
	Least uint64             `json:"least"` // looks that the agent with fewest has answered
	// Waiting are the calls that are out, by the address of a coordinator.
	Waiting map[string]int `json:"waiting,omitempty"`
}

// driver is the other end of all calls of agents.
const driverEnd = "driver"

// traffic is what went to and fro, as who is measured (a coordinator) has it: In is what it received.
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

// minus is what was added since; connections are as they are now.
func (t traffic) minus(o traffic) traffic {
	return traffic{t.In - o.In, t.Out - o.Out, t.MessagesIn - o.MessagesIn, t.MessagesOut - o.MessagesOut, t.Open}
}
