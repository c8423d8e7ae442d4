// Package scenario describes a rehearsal: the classes of requests and their costs, the fleet, the arrivals, and the faults with their
// times. It reads the description from a text file and has no state of a run.
//
// A file has one statement a line; "#" begins a comment. The statements and their options are listed in docs/operate/rehearse.md. An
// error in a file is an *Error with file, line, field and what would be valid; a file is accepted completely or not at all.
package scenario

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"petrelhook/internal/rig/statement"
)

// Scenario is one rehearsal. Times of arrivals and faults count from the start of the load. It is not changed once read.
type Scenario struct {
	Name, Description string
	Seed              uint64        // of all random draws: work, arrivals, patience
	Length            time.Duration // of the arrivals

	Sidecars  Sidecars
	Servers   []Server
	Classes   []Class
	Tenants   []Tenant
	Clients   Clients
	Discovery Discovery
	Rules     Rules
	Limits    Limits
	Arrivals  []Arrival
	Faults    []Fault // in order of time
	Crowds    []Crowd
}

// Sidecars are the processes under test.
type Sidecars struct {
	Count    int
	Cores    float64
	MemoryMB int // 0: no limit
	Sockets  int // 0: no limit
}

// Server is one server of the fleet. It works on as many requests as it has cores; Queue more wait in order, and further requests are
// rejected with the header that says that they never ran.
type Server struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64 // the time that work takes is divided by it
	Queue            int
	Line             int
}

// Effect says whether a request may run more than once.
type Effect string

// The three effects.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Group says which servers together drop repeats of a keyed request.
type Group string

// The groups: all servers, those of a zone, those of a cell.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone"
	GroupCell Group = "cell"
)

// Span is a range that a duration is drawn from, uniformly.
type Span struct{ From, To time.Duration }

// Interpolate is the value at a fraction of the range, in [0, 1).
func (s Span) Interpolate(fraction float64) time.Duration {
	return s.From + time.Duration(fraction*float64(s.To-s.From))
}

// Class is one class of requests. In files, the latency target is called aim, the values worth and late.
type Class struct {
	Name          string
	Share         float64 // of the arrivals, relative to the other classes
	Effect        Effect
	Group         Group
	Window        time.Duration // how long a group remembers a key
	Work          Span          // core time at speed 1
	IO            Span          // further time until the answer, without a core
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64
	LateValue     float64 // fraction of Value that an answer after the latency target has
	Line          int
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Share float64
}

// Clients say how the application's clients behave.
type Clients struct {
	Patience      [2]float64    // an attempt is abandoned after a fraction of the class's deadline, drawn from this range
	Retries       int           // after a rejection, or after a failure if the class permits it
	RetryWait     time.Duration // before a retry, if the answer has no Retry-After
	MaxRetryAfter time.Duration // the longest Retry-After that clients obey
	MarkRetries   bool          // retries have a header that says so
	Objects       int           // number of objects that requests are about
	Skew          float64       // exponent of the Zipf distribution that objects are drawn from, over 1; 0: uniform
}

// Discovery says how servers become known.
type Discovery struct {
	Delay  time.Duration // between a change and its announcement
	Pushed bool          // sidecars are configured to get updates from an agent, without a subscription
}

// Rules are the parameters of the four rules that the audit checks.
type Rules struct {
	DrainGrace        time.Duration
	SlowStartFraction float64       // of its capacity, at which a server starts by the sidecars' settings
	SlowStartTime     time.Duration // after which it has all of its capacity
	OverloadMultiple  float64
	OverloadTime      time.Duration
	MaxPollInterval   time.Duration
	Slack             time.Duration // tolerance of the audit for what is observed late
}

// Limits are limits and features of the sidecars' settings.
type Limits struct {
	MaxAttempts      int
	ConnectTimeout   time.Duration
	IdleTimeout      time.Duration // after which servers close an idle connection
	RetryAfter       time.Duration // the longest one that sidecars send; 0: none
	Probes           bool
	ParallelAttempts bool
	Reports          bool
}

// Shape is how the rate of arrivals changes with time.
type Shape string

// The shapes of arrivals.
const (
	Constant Shape = "constant" // FromRate
	Ramp     Shape = "ramp"     // from FromRate to ToRate, linearly over Over
	Step     Shape = "step"     // FromRate, and ToRate from At on
	Wave     Shape = "wave"     // a sine between FromRate and ToRate, with the period Every
	Bursts   Shape = "bursts"   // Size at once, at intervals of Every
	Trace    Shape = "trace"    // those of File
)

// Arrival is one stream of arrivals; the load has those of all streams.
type Arrival struct {
	Shape            Shape
	FromRate, ToRate float64 // a second
	At, Over, Every  time.Duration
	Size             int
	Poisson          bool // intervals are drawn from an exponential distribution, not equal
	File             string
	Line             int
}

// Kind is the kind of a fault. Its text is the word in a file.
type Kind string

// The kinds: first those of servers, then the last three, of discovery.
const (
	Slow            Kind = "slow"      // work takes Factor times as long
	Stall           Kind = "stall"     // the server stops working and answering, and later resumes where it stopped
	ErrorAnswer     Kind = "error"     // Fraction of the requests run and are answered with 500
	MalformedAnswer Kind = "garble"    // Fraction of the answers are not valid HTTP
	ResetRequest    Kind = "reset-in"  // Fraction of the requests are reset before their last byte is read
	ResetResponse   Kind = "reset-out" // Fraction of the requests run, and are reset instead of an answer
	Isolated        Kind = "silent"    // the machine is partitioned from all others
	RejectAll       Kind = "full"      // all requests are rejected, with the header that they never ran
	Drain           Kind = "drain"     // the server finishes what it has and accepts nothing new
	Terminate       Kind = "gone"      // Drain for DrainTime, then the process ends for good
	Restart         Kind = "restart"   // the process crashes, and starts again after Downtime, with a slow start
	Replace         Kind = "replace"   // Drain for DrainTime, then the process ends; after Downtime another with another name starts at its address, with a slow start
	RollingReplace  Kind = "roll"      // Replace for a batch of servers at a time; parsing expands it into Replace

	DiscoveryDown  Kind = "down" // connections are refused, subscriptions end
	DiscoveryStall Kind = "mute" // no updates and no answers
	DiscoveryDelay Kind = "late" // changes are announced Delay later
)

// DiscoveryTarget is the target of faults of discovery.
const DiscoveryTarget = "discovery"

// Fault is one fault, at one server or at discovery. Fields that its kind does not use are zero.
type Fault struct {
	At        time.Duration
	Duration  time.Duration // 0 if the kind has no duration
	Target    string        // a server's name, or DiscoveryTarget
	Kind      Kind
	Factor    float64
	Fraction  float64
	Delay     time.Duration
	DrainTime time.Duration
	Downtime  time.Duration
	SlowStart SlowStart
	Line      int
}

// End is when the cause of the fault ends; its effects may last longer.
func (f Fault) End() time.Duration { return f.At + f.Duration + f.DrainTime + f.Downtime }

// String is a label for reports.
func (f Fault) String() string {
	text := fmt.Sprintf("%v %s %s", f.At, f.Target, f.Kind)
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %v", f.Duration)
	}
	return text
}

// Server returns the server of a name.
func (s *Scenario) Server(name string) (Server, bool) {
	for _, server := range s.Servers {
		if server.Name == name {
			return server, true
		}
	}
	return Server{}, false
}

// Class returns the index of the class of a name, -1 if there is none.
func (s *Scenario) Class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Draw is a number in [0, 1) that depends on the seed and the key alone, and so not on the order in which a run draws.
func Draw(seed uint64, key ...string) float64 {
	h := fnv.New64a()
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], seed)
	h.Write(s[:])
	for _, w := range key {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	x := h.Sum64() // FNV mixes its high bits badly: this is the finaliser of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// Error is an error in a scenario's file.
type Error = statement.Error
