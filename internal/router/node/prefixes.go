package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

// prefixInterval is the time between two reports about which servers have prefilled shared prefixes of prompts.
const prefixInterval = 100 * time.Millisecond

// tickPrefixes sends a report of the servers to which this router sent shared prefixes. A router outside the core sends
// the report to its home. A core member merges its report with the received reports by service, and sends the result to
// its subscribers.
func (n *Node) tickPrefixes(now time.Duration) {
	if !n.timers.prefixes.elapsed(prefixInterval, now) {
		return
	}
	localUses := n.gateway.TakePrefixUses()
	if !n.isCoreMember() {
		if home := n.subscription.home.Current(); len(localUses) > 0 && home != "" {
			n.transport.Send(home, dissemination.PrefixReport{Uses: localUses})
		}
		return
	}
	n.queuePrefixes(n.self.Address, false, localUses)
	for _, s := range n.distributor.subscribers {
		if len(s.unsentPrefixes) == 0 {
			continue
		}
		var uses []placement.PrefixUses
		for _, u := range s.unsentPrefixes {
			uses = append(uses, *u)
		}
		clear(s.unsentPrefixes)
		n.transport.Send(s.address, dissemination.PrefixReport{Uses: uses})
	}
}

// receivePrefixReport makes the gateway prefer the servers of a report for its prefixes. A core member also queues the
// report for its subscribers.
func (n *Node) receivePrefixReport(from string, m dissemination.PrefixReport) {
	n.gateway.ApplyPrefixUses(m.Uses)
	if n.isCoreMember() {
		n.queuePrefixes(from, n.control.isMember(from), m.Uses)
	}
}

// queuePrefixes merges a router's report into the unsent reports of the other subscribers. A report from another core
// member is queued only for subscribers that cannot be core members, since the sender reports to core members itself.
func (n *Node) queuePrefixes(from string, fromCore bool, uses []placement.PrefixUses) {
	for _, u := range uses {
		for address, s := range n.distributor.subscribers {
			if address == from || fromCore && s.coreMember {
				continue
			}
			if s.unsentPrefixes[u.Service] == nil {
				s.unsentPrefixes[u.Service] = &placement.PrefixUses{Service: u.Service}
			}
			s.unsentPrefixes[u.Service].Merge(u)
		}
	}
}
