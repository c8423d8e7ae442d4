package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/backend"
	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/routetable"
)

// outcome is what became of one send.
type outcome int

const (
	answered     outcome = iota // the client has its answer
	notSent                     // no server got it
	notExecuted                 // a server says that it has not run it
	mayHaveRun                  // nothing is known, and the client has no part of an answer
	cutMidStream                // the client has a part of the answer
	expired                     // its time is up, or its client is gone
)

const maxDials = 4 // servers that one request tries to reach

// serve sends a request to servers until it is answered or given up.
func (g *Gateway) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	for dials := 0; ; dials++ {
		server, conns := g.choose(req, dials)
		if server == nil {
			g.giveUp(w, req, notSent)
			return
		}
		req.place.Tried[server.ID] = true
		req.trace.Server, req.trace.Attempts = server.ID, dials+1
		asked := time.Now()
		result := g.attempt(ctx, w, r, req, server, conns)
		if result == answered {
			g.Counters.Served.Add(1)
			return
		}
		if result == expired || !g.again(req, result, dials) {
			g.giveUp(w, req, result)
			return
		}
		req.spend(latency.Rerouted, asked)
	}
}

// choose picks the server of the next send.
func (g *Gateway) choose(req *request, dials int) (*placement.Server, *backend.Pool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.services[req.service]
	if s == nil {
		return nil, nil
	}
	usable := func(one *placement.Server) bool { return s.conns[one.ID].HasCapacity() }
	now := g.options.Now()
	var server *placement.Server
	if dials == 0 {
		server = s.pool.Pick(req.place, usable, now)
	} else {
		server = s.pool.Reroute(req.place, usable, now)
	}
	if server == nil {
		return nil, nil
	}
	req.work = req.place.Work(s.pool.PrefixCached(req.place, server, now))
	server.Begin(req.work)
	if req.place.HasAffinity() {
		g.used(req, s, server)
	}
	return server, s.conns[server.ID]
}

// again says whether a request goes to another server.
func (g *Gateway) again(req *request, result outcome, dials int) bool {
	if dials+1 >= maxDials {
		return false
	}
	if result == notSent {
		return true // it never arrived: neither attempts nor budget are used
	}
	if req.sends >= req.route.Attempts {
		return false
	}
	if result != notExecuted && !req.route.Idempotent() {
		return false
	}
	if req.paid {
		req.paid = false
		g.Counters.Migrated.Add(1)
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.retries.AcquireRetry(req.service, g.options.Now()) {
		return false
	}
	g.Counters.Retried.Add(1)
	return true
}

// giveUp gives a request its final answer at once.
func (g *Gateway) giveUp(w http.ResponseWriter, req *request, result outcome) {
	req.trace.FailureReason = g.endOf(req, result)
	if req.headSent {
		panic(http.ErrAbortHandler) // it must not look complete
	}
	if !req.mayHaveRun && req.tenant != nil {
		g.mutex.Lock()
		g.quota.Refund(req.tenant.Name, req.units, g.options.Now())
		g.mutex.Unlock()
	}
	switch {
	case !req.mayHaveRun:
		g.refuse(w, http.StatusServiceUnavailable, g.untilStarted(), "no server took it")
	case result == expired:
		g.fail(w, http.StatusGatewayTimeout, "no answer in time")
	default:
		g.fail(w, http.StatusBadGateway, "the server broke off")
	}
}

// attempt sends a request to one server and passes the answer on.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request,
	server *placement.Server, conns *backend.Pool) outcome {
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := g.watchStall(req, server, cancel)
	defer watch.stop()
	sent := time.Now()
	answer, err := conns.Do(sendCtx, g.outgoing(r, req, server))
	if err != nil {
		return g.failed(ctx, req, server, sent, err, stalledOut(sendCtx))
	}
	defer answer.Close()
	req.sends++
	if !req.headSent {
		req.trace.PhaseTimes[latency.Connect] = answer.DialTime
	}
	load, told := parseLoad(answer.Header.Get("X-Server-Load"))
	if told {
		g.note(server, load)
	}
	if answer.Header.Get("X-Not-Executed") != "" || answer.Status == http.StatusMisdirectedRequest {
		drain(answer)
		g.ended(req, server, judgeRefusal(answer.Status, load, told))
		return notExecuted
	}
	req.mayHaveRun = true
	result := g.relay(ctx, w, req, &stream{answer: answer, server: server, watch: watch, sent: sent})
	judged := judgeAnswer(result, answer.Status)
	if stalledOut(sendCtx) && judged == erred {
		judged = saysNothing // it was left for its load
	}
	g.ended(req, server, judged)
	return result
}

// failed judges a send that got no answer.
func (g *Gateway) failed(ctx context.Context, req *request, server *placement.Server, sent time.Time, err error, stalled bool) outcome {
	gone := ctx.Err() != nil
	unsent := errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrNoConnection)
	judged := judgeError(ctx, req, time.Since(sent), err)
	if stalled && judged == erred {
		judged = saysNothing // it was left for its load
	}
	g.ended(req, server, judged)
	if !unsent {
		req.sends++
		req.mayHaveRun = true
	}
	switch {
	case gone:
		return expired
	case unsent:
		return notSent
	case req.headSent:
		return cutMidStream
	}
	return mayHaveRun
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func dropConnectionHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// outgoing is a request as a server gets it.
func (g *Gateway) outgoing(r *http.Request, req *request, server *placement.Server) *backend.Request {
	header := r.Header.Clone()
	dropConnectionHeaders(header)
	for _, name := range []string{"X-Key", "X-Tenant-Id", "X-Expected-Instance", "Content-Length", "Expect", "Priority"} {
		header.Del(name)
	}
	header.Set("X-Expected-Instance", server.ID)
	left := max(1, time.Until(req.deadline).Milliseconds())
	header.Set("X-Request-Deadline", strconv.FormatInt(left, 10))
	if req.tenant != nil {
		header.Set("X-Tenant-Id", req.tenant.Name)
	}
	if req.route.Kind == routetable.Streaming {
		header.Set("Priority", strconv.Itoa(urgency(req)))
	}
	if req.resume != "" {
		header.Set("Last-Event-Id", req.resume)
	}
	return &backend.Request{ID: req.id, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Body: req.body}
}

const leastUrgent = 9

// urgency ranks by the tenant first, then by the route.
func urgency(req *request) int {
	const routesPerTenant = 3
	rank := min(req.route.Priority, routesPerTenant-1)
	if req.tenant != nil {
		rank += req.tenant.Priority * routesPerTenant
	}
	return max(0, min(leastUrgent, rank))
}
