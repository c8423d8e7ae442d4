package placement

import (
	"maps"
	"time"
)

// LoadBoard adds up the load reports of many senders. Each home has one: the routers that subscribe to it report what
// they have in flight, and other homes the sum of theirs. Each report replaces the sender's one before, and expires
// after loadReportTTL. The board grows with the senders and the servers in their reports. It is for one goroutine at a
// time.
type LoadBoard struct{ reports map[string]loadReport }

// loadReport is a sender's last report.
type loadReport struct {
	sums       LoadSums
	receivedAt time.Duration
	peer       bool // it is another home's, for the routers that subscribe there
}

// loadReportTTL is how long a sender's report counts.
const loadReportTTL = time.Second

// NewLoadBoard returns an empty board.
func NewLoadBoard() *LoadBoard { return &LoadBoard{reports: map[string]loadReport{}} }

// Put replaces a sender's report; peer says that the sender is another home, whose report is of the routers that
// subscribe there. The board keeps the sums.
func (b *LoadBoard) Put(sender string, peer bool, sums LoadSums, now time.Duration) {
	b.reports[sender] = loadReport{sums, now, peer}
}

// Expire drops reports that were not renewed.
func (b *LoadBoard) Expire(now time.Duration) {
	maps.DeleteFunc(b.reports, func(_ string, r loadReport) bool { return now-r.receivedAt >= loadReportTTL })
}

// ForPeers returns the work of the routers that subscribe to this home: what it reports to the other homes.
func (b *LoadBoard) ForPeers() LoadSums {
	sums := LoadSums{}
	for _, report := range b.reports {
		if !report.peer {
			sums.addAll(report.sums)
		}
	}
	return sums
}

// All returns the work of all routers, as a map that the caller may keep.
func (b *LoadBoard) All() LoadSums {
	sums := LoadSums{}
	for _, report := range b.reports {
		sums.addAll(report.sums)
	}
	return sums
}

// Others returns the work of all senders but one. All is the result of the method All; it is not changed, and returned
// as it is where the sender has no work, so that the result must not be changed either.
func (b *LoadBoard) Others(all LoadSums, sender string) LoadSums {
	own := b.reports[sender].sums
	if len(own) == 0 {
		return all
	}
	others := maps.Clone(all)
	for id, work := range own {
		others[id] = others[id].minus(work)
	}
	return others
}
