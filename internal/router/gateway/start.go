package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	startUsually = 800 * time.Millisecond // from a start to a configuration and servers
	startAtMost  = 5 * time.Second        // after which a sidecar counts as started
	startLook    = 20 * time.Millisecond
	startShare   = 0.4 // of a client's time that a request may wait for the start
)

// untilStarted is when a client that came while this sidecar starts had better come back.
func (g *Gateway) untilStarted() time.Duration {
	return max(retrySoon, startUsually-g.options.Now())
}

// starting reports whether this sidecar may still lack what it serves from.
func (g *Gateway) starting() bool { return g.options.Now() < startAtMost }

// waitForStart waits, while this sidecar starts, until something holds, so that a client on its last try is served; the
// wait ends early enough for the client to come back.
func (g *Gateway) waitForStart(ctx context.Context, until time.Time, holds func() bool) bool {
	if holds() {
		return true
	}
	ticker := time.NewTicker(startLook)
	defer ticker.Stop()
	for g.starting() && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if holds() {
			return true
		}
	}
	return false
}

// startLimit is until when a request may wait for the start.
func startLimit(r *http.Request, began time.Time) time.Time {
	left := defaultDeadline
	if told, ok := clientTime(r); ok {
		left = told
	}
	return began.Add(min(time.Duration(startShare*float64(left)), startUsually))
}
