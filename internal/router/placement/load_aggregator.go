package placement

import (
	"maps"
	"time"
)

// LoadAggregator aggregates the load reports of many senders. Each home has one: the routers that subscribe to it report the
// work that they have in flight, and each other home reports the sum for its own subscribers. A report replaces the
// previous one of the same sender, and expires after loadReportTTL. The size of a LoadAggregator grows with the number of
// senders and of the servers in their reports. It must not be used by two goroutines at the same time.
type LoadAggregator struct{ reports map[string]loadReport }

// loadReport is the latest report of a sender.
type loadReport struct {
	sums       LoadSums
	receivedAt time.Duration
	peer       bool // the sender is another home, reporting for the routers that subscribe to it
}

// loadReportTTL is how long a sender's report counts.
const loadReportTTL = time.Second

// NewLoadAggregator returns a LoadAggregator without reports.
func NewLoadAggregator() *LoadAggregator { return &LoadAggregator{reports: map[string]loadReport{}} }

// Put replaces a sender's report. If peer is set, the sender is another home, and the report is the sum for the routers
// that subscribe to that home. The LoadAggregator keeps the map.
func (b *LoadAggregator) Put(sender string, peer bool, sums LoadSums, now time.Duration) {
	b.reports[sender] = loadReport{sums, now, peer}
}

// Expire removes the reports that were not renewed within loadReportTTL.
func (b *LoadAggregator) Expire(now time.Duration) {
	maps.DeleteFunc(b.reports, func(_ string, r loadReport) bool { return now-r.receivedAt >= loadReportTTL })
}

// ForPeers returns the work of the routers that subscribe to this home, which the home reports to the other homes.
func (b *LoadAggregator) ForPeers() LoadSums {
	sums := LoadSums{}
	for _, report := range b.reports {
		if !report.peer {
			sums.addAll(report.sums)
		}
	}
	return sums
}

// All returns the work of all routers, in a new map that the caller may keep.
func (b *LoadAggregator) All() LoadSums {
	sums := LoadSums{}
	for _, report := range b.reports {
		sums.addAll(report.sums)
	}
	return sums
}

// Others returns the work of all senders except one. The argument all is the result of the method All. Others does not
// change it, but returns the map itself if the sender has no work: the caller must not change the result.
func (b *LoadAggregator) Others(all LoadSums, sender string) LoadSums {
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
