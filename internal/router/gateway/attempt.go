package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
)

// outcome is what became of one attempt.
type outcome int

const (
	answered        outcome = iota // the client has its answer
	notSent                        // no server received it
	notExecuted                    // a server says that it has not run it
	mayHaveRun                     // nothing is known, and the client has no part of an answer
	brokenMidStream                // the client has a part of the answer
	expired                        // its time is up, or its client is gone
)

const maxServersTried = 4 // by one request

// serve sends a request to servers until it is answered or given up.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	for tried := 1; ; tried++ {
		server, connections := g.chooseServer(req, tried == 1)
		if server == nil {
			g.giveUp(w, req, notSent)
			return
		}
		req.placement.Tried[server.ID] = true
		req.trace.Server, req.trace.Attempts = server.ID, tried
		began := time.Now()
		result := g.attempt(ctx, w, r, req, server, connections)
		if result == answered {
			g.Counters.Served.Add(1)
			return
		}
		if result == expired || tried >= maxServersTried || !g.mayRetry(req, result) {
			g.giveUp(w, req, result)
			return
		}
		req.addPhaseTime(latency.Rerouted, began)
	}
}

// chooseServer chooses the server of the next attempt, and adds the request's work to it; nil where none is left.
func (g *Gateway) chooseServer(req *request, first bool) (*placement.Server, *backend.Pool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.services[req.service]
	if s == nil {
		return nil, nil
	}
	usable := func(server *placement.Server) bool { return s.connections[server.ID].HasCapacity() }
	now := g.options.Now()
	var server *placement.Server
	if first {
		server = s.pool.Pick(req.placement, usable, now)
	} else {
		server = s.pool.Reroute(req.placement, usable, now)
	}
	if server == nil {
		return nil, nil
	}
	req.attempts.work = req.placement.Work(s.pool.PrefixCached(req.placement, server, now))
	server.Begin(req.attempts.work)
	if req.placement.HasAffinity() {
		g.recordPrefixUse(req, s, server)
	}
	return server, s.connections[server.ID]
}

// mayRetry reports whether a request goes to another server after an attempt's outcome, and takes what that costs: one
// of the route's attempts and a permit of the retry budget, or neither where no server received it.
func (g *Gateway) mayRetry(req *request, result outcome) bool {
	if result == notSent {
		return true
	}
	if req.attempts.arrived >= req.route.Attempts {
		return false
	}
	if result != notExecuted && !req.route.Idempotent() {
		return false
	}
	if req.attempts.retryAcquired {
		req.attempts.retryAcquired = false
		g.Counters.Migrated.Add(1)
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.retryBudget.AcquireRetry(req.service, g.options.Now()) {
		return false
	}
	g.Counters.Retried.Add(1)
	return true
}

// giveUp gives a request its final answer at once. An answer that has begun is aborted by a panic with
// http.ErrAbortHandler, so that it does not look complete.
func (g *Gateway) giveUp(w http.ResponseWriter, req *request, result outcome) {
	req.trace.FailureReason = g.failureReason(req, result)
	if req.response.headerSent {
		panic(http.ErrAbortHandler)
	}
	if !req.attempts.mayHaveRun && req.tenant != nil {
		g.mutex.Lock()
		g.quota.Refund(req.tenant.Name, req.units, g.options.Now())
		g.mutex.Unlock()
	}
	switch {
	case !req.attempts.mayHaveRun:
		g.reject(w, http.StatusServiceUnavailable, g.retryAfterStartup(), "no server took it")
	case result == expired:
		g.fail(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		g.fail(w, http.StatusBadGateway, "the server broke off")
	}
}

// attempt sends a request to one server and relays the answer.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request,
	server *placement.Server, connections *backend.Pool) outcome {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := g.watchStall(req, cancel)
	defer watch.stop()
	sentAt := time.Now()
	answer, err := connections.Do(attemptCtx, serverRequest(r, req, server))
	if err != nil {
		return g.attemptFailed(ctx, req, server, sentAt, err, endedByStall(attemptCtx))
	}
	defer answer.Close()
	req.attempts.arrived++
	if !req.response.headerSent {
		req.trace.PhaseTimes[latency.Connect] = answer.DialTime
	}
	load, reported := parseLoad(answer.Header.Get("X-Server-Load"))
	if reported {
		g.recordLoad(server, load)
	}
	if answer.Header.Get("X-Not-Executed") != "" || answer.Status == http.StatusMisdirectedRequest {
		drainAnswer(answer)
		g.attemptEnded(req, server, signalOfRejection(answer.Status, load, reported))
		return notExecuted
	}
	req.attempts.mayHaveRun = true
	result := g.relay(ctx, w, req, &serverAnswer{Response: answer, server: server, watch: watch, sentAt: sentAt})
	signal := signalOfAnswer(result, answer.Status)
	if endedByStall(attemptCtx) && signal == failure {
		signal = noSignal // the server was left since it is slow, not since it failed
	}
	g.attemptEnded(req, server, signal)
	return result
}

// attemptFailed records an attempt that got no answer, and returns its outcome. The context is the request's.
func (g *Gateway) attemptFailed(ctx context.Context, req *request, server *placement.Server, sentAt time.Time,
	err error, stalled bool) outcome {
	ended := ctx.Err() != nil
	unsent := errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrNoConnection)
	signal := signalOfError(ctx, req, time.Since(sentAt), err)
	if stalled && signal == failure {
		signal = noSignal // the server was left since it is slow, not since it failed
	}
	g.attemptEnded(req, server, signal)
	if !unsent {
		req.attempts.arrived++
		req.attempts.mayHaveRun = true
	}
	switch {
	case ended:
		return expired
	case unsent:
		return notSent
	case req.response.headerSent:
		return brokenMidStream
	}
	return mayHaveRun
}
