package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

// prefixInterval is the time between two reports of where shared prefixes of prompts were prefilled.
const prefixInterval = 100 * time.Millisecond

// tickPrefixes reports to the home where this router sent shared prefixes; a core member passes on what it received to
// its subscribers.
func (n *Node) tickPrefixes(now time.Duration) {
	if !n.timers.prefixes.elapsed(prefixInterval, now) {
		return
	}
	own := n.gateway.TakePrefixUses()
	if !n.isCoreMember() {
		if home := n.subscription.home.Current(); len(own) > 0 && home != "" {
			n.transport.Send(home, dissemination.PrefixReport{Uses: own})
		}
		return
	}
	n.queuePrefixes(n.self.Address, false, own)
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

// receivePrefixReport has the gateway prefer the servers of a report, and a core member pass it on.
func (n *Node) receivePrefixReport(from string, m dissemination.PrefixReport) {
	n.gateway.ApplyPrefixUses(m.Uses)
	if n.isCoreMember() {
		n.queuePrefixes(from, n.control.isMember(from), m.Uses)
	}
}

// queuePrefixes merges a router's report into what is to be sent to the other subscribers. What came from another core
// member goes only to those that are none: it sends it to core members itself.
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
