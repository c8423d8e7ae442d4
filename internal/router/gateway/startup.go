package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	typicalStartupTime  = 800 * time.Millisecond // from the start of the process until it has a configuration and servers
	maxStartupTime      = 5 * time.Second        // after which a router is no longer considered to be starting
	startupPollInterval = 20 * time.Millisecond
	startupWaitFraction = 0.4 // fraction of the client's timeout that a request may wait for the startup
)

// retryAfterStartup returns the Retry-After of a rejection during the startup: the time that the startup typically still takes,
// and at least defaultRetryAfter.
func (g *Gateway) retryAfterStartup() time.Duration {
	return max(defaultRetryAfter, typicalStartupTime-g.options.Now())
}

// starting reports whether this router is so new that it may still lack a configuration or servers.
func (g *Gateway) starting() bool { return g.options.Now() < maxStartupTime }

// waitForStartup waits until a condition holds, at most until the end of the startup, the deadline or the end of the context.
// Without the wait, a client whose last attempt arrives during the startup would fail. The deadline leaves the client enough
// time for a retry.
func (g *Gateway) waitForStartup(ctx context.Context, deadline time.Time, condition func() bool) {
	if condition() {
		return
	}
	ticker := time.NewTicker(startupPollInterval)
	defer ticker.Stop()
	for g.starting() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if condition() {
			return
		}
	}
}

// startupDeadline returns the time until which a request may wait for the startup.
func startupDeadline(r *http.Request, received time.Time) time.Time {
	remaining := defaultTimeout
	if timeout, ok := clientTimeout(r); ok {
		remaining = timeout
	}
	return received.Add(min(time.Duration(startupWaitFraction*float64(remaining)), typicalStartupTime))
}
