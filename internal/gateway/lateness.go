package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	deadlineSamples = 64   // of a route
	usualQuantile   = 0.75 // of the deadlines that clients send: tries after the first have less time left, and are fewer
)

// deadlines are the times that clients of a route gave their last tries.
type deadlines struct {
	samples [deadlineSamples]time.Duration
	count   int
}

func (d *deadlines) add(left time.Duration) {
	d.samples[d.count%deadlineSamples] = left
	d.count++
}

// usual is what a first try is given, as far as was seen; 0 while too little was.
func (d *deadlines) usual() time.Duration {
	if d.count < deadlineSamples {
		return 0
	}
	sorted := d.samples
	slices.Sort(sorted[:])
	return sorted[int(usualQuantile*deadlineSamples)]
}

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
	seen := g.deadlines[req.route.Name]
	if seen == nil {
		seen = &deadlines{}
		g.deadlines[req.route.Name] = seen
	}
	seen.add(left)
	return g.quota.Pressed(req.tenant.Name, g.options.Now()) && seen.usual()-left >= req.route.Aim
}
