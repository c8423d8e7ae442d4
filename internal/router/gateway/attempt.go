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

// outcome is the result of one attempt.
type outcome int

const (
	completed       outcome = iota // the client has been sent the complete response
	notSent                        // no server received the request
	notExecuted                    // the server reports that it has not run the request
	mayHaveRun                     // the attempt failed after the request was sent, and the client has no part of a response
	brokenMidStream                // the attempt failed, and the client has a part of the response
	abandoned                      // the request's deadline has passed, or its client has disconnected
)

const maxServersTried = 4 // for one request

// serve sends a request to one server after the other, until it is answered or may not be retried any more.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	for tried := 1; ; tried++ {
		server, connections := g.chooseServer(req, tried == 1)
		if server == nil {
			g.giveUp(w, req, notSent)
			return
		}
		req.placement.Tried[server.ID] = true
		req.trace.Server, req.trace.Attempts = server.ID, tried
		start := time.Now()
		result := g.attempt(ctx, w, r, req, server, connections)
		if result == completed {
			g.Counters.Served.Add(1)
			return
		}
		if result == abandoned || tried >= maxServersTried || !g.acquireRetry(req, result) {
			g.giveUp(w, req, result)
			return
		}
		req.addPhaseTime(latency.Rerouted, start)
	}
}

// chooseServer chooses the server of the next attempt and adds the request's work to the server's load. It returns nil if there
// is no usable server left.
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

// acquireRetry reports whether a request may be sent to another server after an attempt with the given outcome. A retry needs an
// attempt that the route still allows and a permit of the retry budget, which acquireRetry takes; neither is needed where no
// server received the request.
func (g *Gateway) acquireRetry(req *request, result outcome) bool {
	if result == notSent {
		return true
	}
	if req.attempts.arrived >= req.route.Attempts {
		return false
	}
	if result != notExecuted && !req.route.Idempotent() {
		return false
	}
	if result == brokenMidStream && !req.response.canContinue() {
		return false // the client has a part of a response, which no other server can complete
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

// giveUp ends a request that is not retried, with a rejection or an error response. Where a part of the response has already
// been sent, it panics with http.ErrAbortHandler, so that net/http aborts the response and it does not look complete.
func (g *Gateway) giveUp(w http.ResponseWriter, req *request, result outcome) {
	req.trace.FailureReason = g.failureReason(req, result)
	if req.response.headerSent {
		panic(http.ErrAbortHandler)
	}
	if !req.attempts.mayHaveRun && req.tenant != nil {
		g.withLock(func() { g.quota.Refund(req.tenant.Name, req.units, g.options.Now()) })
	}
	switch {
	case !req.attempts.mayHaveRun:
		g.reject(w, http.StatusServiceUnavailable, g.retryAfterStartup(), "no server took it")
	case result == abandoned:
		g.fail(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		g.fail(w, http.StatusBadGateway, "the server broke off")
	}
}

// attempt sends a request to one server and relays the response.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request,
	server *placement.Server, connections *backend.Pool) outcome {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := g.startStallWatchdog(req, cancel)
	defer watchdog.stop()
	sentAt := time.Now()
	resp, err := connections.Do(attemptCtx, serverRequest(r, req, server))
	if err != nil {
		return g.recordFailedAttempt(ctx, req, server, sentAt, err, endedByStall(attemptCtx))
	}
	defer resp.Close()
	req.attempts.arrived++
	if !req.response.headerSent {
		req.trace.PhaseTimes[latency.Connect] = resp.DialTime
	}
	load, reported := parseLoad(resp.Header.Get("X-Server-Load"))
	if reported {
		g.recordLoad(server, load)
	}
	if resp.Header.Get("X-Not-Executed") != "" || resp.Status == http.StatusMisdirectedRequest {
		discardBody(resp)
		g.recordAttemptEnd(req, server, signalOfRejection(resp.Status, load, reported))
		return notExecuted
	}
	req.attempts.mayHaveRun = true
	upstream := &upstreamResponse{Response: resp, server: server, watchdog: watchdog, sentAt: sentAt}
	result := g.relay(ctx, w, req, upstream)
	signal := signalOfResponse(result, resp.Status)
	if signal == failure && (endedByStall(attemptCtx) || upstream.outOfMemory) {
		signal = noSignal // the router has ended the attempt because the server is slow, or for want of memory; the server has not failed
	}
	g.recordAttemptEnd(req, server, signal)
	return result
}

// recordFailedAttempt records an attempt that got no response, and returns its outcome. ctx is the context of the request, not
// of the attempt; stalled says that the watchdog cancelled the attempt.
func (g *Gateway) recordFailedAttempt(ctx context.Context, req *request, server *placement.Server, sentAt time.Time,
	err error, stalled bool) outcome {
	contextEnded := ctx.Err() != nil
	unsent := errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrNoConnection)
	signal := signalOfError(ctx, req, time.Since(sentAt), err)
	if stalled && signal == failure {
		signal = noSignal // the attempt was cancelled because the server is slow; it has not failed
	}
	g.recordAttemptEnd(req, server, signal)
	if !unsent {
		req.attempts.arrived++
		req.attempts.mayHaveRun = true
	}
	switch {
	case contextEnded:
		return abandoned
	case unsent:
		return notSent
	}
	return req.brokenOff()
}
