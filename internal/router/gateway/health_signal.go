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

// healthSignal is what one attempt shows of its server's health.
type healthSignal int

const (
	noSignal healthSignal = iota
	success
	failure
	timeout
	unreachable          // or there is another instance at its address by now
	rejectedWithCapacity // it rejected the request though it reports free slots
)

// minTimeToAwait is how long an attempt has to have waited for its server, before a time-out counts against it.
const minTimeToAwait = 200 * time.Millisecond

// signalOfError is the signal of an attempt without an answer. There is none where the client went, and where it left
// the server hardly any time.
func signalOfError(ctx context.Context, req *request, took time.Duration, err error) healthSignal {
	switch {
	case errors.Is(err, backend.ErrNoConnection):
		return noSignal
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= max(minTimeToAwait, req.route.TargetLatency):
		return timeout
	case ctx.Err() != nil:
		return noSignal
	case errors.Is(err, backend.ErrNotSent):
		return unreachable
	}
	return failure
}

// signalOfRejection is the signal of an answer which says that the request did not run; reported says that it has a
// load.
func signalOfRejection(status int, load serverLoad, reported bool) healthSignal {
	switch {
	case status == http.StatusMisdirectedRequest:
		return unreachable
	case reported && load.hasFreeSlot():
		return rejectedWithCapacity
	}
	return noSignal
}

// signalOfAnswer is the signal of an answer that was relayed, as far as it came.
func signalOfAnswer(result outcome, status int) healthSignal {
	switch {
	case result == answered && status < http.StatusInternalServerError:
		return success
	case result == expired:
		return noSignal
	}
	return failure
}

// attemptEnded records the end of an attempt: its work at the server is done, and the server's health changes by the
// signal.
func (g *Gateway) attemptEnded(req *request, server *placement.Server, signal healthSignal) {
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
		// The design does not count it as an error. A server that rejects more than others is found by outlier detection.
	}
	g.tally.Add(server.ID, signal != success)
}

// serverLoad is the value of X-Server-Load.
type serverLoad struct {
	running, waiting float64
	slots            int
}

func (l serverLoad) hasFreeSlot() bool { return l.waiting == 0 && l.running < float64(l.slots) }

// parseLoad parses RUNNING,WAITING,SLOTS.
func parseLoad(header string) (l serverLoad, ok bool) {
	parts := strings.Split(header, ",")
	if len(parts) != 3 {
		return l, false
	}
	var err [3]error
	l.running, err[0] = strconv.ParseFloat(strings.TrimSpace(parts[0]), 64)
	l.waiting, err[1] = strconv.ParseFloat(strings.TrimSpace(parts[1]), 64)
	l.slots, err[2] = strconv.Atoi(strings.TrimSpace(parts[2]))
	return l, err == [3]error{}
}

// recordLoad records the load that a server reported with an answer.
func (g *Gateway) recordLoad(server *placement.Server, load serverLoad) {
	g.mutex.Lock()
	server.ReportLoad(load.running, load.waiting, load.slots, g.options.Now())
	g.mutex.Unlock()
}
