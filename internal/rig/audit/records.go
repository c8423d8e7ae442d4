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

// Call is one try of a client, as the client saw it. Times count from the start of the run.
type Call struct {
	Trace string // its id, new with every try
	Op    string // what the client wants done: the same for all its tries
	Key   string // of a keyed request
	Class string

	Sidecar  int
	Due      time.Duration // when the schedule had it; a later try's is when its wait was over
	Sent     time.Duration // when its last byte was written; Never: it was not taken
	Patience time.Duration // how long the client waits from Sent on
	Retry    bool

	Result     Result
	Status     int
	Answered   time.Duration // the last byte of the answer; Never: none came
	Body       uint64        // BodySum of a served answer
	RetryAfter time.Duration // as the answer said, 0: it said nothing
	HungUp     time.Duration // when the client went away; Never: it did not
	Crossed    time.Duration // when a kept connection ended under it, and it was sent once more on a new one; 0: it was not
}

// Result is what a client got.
type Result uint8

// The results. Unreached: the request was not taken. Lost: it was taken, and no whole answer came.
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
	Trace, Op, Key, Class string
	Server                string // the instance's name
	Place                 string // the name of the first instance at its address
	Zone                  string
	Cell                  int

	First time.Duration // its first byte
	Last  time.Duration // its last byte; Never: it did not come whole
	Began time.Duration // when work on it began; Never: it did not run
	End   time.Duration // when the answer was written, or the server gave it up
	Work  time.Duration // core time it asks for

	Repeat   bool // its key was known: it had no effect
	NeverRan bool // it was answered with the mark that it never ran
	Status   int  // of the answer; 0: none, or none that can be read
	Body     uint64
	Unwanted bool // the sidecar was gone before the answer was written
}

// MayHaveRun reports whether nothing proves to the sidecar that the attempt did not run.
func (a *Attempt) MayHaveRun() bool { return a.Last != Never && !a.NeverRan }

// State is what discovery says of a server.
type State string

// The states.
const (
	Up       State = "up"
	Draining State = "draining"
	Removed  State = "removed"
)

// Told is news of a server that discovery has written to a sidecar.
type Told struct {
	Sidecar int
	Server  string
	State   State
	At      time.Duration
}

// Life is one life of a server's process.
type Life struct {
	Server, Place string
	Start, End    time.Duration // Start is Never for what ran long before
	Cold          scenario.SlowStart
	Fell          time.Duration // when it fell over; Never: it did not
}

// Kill is a time in which a sidecar could not answer, because the run ended its process.
type Kill struct {
	Sidecar  int
	From, To time.Duration
}

// Records is all that was seen.
type Records struct {
	Calls    []Call
	Attempts []Attempt
	Told     []Told
	Lives    []Life
	Kills    []Kill
	Began    time.Duration // when the load began: the scenario's times count from there
	Extras   []string      // traces of calls after whose answer more came on the connection
}

// Recorder collects records from many goroutines.
type Recorder struct {
	mu sync.Mutex
	r  Records
}

// Call books a client's try.
func (r *Recorder) Call(c Call) { add(r, &r.r.Calls, c) }

// Attempt books a request at a server.
func (r *Recorder) Attempt(a Attempt) { add(r, &r.r.Attempts, a) }

// Told books news that a sidecar was told.
func (r *Recorder) Told(t Told) { add(r, &r.r.Told, t) }

// Life books a server's life.
func (r *Recorder) Life(l Life) { add(r, &r.r.Lives, l) }

// Extra books that more came on a connection than the answer to the call of this trace.
func (r *Recorder) Extra(trace string) { add(r, &r.r.Extras, trace) }

// Kill books a sidecar's end.
func (r *Recorder) Kill(k Kill) { add(r, &r.r.Kills, k) }

func add[T any](r *Recorder, list *[]T, v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, v)
}

// Records is a copy of what was booked so far.
func (r *Recorder) Records() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Records{
		Calls: slices.Clone(r.r.Calls), Attempts: slices.Clone(r.r.Attempts), Told: slices.Clone(r.r.Told),
		Lives: slices.Clone(r.r.Lives), Kills: slices.Clone(r.r.Kills), Extras: slices.Clone(r.r.Extras),
	}
}

// BodySum stands for a body in records.
func BodySum(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64()
}
