package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"petrelhook/internal/router/latency"
	"petrelhook/internal/router/placement"
	"petrelhook/internal/router/quota"
	"petrelhook/internal/router/rotation"
	"petrelhook/internal/router/routetable"
)

const (
	defaultDeadline = 30 * time.Second
	deadlineMargin  = 3 * time.Millisecond
	retrySoon       = 250 * time.Millisecond // where nothing better is known
	maxBody         = 8 << 20
	bodyTimeout     = 10 * time.Second
)

// request is one client's try on its way.
type request struct {
	id         string
	route      *routetable.Compiled
	tenant     *routetable.Tenant
	service    string
	units      float64 // of the tenant's quota
	body       []byte
	began      time.Time
	deadline   time.Time
	startLimit time.Time // until when it may wait for the sidecar's start
	place      placement.Request
	work       placement.Work // that is noted at the server it was sent to last
	sends      int            // that arrived at a server, or may have
	mayHaveRun bool           // by any of them: then nothing may promise that it has not
	resume     string
	paid       bool // the budget has given leave for the next send
	headSent   bool
	trace      latency.Trace
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Counters.Requests.Add(1)
	if g.ending.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	req := &request{id: r.Header.Get("X-Request-Id"), began: time.Now()}
	defer g.account(r, req)
	if !g.readBody(w, r, req) {
		return
	}
	defer g.bodies.Add(-int64(len(req.body)))
	req.startLimit = startLimit(r, req.began)
	g.waitForStart(r.Context(), req.startLimit, func() bool { return g.table.Load() != nil })
	table := g.table.Load()
	if table == nil {
		g.refuse(w, http.StatusServiceUnavailable, g.untilStarted(), "no configuration yet")
		return
	}
	req.spend(latency.Start, req.began)
	if !g.authorize(w, r, table, req) {
		return
	}
	authorized := time.Now()
	g.waitForStart(r.Context(), req.startLimit, func() bool { return g.ServerCount(req.service) > 0 })
	req.spend(latency.Start, authorized)
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	g.serve(ctx, w, r, req)
}

// readBody reads the whole body, within the bounds that hold as it begins, and counts it among the bodies held.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) bool {
	most := int64(maxBody)
	if t := g.table.Load(); t != nil {
		if t.Limits.MaxBodyBytes > 0 {
			most = t.Limits.MaxBodyBytes
		}
		if t.Limits.MaxHeaderBytes > 0 && headerBytes(r) > t.Limits.MaxHeaderBytes {
			w.Header().Set("Connection", "close")
			g.fail(w, http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
			return false
		}
	}
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if g.options.MaxBodyMemory > 0 && g.bodies.Load()+max(0, r.ContentLength) > g.options.MaxBodyMemory {
		w.Header().Set("Connection", "close")
		g.refuse(w, http.StatusServiceUnavailable, retrySoon, "no memory is left for the body")
		return false
	}
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(bodyTimeout)) // where that can't be set the server's own bounds hold
	body, err := readAll(w, r, most)
	control.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		g.fail(w, http.StatusRequestEntityTooLarge, "the body is too long")
		return false
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the client ended it, or sent too slowly
	}
	g.bodies.Add(int64(len(body)))
	req.body = body
	return true
}

func readAll(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength <= 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// headerBytes is about how long a head was.
func headerBytes(r *http.Request) int {
	const perField = 4 // colon, space and line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + perField
		}
	}
	return n
}

// authorize finds route, tenant and service, and takes the tenant's quota.
func (g *Gateway) authorize(w http.ResponseWriter, r *http.Request, table *routetable.Table, req *request) bool {
	req.route = table.Route(r.Host, r.URL.Path)
	if req.route == nil {
		g.fail(w, http.StatusNotFound, "no route")
		return false
	}
	if table.HasTenants() {
		req.tenant = table.TenantOf(r.Header.Get("X-Key"))
		if req.tenant == nil && !req.route.Public {
			g.fail(w, http.StatusUnauthorized, "unknown key")
			return false
		}
	}
	req.deadline = deadlineOf(r, req)
	if g.ending.Load().mayOutlast(req) {
		req.trace.FailureReason = latency.RefusedEnding
		g.refuse(w, http.StatusServiceUnavailable, elsewhere, "the sidecar ends before the answer may")
		return false
	}
	req.units = unitsOf(r, req.tenant)
	req.place = placeOf(r)
	req.place.MaxGap = req.route.GapAim
	if req.tenant != nil {
		g.mutex.Lock()
		late := g.tooLateForPressed(r, req)
		g.mutex.Unlock()
		if late {
			req.trace.FailureReason = latency.RefusedLimit
			g.refuse(w, http.StatusTooManyRequests, retrySoon, "over the tenant's quota, and late")
			return false
		}
		began := time.Now()
		ok, wait := g.takeQuota(r.Context(), req)
		req.spend(latency.Quota, began)
		if !ok {
			req.trace.FailureReason = latency.RefusedLimit
			g.refuse(w, http.StatusTooManyRequests, max(wait, retrySoon), "over the tenant's quota")
			return false
		}
	}
	g.mutex.Lock()
	req.service = g.split(req.route)
	g.retries.RecordRequest(req.service, g.options.Now())
	g.mutex.Unlock()
	return true
}

// placeOf is what placement has to know of a request.
func placeOf(r *http.Request) placement.Request {
	place := placement.Request{Tried: map[string]bool{}}
	place.PrefixKey, place.SharedTokens, place.PrefixTokens = placement.ParsePrefix(r.Header.Get("X-Prompt-Prefix"))
	if prompt, output, ok := placement.ParseUsage(r.Header.Get("X-Token-Usage")); ok {
		place.PromptTokens, place.MaxOutputTokens = prompt, output
	}
	return place
}

// takeQuota takes a request's units of its tenant's limit: from what this sidecar acquired ahead, else from the primary, and
// where that is silent from a pool or this sidecar's lease.
func (g *Gateway) takeQuota(ctx context.Context, req *request) (ok bool, wait time.Duration) {
	name := req.tenant.Name
	g.mutex.Lock()
	verdict, extra := g.quota.Reserve(name, req.units, g.options.Now())
	g.mutex.Unlock()
	if verdict != quota.NeedsPrimary {
		return verdict == quota.Granted, 0
	}
	var acquired Acquisition
	g.waitForStart(ctx, req.startLimit, func() bool {
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

// split chooses the service of a route that is split over several.
func (g *Gateway) split(route *routetable.Compiled) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	turns := g.splits[route.Name]
	if len(turns) != len(route.Backends) {
		turns = make([]rotation.CurrentWeight, len(route.Backends))
		g.splits[route.Name] = turns
	}
	candidates := make([]rotation.Candidate, len(turns))
	for i := range turns {
		candidates[i] = rotation.Candidate{Current: &turns[i], Weight: route.Backends[i].Weight}
	}
	return route.Backends[rotation.Pick(candidates)].Service
}

func deadlineOf(r *http.Request, req *request) time.Time {
	left := defaultDeadline
	if told, ok := clientTime(r); ok {
		left = told - deadlineMargin
	}
	if req.route.Timeout > 0 {
		left = min(left, req.route.Timeout)
	}
	return req.began.Add(left)
}

// unitsOf is what a request counts against its tenant's quota.
func unitsOf(r *http.Request, t *routetable.Tenant) float64 {
	if t == nil {
		return 0
	}
	if t.Unit != "token_based" {
		return 1
	}
	in, out, ok := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	a, errIn := strconv.ParseFloat(strings.TrimSpace(in), 64)
	b, errOut := strconv.ParseFloat(strings.TrimSpace(out), 64)
	if !ok || errIn != nil || errOut != nil {
		return t.UncachedTokens
	}
	return a + b
}

// refuse answers with a promise that the request has not run, and says when to come back.
func (g *Gateway) refuse(w http.ResponseWriter, status int, after time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	g.Counters.Rejected.Add(1)
	http.Error(w, reason, status)
}

// fail answers without a promise.
func (g *Gateway) fail(w http.ResponseWriter, status int, reason string) {
	g.Counters.Failed.Add(1)
	http.Error(w, reason, status)
}
