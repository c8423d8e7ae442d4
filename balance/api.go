package balance

// This file is the interface of the module: events in, actions out. It takes no decisions. The settings are in config.go, what one
// process hands to the next is in snapshot.go.
//
// All times, durations and latencies are milliseconds; points in time are of the caller's clock. What the caller must do:
//
//   - use one clock for all events, which never goes back;
//   - hand events in in the order in which they came about, from one goroutine at a time;
//   - carry out the actions of each call in their order before the next event is handed in;
//   - hand in each timer once, when it is due, and one Outcome for each Send.
//
// Slices in events are not kept; the actions returned are valid until the next call.

// ServerID names a server; it carries no meaning beyond identity. The caller chooses it, the same at every sidecar: affinity and the
// ring of servers depend on it.
type ServerID uint64

// RequestID names a request until its last attempt has ended, and is below 2^52. A client's retry of a request is another request with an
// ID of its own.
type RequestID uint64

// ServerState is what discovery says of a server.
type ServerState uint8

// A server's states.
const (
	Ready    ServerState = iota // accepts requests
	Draining                    // finishes what it has and must get nothing new
	Removed                     // does not exist any more
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // when it last started; 0: long ago
	Capacity         float64 // relative to other servers; 1 where nothing is known
	Cell, Zone, Kind int     // Kind is of machine: what is learned of one server's capacity counts for its kind too
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
	WorkHint      float64 // expected work, 0 if unknown; not used
	Key           uint64  // what the request is about, for affinity, as a hash; 0: none
	Remaining     float64 // time until the client gives this request up
	ClientRetry   bool    // the client says that it is a retry
	Write         bool    // it changes data; not used
	BodyOpen      bool    // its body is still arriving and is passed on as it comes: its time begins with BodySent
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan says which of them prove that nothing ran.
const (
	OK            Result = iota // answered
	Failed                      // answered with an error
	Rejected                    // the server had no capacity for it, and did not execute it
	TimedOut                    // no answer in time
	ConnectFailed               // no connection to the server
	Reset                       // the connection was lost after the request had begun to leave
	Cancelled                   // by the sidecar
	NotSent                     // nothing of it was sent
)

// String names the result, as logs and conversations do.
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
	Attempt      int // of the request, from 0
	Server       ServerID
	Result       Result
	Latency      float64   // from Send until the end
	Finished     bool      // the request needs no answer any more
	BodyConsumed bool      // some of its streamed body was read: the request cannot be sent again
	LoadReport   []float32 // in the order of Config.Fields; empty: none
}

// BodySent says that the last byte of a request with BodyOpen was sent: its server can begin, and the time limits of the request and of
// its attempt do.
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

// ClientGone says that the client has gone away; it gets no answer.
type ClientGone struct{ Request RequestID }

// Timer is a timer set by SetTimer that is due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Server     ServerID
	Result     Result
	Latency    float64
	LoadReport []float32 // in the order of Config.Fields
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
	Send       ActionKind = iota // Request, Server, After: when the attempt times out (0: at the client's deadline)
	Reject                       // Request, After: when to retry (0: not said); a final answer: a retry does no harm
	Fail                         // Request; a final answer: a retry could be executed a second time
	Cancel                       // Request, Attempt: its Outcome follows all the same
	SetTimer                     // Token, After, Request: a Timer is not needed once that has ended (0: always)
	Probe                        // Server: get a load report; a ProbeResult follows
	CloseIdle                    // Server: close the idle connections to it
	SendToPeer                   // Peer (-1: all), Data
	Log                          // Text
	WatchList                    // subscribe to the server list; a ServerList follows for each update, and at the end
	FetchList                    // ask for the complete list once; a ServerList follows
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int // of the request, from 0
	Server  ServerID
	After   float64 // milliseconds from now
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
}
