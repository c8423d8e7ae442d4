package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"petrelhook/internal/router/settings"
)

// listeners are a router's open addresses. The servers of addresses that the settings leave out are nil.
type listeners struct {
	internal net.Listener // for other routers
	front    *http.Server // for clients
	ready    *http.Server // for the platform
	control  *http.Server // for model servers and operators
}

// Bounds on callers before the configuration is known, and on what it may allow.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout is the longest time between two requests on a connection. Clients may use one that has rested for
	// four fifths of the configuration's time.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 256 << 10
)

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

const (
	// notReadyPeriod is how long clients' connections are accepted after the router said that it is not ready: the
	// platform asks once a second, and needs two answers.
	notReadyPeriod = 3200 * time.Millisecond
	// longRequestFraction is the fraction of the grace period in which requests are still accepted that may last beyond
	// its end.
	longRequestFraction = 0.125
	// exitMargin is how long before the end of the grace period the process ends at the latest.
	exitMargin = 500 * time.Millisecond
	// minOpenFraction is the fraction of the grace period for which clients are served at least, where it is short;
	// connections are accepted for no more than that either.
	minOpenFraction = 0.5
)

// shutdownSchedule is when the steps of a graceful shutdown come.
type shutdownSchedule struct {
	longUntil  time.Time // requests that may last beyond the end are rejected from here on
	closeIdle  time.Time // the listener and idle connections are closed here
	forceClose time.Time // what is still open is closed here
}

func newShutdownSchedule(began time.Time, grace time.Duration) shutdownSchedule {
	fraction := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	last := max(fraction(minOpenFraction), grace-exitMargin)
	return shutdownSchedule{
		longUntil:  began.Add(fraction(longRequestFraction)),
		closeIdle:  began.Add(min(notReadyPeriod, fraction(minOpenFraction))),
		forceClose: began.Add(last),
	}
}

// end shuts down gracefully: the platform learns that the router is not ready and sends no new connections, another
// replica becomes primary, and requests that were read are answered. It returns when all is closed. Run calls it, with
// the ticker of its loop.
func (n *Node) end(open *listeners, ticker *time.Ticker) {
	n.ending.Store(true)
	schedule := newShutdownSchedule(time.Now(), settings.Seconds(n.settings.Bounds.GraceS))
	n.gateway.Drain(schedule.longUntil, schedule.forceClose)
	n.mutex.Lock()
	n.control.replica.Leave(n.now())
	n.performEffects()
	n.mutex.Unlock()
	for range ticker.C {
		n.tick()
		if !time.Now().Before(schedule.closeIdle) {
			break
		}
	}
	n.tickUntil(open.shutdown(schedule.forceClose), ticker)
	open.close()
}

// tickUntil keeps ticking until done is closed.
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

// shutdown closes the clients' listener and idle connections. The channel that it returns is closed when the other
// connections have ended, or at forceClose.
func (l *listeners) shutdown(forceClose time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if l.front == nil {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), forceClose)
		defer cancel()
		_ = l.front.Shutdown(ctx) // its error is that time is up: close ends the rest
	}()
	return done
}

// close closes all listeners and connections. The process ends next, so errors of closing matter to nobody.
func (l *listeners) close() {
	for _, server := range []*http.Server{l.front, l.ready, l.control} {
		if server != nil {
			_ = server.Close()
		}
	}
	_ = l.internal.Close()
}
