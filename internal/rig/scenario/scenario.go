// Package scenario says what a rehearsal consists of: the classes of requests and what servers make of them, the
// fleet, the arrivals, and the faults with their times. It reads this from a text file and holds no state of a run.
//
// A file has one statement a line; "#" begins a comment. The full list of statements and their options is in
// docs/operate/rehearse.md. Whatever is wrong is an *Error that names file, line and field and what would be right;
// a file is taken whole or not at all.
package scenario

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"petrelhook/internal/rig/statement"
)

// Scenario is one rehearsal. Times of arrivals and faults count from the first arrival's due time.
type Scenario struct {
	Name, About string
	Seed        uint64        // of everything that is drawn: works, arrivals, patience
	Length      time.Duration // arrivals go on for this long

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

// Sidecars are the copies of the program under test.
type Sidecars struct {
	Count    int
	Cores    float64
	MemoryMB int // 0: no bound
	Sockets  int // 0: no bound
}

// Server is one of the fleet. It works on as many requests as it has cores; Queue more wait in order, and what comes
// beyond is turned away with the mark that it never ran.
type Server struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64 // work is divided by it
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

// Group says which servers drop a keyed request's repeats.
type Group string

// The reach of a key.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone"
	GroupCell Group = "cell"
)

// Span is a duration that is drawn evenly from a range.
type Span struct{ From, To time.Duration }

// At is the value at part u of the range, u in [0, 1).
func (s Span) At(u float64) time.Duration { return s.From + time.Duration(u*float64(s.To-s.From)) }

// Class is one class of requests.
type Class struct {
	Name     string
	Share    float64 // of the arrivals, relative to the other classes
	Effect   Effect
	Group    Group
	Window   time.Duration // how long a group remembers a key
	Work     Span          // core time at speed 1
	IO       Span          // time that an answer takes beside it, on no core
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Late     float64 // part of the worth that an answer after the aim earns
	Line     int
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Share float64
}

// Clients say how the application's clients behave.
type Clients struct {
	Patience [2]float64    // a try is given up after this part of the class's deadline, drawn evenly
	Retries  int           // further tries after a refusal, or after a failure where the class permits
	Wait     time.Duration // before a further try, where the answer does not say when to come back
	Obey     time.Duration // the longest Retry-After that is obeyed
	Marks    bool          // later tries are marked as such
	Keys     int           // what requests are about is drawn from as many objects
	Skew     float64       // exponent of the zipf law by which it is drawn, over 1; 0: evenly
}

// Discovery says how servers become known.
type Discovery struct {
	Late   time.Duration // a change is told this long after it came about
	Pushed bool          // sidecars are told to expect news unasked, from an agent beside them
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace   time.Duration
	ColdFrom     float64       // what sidecars are told that a server starts at, as a part of its capacity
	ColdTime     time.Duration // ... and after which it is warm
	FallMultiple float64
	FallTime     time.Duration
	AskWithin    time.Duration
	Slack        time.Duration // how much later than it must be something may be seen
}

// Limits are what sidecars are told they may do.
type Limits struct {
	Attempts   int
	Connect    time.Duration
	Idle       time.Duration // servers close a connection that was idle for this long
	RetryAfter time.Duration // 0: clients are not told when to come back
	Probes     bool
	Parallel   bool
	Reports    bool
}

// Shape is how a rate of arrivals changes with time.
type Shape string

// The shapes of arrivals.
const (
	Constant Shape = "constant" // From
	Ramp     Shape = "ramp"     // From to To, evenly over Over
	Step     Shape = "step"     // From, and To from At on
	Wave     Shape = "wave"     // between From and To, a sine with the period Every
	Bursts   Shape = "bursts"   // Size at once, Every so long
	Trace    Shape = "trace"    // as File has it
)

// Arrival is one stream of arrivals; those of all streams come together.
type Arrival struct {
	Shape           Shape
	From, To        float64 // a second
	At, Over, Every time.Duration
	Size            int
	Poisson         bool // the gaps are drawn, not even
	File            string
	Line            int
}

// Kind is what goes wrong.
type Kind string

// The faults. Those of servers first; the last three befall discovery.
const (
	Slow     Kind = "slow"      // work takes Factor times as long
	Stall    Kind = "stall"     // nothing is worked on and nothing answered; it goes on where it stood
	Fail     Kind = "error"     // Part of the requests run and answer 500
	Garble   Kind = "garble"    // Part of the answers are no HTTP
	ResetIn  Kind = "reset-in"  // Part of the requests are reset before their last byte is read
	ResetOut Kind = "reset-out" // Part of the requests run, and are reset in place of an answer
	Silent   Kind = "silent"    // the machine is cut off
	Full     Kind = "full"      // everything is turned away, marked as never run
	Drain    Kind = "drain"     // it finishes what it has and wants nothing new
	Gone     Kind = "gone"      // Drain for Drain, then the process ends for good
	Restart  Kind = "restart"   // the process dies, and is back Down later, cold
	Replace  Kind = "replace"   // Drain for Drain, ends, and Down later another has its address, cold, by another name
	Roll     Kind = "roll"      // Replace, Batch at a time, Every so long

	DiscoveryDown   Kind = "down" // calls are refused, watches end
	DiscoverySilent Kind = "mute" // nothing is said and nothing answered
	DiscoveryLate   Kind = "late" // changes are told By later
)

// DiscoveryTarget is the target of faults that befall discovery.
const DiscoveryTarget = "discovery"

// Fault is one thing that goes wrong, at one server or at discovery.
type Fault struct {
	At     time.Duration
	For    time.Duration // 0 where the kind has its own end or none
	Target string        // a server's name, or DiscoveryTarget
	Kind   Kind
	Factor float64
	Part   float64
	By     time.Duration
	Drain  time.Duration
	Down   time.Duration
	Cold   Cold
	Line   int
}

// End is when the fault's cause is over; what comes of it may last.
func (f Fault) End() time.Duration { return f.At + f.For + f.Drain + f.Down }

// String is the fault as a label.
func (f Fault) String() string {
	text := fmt.Sprintf("%v %s %s", f.At, f.Target, f.Kind)
	if f.For > 0 {
		text += fmt.Sprintf(" for %v", f.For)
	}
	return text
}

// Server gives a server by its name.
func (s *Scenario) Server(name string) (Server, bool) {
	for _, server := range s.Servers {
		if server.Name == name {
			return server, true
		}
	}
	return Server{}, false
}

// Class gives the position of a class, -1 where there is none of that name.
func (s *Scenario) Class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Draw is a number in [0, 1) that follows from the seed and the words alone, so that it does not hang on the order in
// which a run comes to draw it.
func Draw(seed uint64, words ...string) float64 {
	h := fnv.New64a()
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], seed)
	h.Write(s[:])
	for _, w := range words {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	x := h.Sum64() // FNV mixes its high bits badly: the finaliser of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// Error is what is wrong with a file, and where.
type Error = statement.Error
