package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/latency"
)

// addPhaseTime adds the time since then to a phase of a request, if no part of its answer has been sent.
func (r *request) addPhaseTime(phase latency.Phase, since time.Time) {
	if !r.response.headerSent {
		r.trace.PhaseTimes[phase] += time.Since(since)
	}
}

// recordFirstByte records that the first part of the answer is there; what was not spent in other phases was spent at
// the server.
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

// account adds a request that has ended to the totals, and reports one that missed its latency target to
// Options.OnTargetMissed. Requests of clients whose time was nearly up when they came, and those by which
// an operator checks whether a configuration is in force, count like all others.
func (g *Gateway) account(r *http.Request, req *request) {
	if req.route == nil {
		return
	}
	if req.trace.FailureReason != "" && errors.Is(r.Context().Err(), context.Canceled) {
		req.trace.FailureReason = latency.ClientGone
	}
	reason := req.trace.Reason(req.route.TargetLatency, req.route.TargetGap)
	g.mutex.Lock()
	g.totals.Add(req.route.Name, &req.trace, reason)
	g.mutex.Unlock()
	if reason != latency.InTime && g.options.OnTargetMissed != nil {
		g.options.OnTargetMissed(req.route.Name, &req.trace, reason)
	}
}

// failureReason is the reason of a request that is given up.
func (g *Gateway) failureReason(req *request, result outcome) latency.Reason {
	switch {
	case !req.attempts.mayHaveRun && g.starting():
		return latency.RefusedStart
	case !req.attempts.mayHaveRun:
		return latency.RefusedServer
	case result == expired:
		return latency.LostTimeout
	}
	return latency.LostBroken
}

// LatencyReports returns what became of the requests since the start, by route, for the status.
func (g *Gateway) LatencyReports() []latency.Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.totals.Reports()
}
