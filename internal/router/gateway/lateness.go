package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// clientTimeout parses how long the client of a request will wait, in milliseconds.
func clientTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Request-Deadline"), 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// tooLateOverLimit reports whether a request of a tenant over its limit has already missed its route's latency target: what
// the tenant is granted then goes to requests that can still be answered in time. The time that passed at the client is
// estimated from the deadlines that clients usually give. The lock is held.
func (g *Gateway) tooLateOverLimit(r *http.Request, req *request) bool {
	left, ok := clientTimeout(r)
	if !ok || req.route.TargetLatency <= 0 {
		return false
	}
	deadlines := &g.routeState(req.route.Name).deadlines
	deadlines.add(left)
	return g.quota.OverLimit(req.tenant.Name, g.options.Now()) && deadlines.usual()-left >= req.route.TargetLatency
}
