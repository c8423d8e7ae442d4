package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/latency"
)

// spend notes that a request spent the time since then in a phase, before the first part of its answer.
func (r *request) spend(phase latency.Phase, since time.Time) {
	if !r.headSent {
		r.trace.PhaseTimes[phase] += time.Since(since)
	}
}

// firstPart notes that the first part of the answer is there; what was not spent elsewhere was spent at the server.
func (r *request) firstPart(dialled time.Duration) {
	t := &r.trace
	t.TimeToFirstByte = time.Since(r.began)
	t.PhaseTimes[latency.Connect] = dialled
	t.PhaseTimes[latency.Server] = t.TimeToFirstByte
	for phase, spent := range t.PhaseTimes {
		if latency.Phase(phase) != latency.Server {
			t.PhaseTimes[latency.Server] -= spent
		}
	}
}

// account adds a request that has ended to the totals, and hands one that missed its objective on. Tries whose time was nearly up when
// they came, and probes of the configuration, count like all others.
func (g *Gateway) account(r *http.Request, req *request) {
	if req.route == nil {
		return
	}
	if req.trace.FailureReason != "" && errors.Is(r.Context().Err(), context.Canceled) {
		req.trace.FailureReason = latency.ClientGone
	}
	pause := req.route.GapAim
	reason := req.trace.Reason(req.route.Aim, pause)
	g.mutex.Lock()
	g.totals.Note(req.route.Name, &req.trace, reason)
	g.mutex.Unlock()
	if reason != latency.InTime && g.options.OnObjectiveMissed != nil {
		g.options.OnObjectiveMissed(req.route.Name, &req.trace, reason)
	}
}

// endOf says why a request is given up.
func (g *Gateway) endOf(req *request, result outcome) latency.Reason {
	switch {
	case !req.mayHaveRun && g.starting():
		return latency.RefusedStart
	case !req.mayHaveRun:
		return latency.RefusedServer
	case result == expired:
		return latency.LostTime
	}
	return latency.LostBroken
}

// LatencyReports tells what became of requests so far, by route.
func (g *Gateway) LatencyReports() []latency.Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.totals.Reports()
}
