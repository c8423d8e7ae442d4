package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/placement"
)

// errStalled is the cause of the end of an attempt whose stream continues at another server.
var errStalled = errors.New("the stream stalled")

const (
	firstEventAllowance = 2   // usual times to a first event that another server is given, to be in time
	minPatience         = 0.5 // of the gap target, before a server is left
)

// stallWatch has a stream that may be resumed continue at another server where its next event is so late that only
// another server can still send it in time: the gap target, less what another server usually takes to a first event, has
// passed. A stream is migrated once for each attempt that its route allows, and only where the retry budget has a
// permit and there is another server.
type stallWatch struct {
	gateway     *Gateway
	req         *request
	cancel      context.CancelCauseFunc
	timer       *time.Timer // nil: the attempt is not watched
	gapPatience time.Duration
	stopped     bool // guarded by the gateway's lock: the request is not accessed any more
}

// watchStall begins to watch an attempt; the caller has to call stop.
func (g *Gateway) watchStall(req *request, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{gateway: g, req: req, cancel: cancel}
	if !req.route.Idempotent() || req.attempts.arrived+1 >= req.route.Attempts {
		return w
	}
	usual := g.usualFirstEvent(req.route.Name)
	if usual == 0 {
		return w
	}
	w.gapPatience = patience(req.route.TargetGap, usual)
	first := patience(req.route.TargetLatency, usual) - time.Since(req.times.received)
	if req.response.headerSent {
		first = w.gapPatience
	}
	if first > 0 && w.gapPatience > 0 {
		w.timer = time.AfterFunc(first, w.onStall)
	}
	return w
}

// usualFirstEvent is the usual time from an attempt's start to the first event on a route; 0: it is not known yet.
func (g *Gateway) usualFirstEvent(route string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if state := g.routes[route]; state != nil {
		return state.firstEvents.usual()
	}
	return 0
}

// patience is how long an event with a gap target is awaited at one server.
func patience(gapTarget, usual time.Duration) time.Duration {
	return max(time.Duration(minPatience*float64(gapTarget)), gapTarget-firstEventAllowance*usual)
}

// event is called for each event of the stream.
func (w *stallWatch) event() {
	if w.timer != nil {
		w.timer.Reset(w.gapPatience)
	}
}

// stop ends the watch. A timer that fires at this moment finds it stopped and does not access the request, which is
// used without the lock from now on.
func (w *stallWatch) stop() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.gateway.mutex.Lock()
	w.stopped = true
	w.gateway.mutex.Unlock()
}

// onStall runs on the timer's goroutine. It ends the attempt where the stream may continue at another server.
func (w *stallWatch) onStall() {
	g := w.gateway
	g.mutex.Lock()
	migrates := !w.stopped && g.acquireMigration(w.req)
	g.mutex.Unlock()
	if migrates {
		w.cancel(errStalled)
	}
}

// acquireMigration acquires a retry permit for a stream, where another server is there to continue it. The lock is
// held.
func (g *Gateway) acquireMigration(req *request) bool {
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

// endedByStall reports whether an attempt ended because its stream continues at another server.
func endedByStall(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
