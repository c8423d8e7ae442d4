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

// judgement is what one send says of its server.
type judgement int

const (
	saysNothing judgement = iota
	succeeded
	erred
	timedOut
	unreachable  // or another instance by now
	refusedWork  // though it tells that it has places
	leastToAwait = 200 * time.Millisecond
)

// judgeError judges a send that got no answer. A client that went, and one that left the server hardly any time, say nothing.
func judgeError(ctx context.Context, req *request, took time.Duration, err error) judgement {
	switch {
	case errors.Is(err, backend.ErrNoConnection):
		return saysNothing
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= max(leastToAwait, req.route.Aim):
		return timedOut
	case ctx.Err() != nil:
		return saysNothing
	case errors.Is(err, backend.ErrNotSent):
		return unreachable
	}
	return erred
}

// judgeRefusal judges an answer that says that the request did not run.
func judgeRefusal(status int, load serverLoad, told bool) judgement {
	switch {
	case status == http.StatusMisdirectedRequest:
		return unreachable
	case told && load.hasPlaces():
		return refusedWork
	}
	return saysNothing
}

// judgeAnswer judges an answer that was passed on, as far as it came.
func judgeAnswer(result outcome, status int) judgement {
	switch {
	case result == answered && status < http.StatusInternalServerError:
		return succeeded
	case result == expired:
		return saysNothing
	}
	return erred
}

// ended takes in the end of a send.
func (g *Gateway) ended(req *request, server *placement.Server, j judgement) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	server.End(req.work)
	req.work = placement.Work{}
	switch j {
	case saysNothing:
		return
	case succeeded:
		server.Health.Success()
	case erred:
		server.Health.Failure(now, false)
	case timedOut:
		server.Health.TimedOut(now)
	case unreachable:
		server.Health.Failure(now, true)
	case refusedWork: // it is no error of the design's; who refuses more than others is found by all together
	}
	g.tally.Add(server.ID, j != succeeded)
}

// serverLoad is what X-Server-Load tells.
type serverLoad struct {
	running, waiting float64
	slots            int
}

func (l serverLoad) hasPlaces() bool { return l.waiting == 0 && l.running < float64(l.slots) }

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

// note takes in the load that an answer tells.
func (g *Gateway) note(server *placement.Server, load serverLoad) {
	g.mutex.Lock()
	server.ReportLoad(load.running, load.waiting, load.slots, g.options.Now())
	g.mutex.Unlock()
}
