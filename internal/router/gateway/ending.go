package gateway

import "time"

// elsewhere is when a client that is sent to another sidecar may come: at once.
const elsewhere = 10 * time.Millisecond

// ending says what a sidecar that was told to end still takes.
type ending struct {
	longUntil time.Time // until then it takes requests whose deadline lies beyond the end too
	by        time.Time // when the answers that are still open are cut off
}

// Drain has clients told that their connections close. What is open is answered, until by; from longUntil on a request that
// may take longer than that is refused, so that another sidecar serves it whole.
func (g *Gateway) Drain(longUntil, by time.Time) { g.ending.Store(&ending{longUntil, by}) }

// mayOutlast reports whether a request that came just now may still be open when the sidecar ends.
func (e *ending) mayOutlast(req *request) bool {
	return e != nil && !req.began.Before(e.longUntil) && req.deadline.After(e.by)
}
