package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// usualDeadline is the quantile of the deadlines of a route that counts as a first try's: later tries have less time left, and are fewer.
const usualDeadline = 0.75

// clientTime reads how long the client of a request will wait.
func clientTime(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Request-Deadline"), 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// tooLateForPressed reports whether a request of a tenant over its limit has already missed its route's objective: what the tenant
// is granted then goes to requests that can still be answered in time. The lock is held.
func (g *Gateway) tooLateForPressed(r *http.Request, req *request) bool {
	left, ok := clientTime(r)
	if !ok || req.route.Aim <= 0 {
		return false
	}
	seen := recentOf(g.deadlines, req.route.Name)
	seen.add(left)
	return g.quota.OverLimit(req.tenant.Name, g.options.Now()) && seen.quantile(usualDeadline)-left >= req.route.Aim
}
