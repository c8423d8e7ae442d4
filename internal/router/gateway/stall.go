package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/placement"
)

// errStalled ends a send whose stream goes on at another server.
var errStalled = errors.New("the stream stalled")

const (
	usualFirst    = 0.75 // the quantile of the times to a first part that counts as usual
	firstsWithin  = 2    // usual times to a first part that another server is given to be in time
	leastPatience = 0.5  // of the objective, before a server is left
)

// stallWatch has a stream that may be resumed go on at another server where its next part is so late that only another one can still
// send it in time: an objective, less what another server usually takes to a first part, has passed. A stream is moved once for each
// attempt that its route allows, and only where the budget of retries has room and another server is there.
type stallWatch struct {
	gateway *Gateway
	req     *request
	server  *placement.Server
	cancel  context.CancelCauseFunc
	timer   *time.Timer // nil: it is not watched
	pause   time.Duration
	stopped bool // guarded by the gateway's lock: the request is not looked at any more
}

// watchStall begins to watch a send; stop has to be called.
func (g *Gateway) watchStall(req *request, server *placement.Server, cancel context.CancelCauseFunc) *stallWatch {
	w := &stallWatch{gateway: g, req: req, server: server, cancel: cancel}
	if !req.route.Idempotent() || req.sends+1 >= req.route.Attempts {
		return w
	}
	g.mutex.Lock()
	usual := g.firsts[req.route.Name].quantile(usualFirst)
	g.mutex.Unlock()
	if usual == 0 {
		return w
	}
	w.pause = patience(req.route.GapAim, usual)
	first := patience(req.route.Aim, usual) - time.Since(req.began)
	if req.headSent {
		first = w.pause
	}
	if first > 0 && w.pause > 0 {
		w.timer = time.AfterFunc(first, w.stalled)
	}
	return w
}

// patience is how long a part that has an objective is waited for at one server.
func patience(aim, usual time.Duration) time.Duration {
	return max(time.Duration(leastPatience*float64(aim)), aim-firstsWithin*usual)
}

// event notes that a part of the stream came.
func (w *stallWatch) event() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

// stop ends the watch: a timer that fires at this moment finds it stopped, and leaves the request alone, which goes on without the lock.
func (w *stallWatch) stop() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.gateway.mutex.Lock()
	w.stopped = true
	w.gateway.mutex.Unlock()
}

// stalled ends the send where the stream may go on elsewhere.
func (w *stallWatch) stalled() {
	g := w.gateway
	g.mutex.Lock()
	moves := !w.stopped && g.mayMove(w.req)
	g.mutex.Unlock()
	if moves {
		w.cancel(errStalled)
	}
}

// mayMove takes leave for one more send of a stream. The lock is held.
func (g *Gateway) mayMove(req *request) bool {
	s := g.services[req.service]
	if s == nil || req.paid {
		return false
	}
	now := g.options.Now()
	usable := func(one *placement.Server) bool { return s.conns[one.ID].HasCapacity() && !one.Full(now) }
	if s.pool.Reroute(req.place, usable, now) == nil || !g.retries.AcquireRetry(req.service, now) {
		return false
	}
	req.paid = true
	return true
}

// stalledOut reports whether a send ended because its stream goes on elsewhere.
func stalledOut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
