package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// clientTimeout parses X-Request-Deadline, the number of milliseconds that the client still waits for the response. It returns
// false if there is no valid one.
func clientTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Request-Deadline"), 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// overLimitAndLate reports whether a request has already missed its route's latency target while its tenant is over its limit.
// Such requests are rejected first, so that the tenant's units go to requests that can still be answered in time. The time that
// has passed at the client, for example with earlier attempts, is estimated as the difference between the timeout that clients
// of the route typically send and this one, which is recorded as a sample. The caller holds the lock.
func (g *Gateway) overLimitAndLate(r *http.Request, req *request) bool {
	remaining, ok := clientTimeout(r)
	if !ok || req.route.TargetLatency <= 0 {
		return false
	}
	timeouts := &g.routeState(req.route.Name).timeouts
	timeouts.add(remaining)
	return g.quota.OverLimit(req.tenant.Name, g.options.Now()) && timeouts.typical()-remaining >= req.route.TargetLatency
}
