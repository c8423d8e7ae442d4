package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/placement"
)

// errStalled is the cancellation cause of an attempt whose stream is continued at another server.
var errStalled = errors.New("the stream stalled")

const (
	firstEventMultiple = 2   // time reserved for another server's first event, as a multiple of the typical time to a first event
	minTimeoutFraction = 0.5 // lower bound of a stall timeout, as a fraction of the target latency or target gap
)

// stallWatchdog migrates a resumable stream to another server when its next event is late. Of the route's target for the event, a
// part is reserved for the first event of another server (see stallTimeout); the stream migrates when the rest has passed. Each
// migration counts as one of the attempts that the route allows, and needs a permit of the retry budget and another usable server.
//
// The timer calls onStall on a separate goroutine. onStall accesses the request only under the gateway's lock and only until stop
// is called.
type stallWatchdog struct {
	gateway    *Gateway
	req        *request
	cancel     context.CancelCauseFunc
	timer      *time.Timer   // nil: the attempt is not monitored
	gapTimeout time.Duration // the stall timeout between two events
	stopped    bool          // guarded by the gateway's lock; once set, onStall does not access the request
}

// startStallWatchdog starts the watchdog of an attempt. The attempt is not monitored if the request must not be sent again, or if
// the typical time to a first event is not known yet. The caller must call stop when the attempt ends.
func (g *Gateway) startStallWatchdog(req *request, cancel context.CancelCauseFunc) *stallWatchdog {
	w := &stallWatchdog{gateway: g, req: req, cancel: cancel}
	if !req.route.Idempotent() || req.attempts.arrived+1 >= req.route.Attempts {
		return w
	}
	typical := g.typicalFirstEvent(req.route.Name)
	if typical == 0 {
		return w
	}
	w.gapTimeout = stallTimeout(req.route.TargetGap, typical)
	firstTimeout := stallTimeout(req.route.TargetLatency, typical) - time.Since(req.times.received)
	if req.response.headerSent {
		firstTimeout = w.gapTimeout
	}
	if firstTimeout > 0 && w.gapTimeout > 0 {
		w.timer = time.AfterFunc(firstTimeout, w.onStall)
	}
	return w
}

// typicalFirstEvent returns the typical time from the start of an attempt to its first event on a route; 0 if it is not known
// yet.
func (g *Gateway) typicalFirstEvent(route string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if state := g.routes[route]; state != nil {
		return state.firstEvents.typical()
	}
	return 0
}

// stallTimeout returns how long to wait for the next event of the current server, given the target for that event and the typical
// time to another server's first event.
func stallTimeout(target, typicalFirstEvent time.Duration) time.Duration {
	return max(time.Duration(minTimeoutFraction*float64(target)), target-firstEventMultiple*typicalFirstEvent)
}

// eventReceived restarts the timer. It is called for each event of the stream. The attempt is not monitored until the next event if no
// other server could continue the stream after this one.
func (w *stallWatchdog) eventReceived(canContinue bool) {
	switch {
	case w.timer == nil:
	case canContinue:
		w.timer.Reset(w.gapTimeout)
	default:
		w.timer.Stop()
	}
}

// stop ends the monitoring. If the timer fires concurrently, onStall sees that the watchdog is stopped and does not access the
// request, which is used without the lock from now on.
func (w *stallWatchdog) stop() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.gateway.mutex.Lock()
	w.stopped = true
	w.gateway.mutex.Unlock()
}

// onStall runs on the timer's goroutine. It cancels the attempt if the stream can be continued at another server.
func (w *stallWatchdog) onStall() {
	g := w.gateway
	g.mutex.Lock()
	migrate := !w.stopped && g.acquireMigrationPermit(w.req)
	g.mutex.Unlock()
	if migrate {
		w.cancel(errStalled)
	}
}

// acquireMigrationPermit acquires a retry permit for a stream if another server can continue it. The caller holds the lock.
func (g *Gateway) acquireMigrationPermit(req *request) bool {
	s := g.services[req.service]
	if s == nil || req.attempts.retryAcquired {
		return false
	}
	now := g.options.Now()
	usable := func(server *placement.Server) bool {
		return s.connections[server.ID].HasCapacity() && !server.Full(now)
	}
	if s.pool.Reroute(req.placement, usable, now) == nil || !g.retryBudget.AcquireRetry(req.service, now) {
		return false
	}
	req.attempts.retryAcquired = true
	return true
}

// endedByStall reports whether the watchdog cancelled the attempt that has this context.
func endedByStall(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
