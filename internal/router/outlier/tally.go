package outlier

import (
	"math"
	"time"
)

const (
	reportEvery = 500 * time.Millisecond // without failures
	reportMost  = 512                    // servers in a report
)

// Tally counts one sidecar's sends until they are reported.
type Tally struct {
	counts   map[string]*count
	failures bool
	reported time.Duration
}

type count struct{ sent, failed uint16 }

// NewTally makes an empty one.
func NewTally() *Tally { return &Tally{counts: map[string]*count{}} }

// Add counts a send.
func (t *Tally) Add(server string, failed bool) {
	c := t.counts[server]
	if c == nil {
		if len(t.counts) >= reportMost {
			return
		}
		c = &count{}
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

// Take takes what is to be reported now: at once where something failed, else now and then.
func (t *Tally) Take(now time.Duration) (r Report, ok bool) {
	if len(t.counts) == 0 || !t.failures && now-t.reported < reportEvery {
		return r, false
	}
	for server, c := range t.counts {
		r.Servers = append(r.Servers, server)
		r.Sent = append(r.Sent, c.sent)
		r.Failed = append(r.Failed, c.failed)
	}
	clear(t.counts)
	t.failures, t.reported = false, now
	return r, true
}
