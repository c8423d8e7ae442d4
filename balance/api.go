package balance

// This file declares the interface of the module: events go in, actions come out. It makes no decisions. The settings are in
// config.go; the state that one process hands to the next is in snapshot.go.
//
// All times, durations and latencies are in milliseconds; points in time are on the caller's clock. The caller must:
//
//   - use one clock for all events, which never goes back;
//   - hand in events in the order in which they occurred, from one goroutine at a time;
//   - carry out the actions of each call in order before it hands in the next event;
//   - hand in each timer once, when it is due, and one Outcome for each Send.
//
// The balancer keeps no slice of an event. The returned actions are valid until the next call.

// ServerID identifies a server and has no other meaning. The caller chooses it, and all sidecars must use the same ID for a
// server: key affinity and the ring of servers are computed from it.
type ServerID uint64

// RequestID identifies a request until its last attempt has ended. It is below 2^52. A client's retry is another request with its
// own ID.
type RequestID uint64

// ServerState is the state of a server as discovery reports it.
type ServerState uint8

// The states of a server.
const (
	Ready    ServerState = iota // accepts requests
	Draining                    // finishes the requests that it has and must get no new ones
	Removed                     // no longer exists
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            ServerState
	StartedAt        float64 // when it last started; 0: long ago
	Capacity         float64 // relative to other servers; 1 if unknown
	Cell, Zone, Kind int     // Kind is that of its machine: servers of one kind share a part of their learned capacity
}

// Event is an input of the balancer: one of the types below.
type Event interface{ event() }

// ListKind says which servers a ServerList contains.
type ListKind uint8

// The kinds of updates from discovery.
const (
	ListFull   ListKind = iota // all servers
	ListCached                 // all servers, as last seen
	ListDelta                  // changed entries only
	ListFailed                 // none: a call failed, or the subscription ended, and the list is unchanged
)

// ServerList is an update from discovery.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request. It gets one final answer: the response of an attempt, a Reject or a Fail.
type Request struct {
	ID            RequestID
	Class, Tenant int
	WorkHint      float64 // expected work, 0 if unknown; not used
	Key           uint64  // hash of the subject of the request, for affinity; 0: none
	Remaining     float64 // time until the client gives up
	ClientRetry   bool    // the client says that it is a retry
	Write         bool    // the request changes data; not used
	BodyOpen      bool    // the body is still arriving and is streamed to the server: the time limits begin with BodySent
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan says which of them prove that nothing ran.
const (
	OK            Result = iota // answered
	Failed                      // answered with an error
	Rejected                    // the server had no capacity and did not execute the request
	TimedOut                    // no answer in time
	ConnectFailed               // no connection to the server
	Reset                       // the connection was lost after a part of the request had been sent
	Cancelled                   // by the sidecar
	NotSent                     // no part of the request was sent
)

// String returns the name of the result in logs.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt; each attempt has exactly one.
type Outcome struct {
	Request      RequestID
	Attempt      int // number of the attempt within the request, from 0
	Server       ServerID
	Result       Result
	Latency      float64   // from Send until the end
	Finished     bool      // the request needs no further answer
	BodyConsumed bool      // part of its streamed body was read: the request cannot be sent again
	LoadReport   []float32 // in the order of Config.Fields; empty: none
}

// BodySent says that the last byte of a request with BodyOpen was sent. Only now can the server begin its work, so the time
// limits of the request and of its attempt begin.
type BodySent struct {
	Request RequestID
	Attempt int
}

// ResponseStarted says that a streamed answer has begun. The client is reading it, so there are no more retries.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Latency float64
}

// ClientGone says that the client has disconnected; it gets no answer.
type ClientGone struct{ Request RequestID }

// Timer says that a timer of SetTimer is due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Server     ServerID
	Result     Result
	Latency    float64
	LoadReport []float32 // in the order of Config.Fields
}

// Message is a message from another sidecar. The balancer ignores it.
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

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. Each comment lists the fields of Action that are set.
const (
	Send       ActionKind = iota // Request, Server, After: when the attempt times out (0: at the client's deadline)
	Reject                       // Request, After: when to retry (0: not given); the final answer if a client's retry is harmless
	Fail                         // Request; the final answer if a client's retry could be executed a second time
	Cancel                       // Request, Attempt; the Outcome of the attempt still follows
	SetTimer                     // Token, After, Request: the timer may be dropped once this request has ended (0: never)
	Probe                        // Server: get a load report; a ProbeResult follows
	CloseIdle                    // Server: close the idle connections to it
	SendToPeer                   // Peer (-1: all), Data
	Log                          // Text
	WatchList                    // subscribe to the server list; a ServerList follows for each update, and at the end
	FetchList                    // ask for the complete list once; a ServerList follows
)

// Action is one instruction to the caller. Actions are carried out in order.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int // number of the attempt within the request, from 0
	Server  ServerID
	After   float64 // milliseconds from now
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
}
