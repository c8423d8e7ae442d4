package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/routetable"
)

const (
	defaultTimeout    = 30 * time.Second       // of a client that names none
	deadlineMargin    = 3 * time.Millisecond   // by which an answer comes before the client's deadline
	defaultRetryAfter = 250 * time.Millisecond // where nothing better is known
)

// request is one client's request while it is served, on one goroutine; see stallWatch for the exception.
type request struct {
	id       string
	body     []byte
	route    *routetable.Compiled
	tenant   *routetable.Tenant // nil: it has none
	service  string
	units    float64 // of the tenant's quota
	times    requestTimes
	attempts attemptState
	response responseState
	trace    latency.Trace

	placement placement.Request
}

// requestTimes are when a request came, and how long it may take.
type requestTimes struct {
	received        time.Time
	deadline        time.Time
	startupDeadline time.Time // until then it may wait for the router's start
}

// attemptState is what the attempts at servers have come to so far.
type attemptState struct {
	work          placement.Work // pending at the server of the last attempt
	arrived       int            // attempts that arrived at a server, or may have
	mayHaveRun    bool           // at any server: then no answer may promise that it has not
	retryAcquired bool           // the budget has given a permit for the next attempt
}

// responseState is what the client has of its answer.
type responseState struct {
	headerSent  bool
	lastEventID string // a resumed stream continues after it
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Counters.Requests.Add(1)
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	req := &request{id: r.Header.Get("X-Request-Id"), times: requestTimes{received: time.Now()}}
	defer g.account(r, req)
	if !g.readBody(w, r, req) {
		return
	}
	defer g.bufferedBytes.Add(-int64(len(req.body)))
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
	admitted := time.Now()
	g.waitForStartup(r.Context(), req.times.startupDeadline, func() bool { return g.ServerCount(req.service) > 0 })
	req.addPhaseTime(latency.Start, admitted)
	ctx, cancel := context.WithDeadline(r.Context(), req.times.deadline)
	defer cancel()
	g.serve(ctx, w, r, req)
}

// authorize finds a request's route and its tenant, or answers that there is none.
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

// admit decides whether this router serves a request now: it may not outlast a drain, and its tenant's quota has to
// suffice. It chooses the service, too.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, req *request) bool {
	req.times.deadline = deadlineOf(r, req)
	if g.draining.Load().mayOutlast(req) {
		req.trace.FailureReason = latency.RefusedEnding
		g.reject(w, http.StatusServiceUnavailable, retryElsewhere, "this router ends before the answer may")
		return false
	}
	req.units = quotaUnits(r, req.tenant)
	req.placement = placementRequest(r)
	req.placement.MaxGap = req.route.TargetGap
	if req.tenant != nil && !g.admitByQuota(w, r, req) {
		return false
	}
	g.mutex.Lock()
	req.service = g.chooseService(req.route)
	g.retryBudget.RecordRequest(req.service, g.options.Now())
	g.mutex.Unlock()
	return true
}

// admitByQuota reserves a request's units of its tenant's quota, or rejects it.
func (g *Gateway) admitByQuota(w http.ResponseWriter, r *http.Request, req *request) bool {
	g.mutex.Lock()
	late := g.tooLateOverLimit(r, req)
	g.mutex.Unlock()
	if late {
		req.trace.FailureReason = latency.RefusedLimit
		g.reject(w, http.StatusTooManyRequests, defaultRetryAfter, "over the tenant's quota, and late")
		return false
	}
	began := time.Now()
	ok, wait := g.reserveQuota(r.Context(), req)
	req.addPhaseTime(latency.Quota, began)
	if !ok {
		req.trace.FailureReason = latency.RefusedLimit
		g.reject(w, http.StatusTooManyRequests, max(wait, defaultRetryAfter), "over the tenant's quota")
		return false
	}
	return true
}

// reserveQuota reserves a request's units of its tenant's limit: from what this router acquired ahead, else from the
// primary, and where that does not answer from a pool or this router's lease.
func (g *Gateway) reserveQuota(ctx context.Context, req *request) (ok bool, wait time.Duration) {
	name := req.tenant.Name
	g.mutex.Lock()
	verdict, extra := g.quota.Reserve(name, req.units, g.options.Now())
	g.mutex.Unlock()
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

// placementRequest is what placement has to know of a request.
func placementRequest(r *http.Request) placement.Request {
	p := placement.Request{Tried: map[string]bool{}}
	p.PrefixKey, p.SharedTokens, p.PrefixTokens = placement.ParsePrefix(r.Header.Get("X-Prompt-Prefix"))
	if prompt, output, ok := placement.ParseUsage(r.Header.Get("X-Token-Usage")); ok {
		p.PromptTokens, p.MaxOutputTokens = prompt, output
	}
	return p
}

// deadlineOf is the time until which a request is answered: the client's or the route's, whichever is earlier.
func deadlineOf(r *http.Request, req *request) time.Time {
	left := defaultTimeout
	if timeout, ok := clientTimeout(r); ok {
		left = timeout - deadlineMargin
	}
	if req.route.Timeout > 0 {
		left = min(left, req.route.Timeout)
	}
	return req.times.received.Add(left)
}

// quotaUnits is what a request counts against its tenant's quota.
func quotaUnits(r *http.Request, t *routetable.Tenant) float64 {
	if t == nil {
		return 0
	}
	if t.Unit != "token_based" {
		return 1
	}
	in, out, ok := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, errIn := strconv.ParseFloat(strings.TrimSpace(in), 64)
	output, errOut := strconv.ParseFloat(strings.TrimSpace(out), 64)
	if !ok || errIn != nil || errOut != nil {
		return t.UncachedTokens
	}
	return prompt + output
}

// reject answers with a promise that the request has not run, and says when to come back.
func (g *Gateway) reject(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	g.Counters.Rejected.Add(1)
	http.Error(w, reason, status)
}

// fail answers without a promise.
func (g *Gateway) fail(w http.ResponseWriter, status int, reason string) {
	g.Counters.Failed.Add(1)
	http.Error(w, reason, status)
}
