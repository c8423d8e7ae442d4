package outlier

import (
	"math"
	"time"
)

const (
	reportInterval   = 500 * time.Millisecond // time between reports without failures
	maxReportServers = 512                    // servers in one report
)

// Tally counts one router's attempts until they are reported to its home. NewTally creates it.
type Tally struct {
	counts     map[string]*tallyCount // by server
	failures   bool                   // at least one counted attempt failed
	reportedAt time.Duration
}

type tallyCount struct{ sent, failed uint16 }

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{counts: map[string]*tallyCount{}} }

// Add counts an attempt. It ignores attempts at further servers if there are already maxReportServers, and attempts
// beyond the range of the counts in a Report.
func (t *Tally) Add(server string, failed bool) {
	c := t.counts[server]
	if c == nil {
		if len(t.counts) >= maxReportServers {
			return
		}
		c = &tallyCount{}
		t.counts[server] = c
	}
	if c.sent == math.MaxUint16 {
		return
	}
	c.sent++
	if failed {
		c.failed++
		t.failures = true
	}
}

// Take returns the report that is due now and resets the Tally, or returns false if none is due. A report is due at once
// if an attempt failed, and otherwise once per reportInterval.
func (t *Tally) Take(now time.Duration) (r Report, ok bool) {
	if len(t.counts) == 0 || !t.failures && now-t.reportedAt < reportInterval {
		return r, false
	}
	for server, c := range t.counts {
		r.Servers = append(r.Servers, server)
		r.Sent = append(r.Sent, c.sent)
		r.Failed = append(r.Failed, c.failed)
	}
	clear(t.counts)
	t.failures, t.reportedAt = false, now
	return r, true
}
