// Package latency accounts for the time of requests: which part of it each spent waiting for what, and why those that
// missed their latency target missed it. It is pure. It does not measure: package gateway fills a Trace and decides when a
// request has ended.
//
// A Trace is one request's own; Totals add up traces by route and by reason, and keep histograms of the phases. Totals
// grow with the routes in use, up to maxRoutes; the others are counted together. Both are for one goroutine at a time.
package latency
