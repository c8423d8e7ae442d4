package lifecycle

import "time"

// ShutdownWindow is the period from SIGTERM to the end of a process, in which it finishes the requests in progress.
type ShutdownWindow struct {
	Began       time.Time
	AcceptTime  time.Duration // how long new connections are accepted after Began
	MaxDeadline time.Duration // the longest deadline of all request classes
}

// responseWriteTime is reserved at the end of the window for writing the last responses.
const responseWriteTime = 100 * time.Millisecond

// Duration returns how long after Began the process ends, even if requests are still in progress. It has to be less than the
// longest deadline plus 0.7 s: the platform may kill the process that long after SIGTERM.
func (w ShutdownWindow) Duration() time.Duration { return w.AcceptTime + w.MaxDeadline }

// ClampWait returns how long a request that was read at now may wait for its response: maxWait, or less if the window ends
// before. Without this bound a request on a connection that was accepted late would still be in progress when the process ends.
func (w ShutdownWindow) ClampWait(now time.Time, maxWait time.Duration) time.Duration {
	return max(0, min(maxWait, w.Began.Add(w.Duration()-responseWriteTime).Sub(now)))
}

// MaxStartWait is how long a process waits for a server that accepts requests before it becomes ready without one. An application
// whose sidecar never becomes ready cannot start at all. Until a server is known, its requests are refused at once.
const MaxStartWait = 5 * time.Second
