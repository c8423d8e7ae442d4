// Package latency accounts for the time that requests take: how long each spent in which phase, and why requests missed
// their latency targets. It is pure, and does not measure: package gateway fills the Traces and decides when a request
// has ended.
//
// A Trace belongs to one request. Totals counts requests by route and by reason, and keeps histograms of their phases. Its
// size grows with the number of routes in use, up to maxRoutes; further routes are counted together. A Trace and a Totals
// must not be used by two goroutines at the same time.
package latency
