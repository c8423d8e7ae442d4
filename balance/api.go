package balance

// This file is the interface of the module: settings and events in, actions out. It takes no decisions.
//
// All times, durations and latencies are milliseconds. What the caller must do:
//
//   - use one clock for all events, which never goes back;
//   - hand events in in the order in which they came about, from one goroutine at a time;
//   - carry out the actions of each call in their order before the next event is handed in;
//   - hand in each timer once, when it is due, and one Outcome for each Send.
//
// Slices in events are not kept; the actions returned are valid until the next call.

// ServerID names a server; it carries no meaning beyond identity.
type ServerID uint64

// RequestID names a request. A client's retry of it is another request with an ID of its own.
type RequestID uint64

// Effect says whether a request may run more than once.
type Effect uint8

// The three effects that a class of requests can have.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // has an idempotency key: the servers of one group drop repeats within a window
	Unsafe               // must never run twice
)

// Group says which servers recognise the repeat of a keyed request.
type Group uint8

// The servers that share the keys they remember.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes one class of requests.
type Class struct {
	Effect               Effect
	Group                Group
	Window               float64 // how long a group remembers a key, from the first send that may have run
	LatencyTarget        float64 // an answer within this has its full value
	LatencyTargetStretch float64 // the latency target grows by this multiple of the request's own work
	Deadline             float64 // the longest that a client waits, its own retries included
	Value                float64 // of an answer within the latency target
	LateValue            float64 // fraction of Value that an answer after the latency target still has
	Stream               bool    // answers are streams
}

// Tenant is one customer of the service.
type Tenant struct {
	Allowance float64 // requests a second within its share, over all sidecars
	Share     float64 // its fraction of the service
}

// ReportVia says how load reports reach a sidecar.
type ReportVia uint8

// The ways of load reports.
const (
	ReportNone      ReportVia = iota // servers report no load
	ReportPiggyback                  // with each answer
	ReportProbe                      // as the answer to a probe
)

// ReportField is one figure of a load report.
type ReportField uint8

// The figures that a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   ReportField = iota
	FieldInFlight              // requests being handled
	FieldQueue                 // requests waiting
	FieldUtil                  // fraction of CPU in use
	FieldLatency               // recent service time
	FieldRate                  // requests served a second
	FieldErrorRate             // errors a second
)

// Config holds the settings that one sidecar starts with. New completes them; see withDefaults.
type Config struct {
	Seed                        uint64
	SidecarNumber, SidecarCount int // this sidecar's number, from 0, and how many sidecars there are
	Zone                        int // this sidecar's zone
	Classes                     []Class
	Tenants                     []Tenant
	OverShareValue              float64 // value of a request beyond its tenant's share, as a fraction
	BatchInterval               float64 // shortest time between two batches of events

	Subscribe bool          // the server list does not come by itself: subscribe to it
	Reports   ReportVia     // how load reports come
	Fields    []ReportField // what they hold, in order

	MaxAttempts    int     // of one request
	Parallel       bool    // two attempts of a request may be in flight together
	Cancel         bool    // attempts may be cancelled
	Probes         bool    // servers may be probed
	Messages       bool    // sidecars may message each other
	KeyAffinity    bool    // a server that had a key lately does less work for it
	RetryAfter     bool    // rejected clients are told when to retry
	MaxRetryAfter  float64 // the longest such time that a client obeys
	ConnectTimeout float64

	DrainGrace        float64 // sends to a draining or removed server must stop within this
	SlowStartFraction float64 // a server that has just started has at least this fraction of its capacity
	SlowStartTime     float64 // and all of it after this
	OverloadMultiple  float64 // a server in its slow start that is sent more than this multiple of its capacity ...
	OverloadTime      float64 // ... for this long breaks down
	MaxPollInterval   float64 // without a subscription the list must be asked for this often
	AnswerSlack       float64 // an answer this long after the client's deadline still counts

	Goal      Goal
	Penalties Penalties
}

// Goal weighs the parts of the result; which requests are shed in overload goes by it.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Penalties are taken off the result, each for one occurrence of what it is named after.
type Penalties struct{ CrossZone, Waste, Handshake, Probe, PeerMessage, LateFailure float64 }

// ServerState is what discovery knows of a server.
type ServerState uint8

// A server's states.
const (
	Ready    ServerState = iota // takes requests
	Draining                    // finishes what it has and must get nothing new
	Removed                     // does not exist any more
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // 0: long ago
	Capacity         float64 // relative to other servers; 1 where nothing is known
	Cell, Zone, Kind int
}

// Snapshot is what a balancer has learned. Another process of the same sidecar goes on with it; it has nothing of single requests.
// Points in time are of the clock that all events have. Its JSON form passes between versions: the tags must stay.
type Snapshot struct {
	StartedAt        float64          `json:"Started"`
	Servers          []ServerSnapshot `json:"Servers"`
	Kinds            map[int]float64  `json:"Kinds"` // learned logarithms of capacity by kind of server
	Zones            map[int]float64  `json:"Zones"` // ... and by zone
	Classes          []ClassSnapshot  `json:"Classes"`
	ShedFraction     float64          `json:"Steady"`
	MeanLatency      float64          `json:"Slowness"` // as a fraction of the latency target, as is MinLatency
	LatencySamples   float64          `json:"Seen"`
	MinLatency       float64          `json:"Quickest"`
	CapacitySamples  float64          `json:"Learned"`
	MeanCapacityStep float64          `json:"Drift"`
	RetryBudget      float64          `json:"Spare"`
	RequestsRecent   float64          `json:"AskedRecent"` // decayed counts of requests, and when they were decayed last
	RequestsLatest   float64          `json:"AskedLatest"`
	RequestsAt       float64          `json:"AskedAt"`
	AnswersRecent    float64          `json:"ServedRecent"` // the same of answers
	AnswersLatest    float64          `json:"ServedLatest"`
	AnswersAt        float64          `json:"ServedAt"`
}

// ServerSnapshot is what a Snapshot has of one server.
type ServerSnapshot struct {
	ID          ServerID `json:"ID"`
	CapacityLog float64  `json:"Size"` // learned logarithm of capacity, beyond its kind's and zone's
	HealthState
	WarmingUp bool `json:"Cold"`
	SlowStartState
	CurrentWeight float64 `json:"Running"` // in smooth weighted round robin
}

// HealthState is what attempts and probes have shown of a server.
type HealthState struct {
	Errors         float64 `json:"Errors"` // consecutive ones
	LastErrorAt    float64 `json:"LastError"`
	CooldownUntil  float64 `json:"RestUntil"` // 0: no cooldown since it last answered
	AnsweredAt     float64 `json:"Answered"`  // the last time
	Cooldowns      int     `json:"Rests"`     // since it last answered
	ProbeFailed    bool    `json:"Dark"`      // the last probe got no answer
	ConnectionLost bool    `json:"Down"`      // and no answer came since
}

// SlowStartState is a server's last start, and the budget of sends to it while it warms up. In a snapshot it is zero for a server
// that is warm.
type SlowStartState struct {
	SlowStartAt float64 `json:"ColdSince"`
	Tokens      float64 `json:"Tokens"` // sends that were left at TokensAt
	TokensAt    float64 `json:"TokensAt"`
}

// ClassSnapshot is how long answers of a class take, and the longest time that a client had left for a request.
type ClassSnapshot struct {
	Count        float64 `json:"Count"`
	Mean         float64 `json:"Mean"`
	Deviation    float64 `json:"Deviation"`
	MaxRemaining float64 `json:"Longest"`
}

// Event is anything that happens to a sidecar: one of the types below.
type Event interface{ event() }

// ListKind says how a server list is to be read.
type ListKind uint8

// The kinds of updates from discovery.
const (
	ListFull   ListKind = iota // everything there is
	ListCached                 // everything there was when last seen
	ListDelta                  // changed entries only
	ListFailed                 // a call failed, or the subscription ended; nothing else changed
)

// ServerList is an update from discovery.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request. It gets one final answer: that of an attempt, Reject or Fail.
type Request struct {
	ID            RequestID
	Class, Tenant int
	WorkHint      float64 // expected work, 0 if unknown
	Key           uint64
	Remaining     float64 // time until the client gives this request up
	ClientRetry   bool    // the client says that it is a retry
	Write         bool
	BodyOpen      bool // its body is still coming and is passed on as it comes: its time begins with BodySent
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan says which of them prove that nothing ran.
const (
	OK            Result = iota // answered
	Failed                      // answered with an error
	Rejected                    // the server had no room and did not run it
	TimedOut                    // no answer in time
	ConnectFailed               // no connection to the server
	Reset                       // the connection was lost after the request had begun to leave
	Cancelled                   // by the sidecar
	NotSent                     // the sidecar did not begin it
)

// String names the result, for logs.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt; each attempt gets one.
type Outcome struct {
	Request      RequestID
	Attempt      int
	Server       ServerID
	Result       Result
	Latency      float64
	Finished     bool      // the request needs no answer (any more)
	BodyConsumed bool      // its body is gone: the request cannot be sent again
	LoadReport   []float32 // empty if none
}

// BodySent says that the last byte of a request with BodyOpen has left: its server can begin, and the time of its client does.
type BodySent struct {
	Request RequestID
	Attempt int
}

// ResponseStarted says that a streamed answer has begun: the client reads this attempt's answer, and there are no retries any more.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Latency float64
}

// ClientGone says that the client has hung up; it gets no answer.
type ClientGone struct{ Request RequestID }

// Timer is a timer set by SetTimer that is due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Server     ServerID
	Result     Result
	Latency    float64
	LoadReport []float32
}

// Message is a message from another sidecar. The module ignores it.
type Message struct {
	From int
	Data []byte
}

func (ServerList) event()      {}
func (Request) event()         {}
func (Outcome) event()         {}
func (ResponseStarted) event() {}
func (BodySent) event()        {}
func (ClientGone) event()      {}
func (Timer) event()           {}
func (ProbeResult) event()     {}
func (Message) event()         {}

// ActionKind says what to do.
type ActionKind uint8

// The actions; the comment names the fields of Action that count.
const (
	Send       ActionKind = iota // Request, Server, After: the attempt is dropped then (0: at the client's deadline)
	Reject                       // Request, After: when to retry (0: not said); a final answer: a retry does no harm
	Fail                         // Request; a final answer that promises nothing
	Cancel                       // Request, Attempt
	SetTimer                     // Token, After, Request: need not come back once that has ended (0: it must)
	Probe                        // Server: get a load report
	CloseIdle                    // Server: close the idle connections to it
	SendToPeer                   // Peer (-1: all), Data
	Log                          // Text
	WatchList                    // subscribe to the server list
	FetchList                    // ask for the complete list once
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int // of the request, from 0
	Server  ServerID
	After   float64 // from now
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
}
