// Package outlier finds servers that fail more of what is sent to them than the others of their service do (outlier
// detection). It is pure, for one goroutine at a time.
//
// One sidecar of many sends a server too little to see that it fails a part of its requests while its health checks are
// good. So each counts its sends in a Tally and reports them to its home; homes tell one another the sums of servers that
// are in doubt; and each home's Detector judges, for its own subscribers, whom they leave alone for some time.
//
// Two sums are judged: that of the home's own subscribers, for a server may fail for the callers of one zone alone, and that
// of the whole fleet, which sees more.
//
// Invariants: no teller counts for more than tellerSends of a server's sends, and without the one that saw the most there is evidence enough, so that one
// that is confused does no harm; at most half of a service's servers are ejected, whatever is told; an ejection ends by
// itself; and while it lasts the server still gets requests as trials, few for all sidecars together.
package outlier

import (
	"math"
	"time"
)

// The figures of a judgement.
const (
	memory        = 2 * time.Second // time constant with which sends are forgotten
	forgotten     = 0.05            // sends below which a window is dropped
	tellerSends   = 8.0             // of one teller and server count at the most
	leastFailed   = 3.0             // sends that failed, to eject a server
	ownEnough     = 10.0            // sends of the own subscribers that outweigh what others tell
	leastRatio    = 0.15            // of sends failed
	medianFactor  = 3.0             // times the median ratio of the service
	peerGood      = 2 * time.Second // for which a peer's sum counts
	ejectFirst    = 3 * time.Second // doubled with each ejection that follows soon
	ejectMost     = 12 * time.Second
	ejectAgain    = time.Second      // an ejection is prolonged by, while trials fail
	soon          = 30 * time.Second // after an ejection another one counts as its repetition
	trialsPerS    = 2.0              // of an ejected server, by all sidecars together
	trialPart     = 0.2              // of its part of the requests, at the most
	ejectablePart = 0.5              // of a service's servers
	doubtful      = 0.5              // failed sends from which peers are told
	ownTrials     = 1.5              // trials of the own subscribers that outweigh those of others
	trialFailed   = 0.15             // failed trials that prolong an ejection
)

// Report is what a sidecar sent to servers since its last report: Sent[i] requests to Servers[i], of which Failed[i] failed.
type Report struct {
	Servers      []string
	Sent, Failed []uint16
}

// Count is a number of sends, and how many of them failed.
type Count struct{ Sent, Failed float64 }

func (c *Count) add(other Count) {
	c.Sent += other.Sent
	c.Failed += other.Failed
}

func (c Count) ratio() float64 {
	if c.Sent <= 0 {
		return 0
	}
	return c.Failed / c.Sent
}

// Sum is what a home knows of a server from its own subscribers, as of now.
type Sum struct {
	Server string
	All    Count
	Worst  Count // of the teller that saw the most failures
}

// fails reports whether a server fails more than a limit allows, also without the teller that saw the most failures.
func (s *Sum) fails(limit float64) bool {
	others := Count{s.All.Sent - s.Worst.Sent, s.All.Failed - s.Worst.Failed}
	return s.All.Failed >= leastFailed && s.All.ratio() >= limit &&
		others.Failed >= leastFailed/3 && others.ratio() >= limit/2
}

// Ejection says that a server is left alone but for trials.
type Ejection struct {
	Server string
	Trial  float64 // probability with which a request of the service goes there
}

// window is a number of sends that is forgotten exponentially.
type window struct {
	sent, failed float64
	at           time.Duration
}

func (w *window) decay(now time.Duration) {
	factor := math.Exp(-float64(now-w.at) / float64(memory))
	w.sent, w.failed, w.at = w.sent*factor, w.failed*factor, now
}

func (w *window) add(sent, failed float64, now time.Duration) {
	w.decay(now)
	w.sent += sent
	w.failed += failed
}
