package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	usualStartup        = 800 * time.Millisecond // from a start to a configuration and servers
	maxStartup          = 5 * time.Second        // after which a router counts as started
	startupPollInterval = 20 * time.Millisecond
	startupWaitFraction = 0.4 // of a client's time that a request may wait for the start
)

// retryAfterStartup is the Retry-After of a client that came while this router starts.
func (g *Gateway) retryAfterStartup() time.Duration {
	return max(defaultRetryAfter, usualStartup-g.options.Now())
}

// starting reports whether this router may still lack a configuration or servers.
func (g *Gateway) starting() bool { return g.options.Now() < maxStartup }

// waitForStartup waits, while this router starts, until a condition holds, so that a client's last attempt is served.
// It returns when the deadline has passed or the context ends, too: the wait is short enough for the client to come
// back.
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

// startupDeadline is the time until which a request may wait for the start.
func startupDeadline(r *http.Request, received time.Time) time.Time {
	left := defaultTimeout
	if timeout, ok := clientTimeout(r); ok {
		left = timeout
	}
	return received.Add(min(time.Duration(startupWaitFraction*float64(left)), usualStartup))
}
