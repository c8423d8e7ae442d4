package audit

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"petrelhook/internal/rig/scenario"
)

// Never is the time of what did not happen.
const Never = time.Duration(-1)

// Call is one request of a client, as the client saw it. Times count from the start of the run.
type Call struct {
	Trace     string // its id, new with every retry
	Operation string // what the client wants done: the same for all its retries
	Key       string // of a keyed request
	Class     string

	Sidecar     int
	ScheduledAt time.Duration // by the schedule; a retry's is the end of its backoff
	Sent        time.Duration // when its last byte was written; Never: it was not accepted
	Patience    time.Duration // how long the client waits from Sent on
	Retry       bool

	Result           Result
	Status           int
	Answered         time.Duration // the last byte of the answer; Never: none came
	Body             uint64        // BodySum of a served answer
	RetryAfter       time.Duration // of the answer; 0: none
	HungUp           time.Duration // when the client did; Never: it did not
	ConnectionLostAt time.Duration // when its connection, reused, was closed, and it was sent again on a new one; 0: it was not
}

// Result is what a client got.
type Result uint8

// The results. Unreached: the request was not accepted. Lost: it was, and no complete answer came.
const (
	Unreached Result = iota
	Served
	Refused
	Failed
	Lost
)

// String names the result.
func (r Result) String() string {
	return [...]string{"unreached", "served", "refused", "failed", "lost"}[r]
}

// Attempt is one request at a server, as the server saw it.
type Attempt struct {
	Trace, Operation, Key, Class string
	Server                       string // the instance's name
	FirstInstance                string // the name of the first instance at its address
	Zone                         string
	Cell                         int

	FirstByte   time.Duration // its first byte
	LastByte    time.Duration // its last byte; Never: it did not arrive
	WorkStarted time.Duration // when work on it began; Never: it did not run
	End         time.Duration // when the answer was written, or the server gave it up
	Work        time.Duration // core time that it takes

	KeyKnown bool // it was a repeat without effect
	NeverRan bool // its answer had the header that says so
	Status   int  // of the answer; 0: none, or none that can be read
	Body     uint64
	Unwanted bool // the sidecar had closed the connection before the answer was written
}

// MayHaveRun reports whether nothing proves to the sidecar that the attempt did not run.
func (a *Attempt) MayHaveRun() bool { return a.LastByte != Never && !a.NeverRan }

// State is what discovery says of a server.
type State string

// The states.
const (
	Up       State = "up"
	Draining State = "draining"
	Removed  State = "removed"
)

// StateUpdate is the state of a server as discovery has sent it to a sidecar.
type StateUpdate struct {
	Sidecar    int
	Server     string
	State      State
	ReceivedAt time.Duration
}

// Incarnation is one start of a server's process, until its end.
type Incarnation struct {
	Server, FirstInstance string
	Start, End            time.Duration // Start is Never for one that ran long before
	SlowStart             scenario.SlowStart
	CollapsedAt           time.Duration // when it was overloaded in its slow start; Never: it was not
}

// Kill is a time in which a sidecar could not answer, because the run ended its process.
type Kill struct {
	Sidecar  int
	From, To time.Duration
}

// Records is all that was recorded in a run.
type Records struct {
	Calls             []Call
	Attempts          []Attempt
	StateUpdates      []StateUpdate
	Incarnations      []Incarnation
	Kills             []Kill
	Began             time.Duration // when the load began: the scenario's times count from there
	UnexpectedAnswers []string      // traces of calls after whose answer more came on the connection
}

// Recorder collects records. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records Records
}

// Call records a client's request.
func (r *Recorder) Call(c Call) { add(r, &r.records.Calls, c) }

// Attempt records a request at a server.
func (r *Recorder) Attempt(a Attempt) { add(r, &r.records.Attempts, a) }

// StateUpdate records an update that a sidecar received.
func (r *Recorder) StateUpdate(t StateUpdate) { add(r, &r.records.StateUpdates, t) }

// Incarnation records a server's incarnation.
func (r *Recorder) Incarnation(l Incarnation) { add(r, &r.records.Incarnations, l) }

// UnexpectedAnswer records that more came on a connection than the answer to the call of this trace.
func (r *Recorder) UnexpectedAnswer(trace string) { add(r, &r.records.UnexpectedAnswers, trace) }

// Kill records a sidecar's end.
func (r *Recorder) Kill(k Kill) { add(r, &r.records.Kills, k) }

// add appends a record under the lock.
func add[T any](r *Recorder, list *[]T, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, v)
}

// Records returns a copy of what was recorded so far.
func (r *Recorder) Records() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Records{
		Calls: slices.Clone(r.records.Calls), Attempts: slices.Clone(r.records.Attempts), StateUpdates: slices.Clone(r.records.StateUpdates),
		Incarnations: slices.Clone(r.records.Incarnations), Kills: slices.Clone(r.records.Kills), UnexpectedAnswers: slices.Clone(r.records.UnexpectedAnswers),
	}
}

// BodySum is the checksum that stands for a body in records.
func BodySum(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64()
}
