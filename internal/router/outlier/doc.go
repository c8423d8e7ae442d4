// Package outlier detects servers that fail a larger fraction of their requests than the other servers of their service,
// and ejects them for some time (outlier detection). It is pure: the caller passes the time and sends the messages. A
// value of any of its types must not be used by two goroutines at the same time.
//
// In a large fleet, one router sends a server too few requests to notice that it fails a fraction of them while its
// health checks succeed. Therefore each router counts its attempts in a Tally and reports them to its home, the core
// member that it subscribes to. Homes send each other their sums for suspected servers. The Detector of a home decides
// which servers are ejected for the routers that report to this home.
//
// A decision uses two sums: that of the home's own reporters, because a server may fail only for the callers of one
// zone, and that of the whole fleet, which contains more attempts.
//
// The package does not decide what counts as a failed attempt (package gateway), nor which server gets a request instead
// (package placement).
//
// Invariants:
//   - A faulty reporter does no harm: at most maxReporterSends attempts of one reporter at a server count, and the
//     evidence must suffice without the reporter that saw the most failures.
//   - At most half of a service's servers are ejected, whatever is reported.
//   - An ejection ends unless trials continue to fail. Until then the server still gets requests as trials, only a few
//     from all routers together.
package outlier
