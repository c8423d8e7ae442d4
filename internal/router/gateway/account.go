package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/latency"
)

// addPhaseTime adds the time that has passed since a moment to a phase of the request, unless a part of the response has been
// sent already.
func (r *request) addPhaseTime(phase latency.Phase, since time.Time) {
	if !r.response.headerSent {
		r.trace.PhaseTimes[phase] += time.Since(since)
	}
}

// recordFirstByte records the time to the first byte of the response. The time that was not spent in any other phase is
// attributed to the server.
func (r *request) recordFirstByte(dialTime time.Duration) {
	t := &r.trace
	t.TimeToFirstByte = time.Since(r.times.received)
	t.PhaseTimes[latency.Connect] = dialTime
	t.PhaseTimes[latency.Server] = t.TimeToFirstByte
	for phase, spent := range t.PhaseTimes {
		if latency.Phase(phase) != latency.Server {
			t.PhaseTimes[latency.Server] -= spent
		}
	}
}

// recordOutcome adds a request that has ended to the totals, and reports one that missed its latency target to
// Options.OnTargetMissed. Requests that arrived shortly before their deadline, and requests by which an operator checks whether
// a configuration is in force, count like all others.
func (g *Gateway) recordOutcome(r *http.Request, req *request) {
	if req.route == nil {
		return
	}
	if req.trace.FailureReason != "" && errors.Is(r.Context().Err(), context.Canceled) {
		req.trace.FailureReason = latency.ClientGone
	}
	reason := req.trace.Reason(req.route.TargetLatency, req.route.TargetGap)
	g.withLock(func() { g.totals.Add(req.route.Name, &req.trace, reason) })
	if reason != latency.InTime && g.options.OnTargetMissed != nil {
		g.options.OnTargetMissed(req.route.Name, &req.trace, reason)
	}
}

// failureReason returns the reason that is recorded for a request that gets no complete response.
func (g *Gateway) failureReason(req *request, result outcome) latency.Reason {
	switch {
	case !req.attempts.mayHaveRun && g.starting():
		return latency.RefusedStart
	case !req.attempts.mayHaveRun:
		return latency.RefusedServer
	case result == abandoned:
		return latency.LostTimeout
	}
	return latency.LostBroken
}

// LatencyReports returns the latencies and outcomes of the requests since the start, one report for each route. They are part of
// the router's status.
func (g *Gateway) LatencyReports() []latency.Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.totals.Reports()
}
