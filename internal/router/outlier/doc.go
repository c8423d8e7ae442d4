// Package outlier finds servers that fail more of the requests sent to them than the others of their service do
// (outlier detection). It is pure: time is handed in, nothing is sent. Each type is for one goroutine at a time.
//
// One router of many sends a server too little to see that it fails a fraction of its requests while its health checks
// succeed. So each router counts its attempts in a Tally and reports them to its home, the core member that it
// subscribes to; homes send one another the sums of servers that are suspected; and each home's Detector decides, for
// the routers that report to it, which servers are ejected for some time.
//
// Two sums are judged: that of the home's own reporters, for a server may fail for the callers of one zone alone, and
// that of the whole fleet, which sees more.
//
// It does not say what counts as a failed attempt (package gateway), nor which server gets a request instead (package
// placement).
//
// Invariants: no reporter counts for more than maxReporterSends of a server's attempts, and without the one that saw
// the most failures there is evidence enough, so that one that is confused does no harm; at most half of a service's
// servers are ejected, whatever is reported; an ejection ends by itself; and while it lasts the server still gets
// requests as trials, few for all routers together.
package outlier
