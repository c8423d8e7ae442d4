package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/eventstream"
	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/routetable"
)

const (
	defaultTimeout    = 30 * time.Second       // for clients that send no X-Request-Deadline
	deadlineMargin    = 3 * time.Millisecond   // subtracted from the client's timeout, so that it gets the response in time
	defaultRetryAfter = 250 * time.Millisecond // where no better estimate is known
)

// request is the state of one client request while it is served. Only the goroutine that serves it accesses it, with the
// exception described at stallWatchdog.
type request struct {
	id   string
	body []byte
	// memory is reserved for the bodies of the request and its response.
	memory        *clientlimit.Reservation
	acceptsChunks bool // the client speaks HTTP/1.1
	route         *routetable.CompiledRoute
	tenant        *routetable.Tenant // nil: a request without a tenant
	service       string
	units         float64 // charged to the tenant's quota
	times         requestTimes
	attempts      attemptState
	response      responseState
	trace         latency.Trace

	placement placement.Request
}

// requestTimes holds the time of a request's arrival and its deadlines.
type requestTimes struct {
	received        time.Time
	deadline        time.Time
	startupDeadline time.Time // until which it may wait for the router's startup
}

// attemptState summarizes a request's attempts so far.
type attemptState struct {
	work          placement.Work // pending at the server of the current attempt
	arrived       int            // number of attempts that reached a server, or may have
	mayHaveRun    bool           // at any server; the request must not be rejected any more then
	retryAcquired bool           // the retry budget has granted a permit for the next attempt
}

// responseState describes which part of the response the client has been sent.
type responseState struct {
	headerSent bool
	isStream   bool                 // the header was that of a stream of events
	sequence   eventstream.Sequence // of the events sent
	// markComplete is called once a stream is complete; nil: its framing says so.
	markComplete func()
}

// canContinue reports whether another server can continue the response after the part that the client has been sent.
func (r *responseState) canContinue() bool { return r.isStream && r.sequence.CanContinue() }

// ServeHTTP implements http.Handler. It serves one request, including all attempts at servers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Counters.Requests.Add(1)
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	req := &request{id: r.Header.Get("X-Request-Id"), acceptsChunks: r.ProtoAtLeast(1, 1), times: requestTimes{received: time.Now()}}
	defer g.recordOutcome(r, req)
	req.memory = g.options.Memory.Reserve(func() { stopReading(w) })
	defer req.memory.Release()
	if !g.readBody(w, r, req) {
		return
	}
	req.times.startupDeadline = startupDeadline(r, req.times.received)
	g.waitForStartup(r.Context(), req.times.startupDeadline, func() bool { return g.table.Load() != nil })
	table := g.table.Load()
	if table == nil {
		g.reject(w, http.StatusServiceUnavailable, g.retryAfterStartup(), "no configuration yet")
		return
	}
	req.addPhaseTime(latency.Start, req.times.received)
	if !g.authorize(w, r, table, req) || !g.admit(w, r, req) {
		return
	}
	if req.route.Kind == routetable.Streaming && req.route.Idempotent() {
		req.response.sequence.StartAfter(r.Header.Get(lastEventIDHeader))
	}
	admitted := time.Now()
	g.waitForStartup(r.Context(), req.times.startupDeadline, func() bool { return g.ServerCount(req.service) > 0 })
	req.addPhaseTime(latency.Start, admitted)
	ctx, cancel := context.WithDeadline(r.Context(), req.times.deadline)
	defer cancel()
	g.serve(ctx, w, r, req)
}

// authorize determines the route and the tenant of a request. It returns false after it has sent an error response because no
// route matches, or because the key is unknown and the route is not public.
func (g *Gateway) authorize(w http.ResponseWriter, r *http.Request, table *routetable.Table, req *request) bool {
	req.route = table.Route(r.Host, r.URL.Path)
	if req.route == nil {
		g.fail(w, http.StatusNotFound, "no route")
		return false
	}
	if !table.HasTenants() {
		return true
	}
	req.tenant = table.TenantOf(r.Header.Get("X-Key"))
	if req.tenant == nil && !req.route.Public {
		g.fail(w, http.StatusUnauthorized, "unknown key")
		return false
	}
	return true
}

// admit decides whether this router serves a request now: the request must end before a drain does, and its tenant's quota
// must suffice. It also chooses the service. It returns false after it has rejected the request.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, req *request) bool {
	req.times.deadline = requestDeadline(r, req.times.received, req.route)
	if g.draining.Load().mayOutlast(req) {
		req.trace.FailureReason = latency.RefusedEnding
		g.reject(w, http.StatusServiceUnavailable, retryAfterWhileDraining, "this router ends before the answer may")
		return false
	}
	req.units = quotaUnits(r, req.tenant)
	req.placement = placementRequest(r)
	req.placement.MaxGap = req.route.TargetGap
	if req.tenant != nil && !g.admitByQuota(w, r, req) {
		return false
	}
	g.withLock(func() {
		req.service = g.chooseService(req.route)
		g.retryBudget.RecordRequest(req.service, g.options.Now())
	})
	return true
}

// admitByQuota reserves the request's units of its tenant's quota. It returns false after it has rejected the request.
func (g *Gateway) admitByQuota(w http.ResponseWriter, r *http.Request, req *request) bool {
	var late bool
	g.withLock(func() { late = g.overLimitAndLate(r, req) })
	if late {
		req.trace.FailureReason = latency.RefusedLimit
		g.reject(w, http.StatusTooManyRequests, defaultRetryAfter, "over the tenant's quota, and late")
		return false
	}
	start := time.Now()
	ok, wait := g.reserveQuota(r.Context(), req)
	req.addPhaseTime(latency.Quota, start)
	if !ok {
		req.trace.FailureReason = latency.RefusedLimit
		g.reject(w, http.StatusTooManyRequests, max(wait, defaultRetryAfter), "over the tenant's quota")
		return false
	}
	return true
}

// reserveQuota reserves the request's units of its tenant's limit: from the units that this router has acquired in advance, else
// from the primary or, if the primary does not answer, from a pool or this router's lease. Where ok is false, wait is the time
// after which the client should retry; 0 if that is not known.
func (g *Gateway) reserveQuota(ctx context.Context, req *request) (ok bool, wait time.Duration) {
	name := req.tenant.Name
	var verdict quota.Verdict
	var extra float64
	g.withLock(func() { verdict, extra = g.quota.Reserve(name, req.units, g.options.Now()) })
	if verdict != quota.NeedsPrimary {
		return verdict == quota.Granted, 0
	}
	var acquired Acquisition
	g.waitForStartup(ctx, req.times.startupDeadline, func() bool {
		acquired = g.options.Acquirer.Acquire(ctx, name, req.units, extra)
		return acquired.Source != FromNone
	})
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.options.Now()
	switch acquired.Source {
	case FromPrimary:
		verdict = g.quota.ApplyAcquired(name, acquired.Granted, req.units, now)
	case FromPool:
		return acquired.Granted >= req.units, acquired.RetryAfter
	case FromNone:
		verdict, acquired.RetryAfter = g.quota.ReserveFromLease(name, req.units, now)
	}
	return verdict == quota.Granted, acquired.RetryAfter
}

// placementRequest returns the properties of a request by which placement chooses a server.
func placementRequest(r *http.Request) placement.Request {
	placementReq := placement.Request{Tried: map[string]bool{}}
	placementReq.PrefixKey, placementReq.SharedTokens, placementReq.PrefixTokens = placement.ParsePrefix(r.Header.Get("X-Prompt-Prefix"))
	if prompt, output, ok := placement.ParseUsage(r.Header.Get("X-Token-Usage")); ok {
		placementReq.PromptTokens, placementReq.MaxOutputTokens = prompt, output
	}
	return placementReq
}

// stopReading ends the reading of a body, also when it waits for the client.
func stopReading(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // a connection that has no deadlines is closed by its own timeouts
}

// requestDeadline returns the time by which a request must be answered: the client's deadline less deadlineMargin or the end
// of the route's timeout, whichever is earlier. route is nil if there is none for the request.
func requestDeadline(r *http.Request, received time.Time, route *routetable.CompiledRoute) time.Time {
	remaining := defaultTimeout
	if timeout, ok := clientTimeout(r); ok {
		remaining = timeout - deadlineMargin
	}
	if route != nil && route.Timeout > 0 {
		remaining = min(remaining, route.Timeout)
	}
	return received.Add(remaining)
}

// quotaUnits returns the number of units that a request is charged to its tenant's quota.
func quotaUnits(r *http.Request, t *routetable.Tenant) float64 {
	if t == nil {
		return 0
	}
	if t.Unit != "token_based" {
		return 1
	}
	promptText, outputText, ok := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, promptErr := strconv.ParseFloat(strings.TrimSpace(promptText), 64)
	output, outputErr := strconv.ParseFloat(strings.TrimSpace(outputText), 64)
	if !ok || promptErr != nil || outputErr != nil {
		return t.UncachedTokens
	}
	return prompt + output
}

// reject sends an error response with Retry-After, which guarantees to the client that the request has not run.
func (g *Gateway) reject(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	g.Counters.Rejected.Add(1)
	http.Error(w, reason, status)
}

// fail sends an error response that does not guarantee that the request has not run.
func (g *Gateway) fail(w http.ResponseWriter, status int, reason string) {
	g.Counters.Failed.Add(1)
	http.Error(w, reason, status)
}
