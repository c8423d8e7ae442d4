package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/placement"
)

// healthSignal is what the outcome of one attempt indicates about its server's health.
type healthSignal int

const (
	noSignal healthSignal = iota
	success
	failure
	timeout
	unreachable          // or another instance now has its address
	rejectedWithCapacity // the server rejected the request although it reports a free slot
)

// minTimeoutWait is the minimum time that an attempt must have waited for its server for a timeout to count against the server.
const minTimeoutWait = 200 * time.Millisecond

// signalOfError returns the signal of an attempt that got no response. It is noSignal where the client disconnected, and where
// the deadline left the server hardly any time.
func signalOfError(ctx context.Context, req *request, elapsed time.Duration, err error) healthSignal {
	switch {
	case errors.Is(err, backend.ErrNoConnection):
		return noSignal
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && elapsed >= max(minTimeoutWait, req.route.TargetLatency):
		return timeout
	case ctx.Err() != nil:
		return noSignal
	case errors.Is(err, backend.ErrNotSent):
		return unreachable
	}
	return failure
}

// signalOfRejection returns the signal of a response which reports that the request did not run. reported says whether the
// response has a valid load.
func signalOfRejection(status int, load serverLoad, reported bool) healthSignal {
	switch {
	case status == http.StatusMisdirectedRequest:
		return unreachable
	case reported && load.hasFreeSlot():
		return rejectedWithCapacity
	}
	return noSignal
}

// signalOfResponse returns the signal of a response that was relayed, completely or in part.
func signalOfResponse(result outcome, status int) healthSignal {
	switch {
	case result == completed && status < http.StatusInternalServerError:
		return success
	case result == abandoned:
		return noSignal
	}
	return failure
}

// recordAttemptEnd removes an attempt's work from the load of its server, and updates the server's health and this router's
// tally of outcomes by the signal.
func (g *Gateway) recordAttemptEnd(req *request, server *placement.Server, signal healthSignal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	server.End(req.attempts.work)
	req.attempts.work = placement.Work{}
	switch signal {
	case noSignal:
		return
	case success:
		server.Health.Success()
	case failure:
		server.Health.Failure(now, false)
	case timeout:
		server.Health.TimedOut(now)
	case unreachable:
		server.Health.Failure(now, true)
	case rejectedWithCapacity:
		// The server's health ignores it by design. Outlier detection finds a server that rejects more than others do.
	}
	g.tally.Add(server.ID, signal != success)
}

// serverLoad is the parsed value of the X-Server-Load header.
type serverLoad struct {
	running, waiting float64 // number of requests
	slots            int     // number of requests that the server runs at once
}

func (l serverLoad) hasFreeSlot() bool { return l.waiting == 0 && l.running < float64(l.slots) }

// parseLoad parses an X-Server-Load header, which has the form RUNNING,WAITING,SLOTS.
func parseLoad(header string) (l serverLoad, ok bool) {
	parts := strings.Split(header, ",")
	if len(parts) != 3 {
		return l, false
	}
	var errs [3]error
	l.running, errs[0] = strconv.ParseFloat(strings.TrimSpace(parts[0]), 64)
	l.waiting, errs[1] = strconv.ParseFloat(strings.TrimSpace(parts[1]), 64)
	l.slots, errs[2] = strconv.Atoi(strings.TrimSpace(parts[2]))
	return l, errs == [3]error{}
}

// recordLoad records the load that a server reported with a response.
func (g *Gateway) recordLoad(server *placement.Server, load serverLoad) {
	g.withLock(func() { server.ReportLoad(load.running, load.waiting, load.slots, g.options.Now()) })
}
