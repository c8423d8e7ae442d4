package lifecycle

import "time"

// ShutdownWindow is the time from SIGTERM to the end of a process, in which it finishes the requests in progress.
type ShutdownWindow struct {
	Began       time.Time
	AcceptTime  time.Duration // for which new connections are accepted after Began
	MaxDeadline time.Duration // the longest deadline of all request classes
}

// responseWriteTime is reserved at the end for the last responses to be written.
const responseWriteTime = 100 * time.Millisecond

// Duration returns how long after Began the process ends, whatever is still open. The platform kills it no sooner than the longest
// deadline and 0.7 s after SIGTERM.
func (w ShutdownWindow) Duration() time.Duration { return w.AcceptTime + w.MaxDeadline }

// ClampWait returns how long a request that is read now may wait for its response, at most maxWait. Without it a request on a
// connection that was accepted last would still be in progress when the process ends.
func (w ShutdownWindow) ClampWait(now time.Time, maxWait time.Duration) time.Duration {
	return max(0, min(maxWait, w.Began.Add(w.Duration()-responseWriteTime).Sub(now)))
}

// MaxStartWait is how long a process waits for a server that accepts requests before it is ready without one. An application whose
// sidecar never becomes ready cannot start at all; until a server is known its requests are refused at once.
const MaxStartWait = 5 * time.Second
