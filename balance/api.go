package balance

// This file is the interface of the module: settings and events in, actions out.
// It takes no decisions; those are all in balance.go. Times are milliseconds.
//
// What the caller owes: one clock for all events, which never goes back; events in the order in which they came
// about, from one goroutine at a time; the actions of each call carried out in their order before the next event
// is handed in; each timer brought back once when it is due; one Outcome for each Send. Slices in events are not
// kept; the actions returned are valid until the next call.

// ServerID names a server; it carries no meaning beyond identity.
type ServerID uint64

// RequestID names a request; a client's later try has another.
type RequestID uint64

// Effect says whether a request may run more than once.
type Effect uint8

// The three effects a class of requests can have.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // servers of one group drop repeats within a window
	Unsafe               // must never run twice
)

// Group says which servers recognise a repeat of a keyed request.
type Group uint8

// The reach of a key.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Effect     Effect
	Group      Group
	Window     float64 // how long a group remembers a key, from the first send that may have run
	Aim        float64 // an answer within this earns full worth
	AimStretch float64 // the aim grows by this multiple of the request's own work
	Deadline   float64 // the client's longest wait over all its tries
	Worth      float64
	LateWorth  float64 // fraction of Worth that an answer after the aim still earns
	Stream     bool
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
	ReportNone ReportVia = iota
	ReportPiggyback
	ReportProbe
)

// Field is one figure of a load report.
type Field uint8

// The figures a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   Field = iota
	FieldInFlight        // requests being handled
	FieldQueue           // requests waiting
	FieldUtil            // fraction of CPU in use
	FieldLatency         // recent service time
	FieldRate            // requests served a second
	FieldErrorRate       // errors a second
)

// Config holds the settings that one sidecar starts with.
type Config struct {
	Seed           uint64
	Number, Peers  int // this sidecar's number, and how many there are
	Zone           int
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request beyond its tenant's share, as a fraction
	Quantum        float64 // least time between two batches of events

	Subscribe bool      // the server list must be asked for
	Reports   ReportVia // how load reports come
	Fields    []Field   // what they hold, in order

	MaxAttempts    int
	Parallel       bool    // two attempts of a request may be in flight together
	Cancel         bool    // attempts may be cancelled
	Probes         bool    // servers may be probed
	Messages       bool    // sidecars may message each other
	WarmKeys       bool    // a server that had a key lately does less work for it
	RetryAfter     bool    // clients are told how long to hold off
	MaxRetryAfter  float64 // the longest hold-off a client obeys
	ConnectTimeout float64

	DrainGrace   float64 // sends to a draining or gone server must stop within this
	ColdFrom     float64 // a server starts at this fraction of its capacity or more
	ColdTime     float64 // and is warm after this
	FallMultiple float64 // a cold server sent more than this multiple of its capacity ...
	FallTime     float64 // ... for this long falls over
	AskWithin    float64 // without a subscription the list must be asked for this often
	AnswerSlack  float64 // an answer this long after the client's deadline still counts

	Goal   Goal
	Prices Prices
}

// Goal weighs the parts of the result; what is refused in overload goes by it.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are taken off the result, each per unit of its own.
type Prices struct{ CrossZone, Waste, Handshake, Probe, Peer, LateFail float64 }

// State is what discovery knows of a server.
type State uint8

// A server's states.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            State
	StartedAt        float64 // 0: long ago
	Rating           float64 // relative size; 1 where nothing is known
	Cell, Zone, Kind int
}

// Memory is what a balancer has learned and may go on with in another process of the same sidecar: nothing of single requests.
// Moments are of the clock that all events have.
type Memory struct {
	Started                              float64
	Servers                              []ServerMemory
	Kinds, Zones                         map[int]float64 // learned sizes
	Classes                              []ClassMemory
	Steady, Slowness, Seen, Quickest     float64
	Learned, Drift, Spare                float64
	AskedRecent, AskedLatest, AskedAt    float64
	ServedRecent, ServedLatest, ServedAt float64
}

// ServerMemory is what is held of one server.
type ServerMemory struct {
	ID                                   ServerID
	Size, Errors, LastError              float64
	RestUntil, Answered                  float64
	Rests                                int
	Dark, Down, Cold                     bool
	ColdSince, Tokens, TokensAt, Running float64
}

// ClassMemory is how long answers of a class take.
type ClassMemory struct{ Count, Mean, Deviation, Longest float64 }

// Event is anything that a sidecar is told: one of the types below.
type Event interface{ event() }

// ListKind says how a server list is to be read.
type ListKind uint8

// The kinds of news from discovery.
const (
	ListFull   ListKind = iota // everything there is
	ListCached                 // everything there was when last seen
	ListDelta                  // changed entries only
	ListFailed                 // a call failed, or the subscription ended; nothing else changed
)

// ServerList is news from discovery. Servers is not kept.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request; it is owed one final answer.
type Request struct {
	ID            RequestID
	Class, Tenant int
	WorkHint      float64 // expected work, 0 if unknown
	Key           uint64
	Remaining     float64 // time until the client gives this try up
	Repeat        bool    // the client says that it tried before
	Write         bool
	Open          bool // its body is still coming and is passed on as it comes: its time begins with Written
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan tells which of them prove that nothing ran.
const (
	OK Result = iota
	Failed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
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
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == Moot }

// Outcome is the end of an attempt; each attempt gets one.
type Outcome struct {
	Request  RequestID
	Attempt  int
	Server   ServerID
	Result   Result
	Took     float64
	Finished bool      // the request needs no answer (any more)
	Spent    bool      // its body is gone: the request cannot be sent again
	Report   []float32 // load report, empty if none; not kept
}

// Written says that the last byte of an open request has left: its server can begin now, and so does its client's time.
type Written struct {
	Request RequestID
	Attempt int
}

// Started says that a streamed answer has begun; the client owns the attempt now.
type Started struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Took    float64
}

// HangUp says that the client is gone; no answer is owed.
type HangUp struct{ Request RequestID }

// Timer is a timer set by SetTimer that came due.
type Timer struct{ Token uint64 }

// ProbeResult is what a probe found.
type ProbeResult struct {
	Server ServerID
	Result Result
	Took   float64
	Report []float32 // not kept
}

// Message is a message from another sidecar. Data is not kept.
type Message struct {
	From int
	Data []byte
}

func (ServerList) event()  {}
func (Request) event()     {}
func (Outcome) event()     {}
func (Started) event()     {}
func (Written) event()     {}
func (HangUp) event()      {}
func (Timer) event()       {}
func (ProbeResult) event() {}
func (Message) event()     {}

// ActionKind says what to do.
type ActionKind uint8

// The actions; the comment names the fields of Action that count.
const (
	Send      ActionKind = iota // Request, Server, At: the attempt is dropped then (0: at the client's deadline)
	Refuse                      // Request, At: how long to hold off; a final answer: a retry does no harm
	Fail                        // Request; a final answer that promises nothing
	Cancel                      // Request, Attempt
	SetTimer                    // Token, At: time from now, Request: need not come back once that is over (0: it must)
	Probe                       // Server
	CloseIdle                   // Server
	Post                        // Peer (-1: all), Data
	Log                         // Text
	Watch                       // subscribe to the server list
	Fetch                       // ask for the whole list once
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Server  ServerID
	At      float64
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
}
