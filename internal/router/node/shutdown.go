package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/settings"
)

// listeners holds the listener and the HTTP servers of a router.
type listeners struct {
	internal net.Listener   // for other routers
	front    *http.Server   // for clients; nil if the settings do not contain its address
	servers  []*http.Server // all of them
}

// Limits on HTTP callers. They apply even before the configuration is known, and bound the limits that the configuration may
// set.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without a request is closed. Clients may reuse a connection that has been
	// idle for four fifths of the configured time.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 256 << 10
	// callerReadTimeout bounds the time in which a call of a server, an operator or the platform arrives.
	callerReadTimeout = 30 * time.Second
)

// requestLimits returns the limits on requests in the configuration in force; without one, those of the HTTP servers apply.
func (n *Node) requestLimits() clientlimit.RequestLimits {
	table := n.gateway.Table()
	if table == nil {
		return clientlimit.RequestLimits{}
	}
	limits := table.Limits
	return clientlimit.RequestLimits{HeadBytes: limits.MaxHeaderBytes, HeadTimeout: settings.Milliseconds(limits.HeaderTimeoutMs),
		IdleTimeout: settings.Milliseconds(limits.IdleTimeoutMs)}
}

func (n *Node) newHTTPServer(h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.logger.Std("", 0)}
	clientlimit.Attach(server)
	return server
}

const (
	// notReadyPeriod is how long the router still accepts connections after it has begun to report that it is not ready.
	// The platform probes readiness once a second, and stops sending connections after two failed probes.
	notReadyPeriod = 3200 * time.Millisecond
	// longRequestFraction is the initial fraction of the grace period during which the router still accepts requests that
	// may outlast the period.
	longRequestFraction = 0.125
	// exitMargin is the time between the forced close of all connections and the end of the grace period.
	exitMargin = 500 * time.Millisecond
	// minOpenFraction applies to short grace periods: clients are served for at least this fraction of the period, and new
	// connections are accepted for at most this fraction.
	minOpenFraction = 0.5
)

// shutdownSchedule holds the times of the steps of a graceful shutdown.
type shutdownSchedule struct {
	rejectLongAt time.Time // requests that may outlast the shutdown are rejected from then on
	closeIdleAt  time.Time // the clients' listener and idle connections are closed
	forceCloseAt time.Time // all remaining connections are closed
}

// newShutdownSchedule returns the schedule of a shutdown that begins at a time and has a grace period.
func newShutdownSchedule(began time.Time, grace time.Duration) shutdownSchedule {
	graceFraction := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	untilForceClose := max(graceFraction(minOpenFraction), grace-exitMargin)
	return shutdownSchedule{
		rejectLongAt: began.Add(graceFraction(longRequestFraction)),
		closeIdleAt:  began.Add(min(notReadyPeriod, graceFraction(minOpenFraction))),
		forceCloseAt: began.Add(untilForceClose),
	}
}

// gracefulShutdown reports to the platform that the router is not ready, so that the platform sends no new connections. It
// makes the replica leave, so that another replica becomes primary, and answers the requests that were already read. It
// returns when all listeners and connections are closed. Run calls gracefulShutdown without holding the lock, and passes
// the ticker of its loop.
func (n *Node) gracefulShutdown(opened *listeners, ticker *time.Ticker) {
	n.shuttingDown.Store(true)
	schedule := newShutdownSchedule(time.Now(), settings.Seconds(n.settings.Bounds.GraceS))
	n.gateway.Drain(schedule.rejectLongAt, schedule.forceCloseAt)
	n.withLock(func() {
		n.control.replica.Leave(n.now())
		n.performEffects()
	})
	for range ticker.C {
		n.tick()
		if !time.Now().Before(schedule.closeIdleAt) {
			break
		}
	}
	n.tickUntil(opened.shutdown(schedule.forceCloseAt), ticker)
	opened.close()
}

// tickUntil calls tick at each tick of the ticker until done is closed.
func (n *Node) tickUntil(done <-chan struct{}, ticker *time.Ticker) {
	for {
		select {
		case <-ticker.C:
			n.tick()
		case <-done:
			return
		}
	}
}

// shutdown closes the clients' listener and idle connections. The returned channel is closed when the other client
// connections have ended, or at forceCloseAt.
func (l *listeners) shutdown(forceCloseAt time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if l.front == nil {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), forceCloseAt)
		defer cancel()
		_ = l.front.Shutdown(ctx) // Shutdown fails at the deadline; listeners.close then ends the remaining connections
	}()
	return done
}

// close closes all listeners and connections. It ignores errors, since the process exits next.
func (l *listeners) close() {
	for _, server := range l.servers {
		_ = server.Close()
	}
	_ = l.internal.Close()
}
