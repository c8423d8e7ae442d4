package lifecycle

import "time"

// Ending is the end of a process that finishes what it has.
type Ending struct {
	Began     time.Time
	Lingering time.Duration // new connections are taken for so long
	Longest   time.Duration // the longest deadline of any class
}

// settle is kept for the answers given last to be written.
const settle = 100 * time.Millisecond

// Last is when the process ends, whatever is open. The platform kills it no sooner than the longest deadline and 0.7 s after it told
// it to end.
func (e Ending) Last() time.Duration { return e.Lingering + e.Longest }

// Within is for how long a request that is read now may wait for its answer: what comes on a connection that was taken last
// would else be open at the end.
func (e Ending) Within(now time.Time, wait time.Duration) time.Duration {
	return max(0, min(wait, e.Began.Add(e.Last()-settle).Sub(now)))
}

// ReadyTime is for how long a process waits for a server that takes requests before it is ready without any. An application
// whose sidecar never is cannot start at all; what it asks until there is a server is refused at once.
const ReadyTime = 5 * time.Second
