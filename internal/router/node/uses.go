package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

// usesEvery is how often sidecars tell one another where shared parts were read.
const usesEvery = 100 * time.Millisecond

// tickUses tells the home where this sidecar sent shared parts; a control sidecar tells its subscribers what it heard.
func (n *Node) tickUses(now time.Duration) {
	if !n.every.uses.due(usesEvery, now) {
		return
	}
	own := n.gateway.TakePrefixUses()
	if !n.core() {
		if len(own) > 0 && n.home.address != "" {
			n.transport.Send(n.home.address, dissemination.PrefixReport{Uses: own})
		}
		return
	}
	n.spreadUses(n.self.Address, false, own)
	for _, s := range n.subscribers {
		if len(s.uses) == 0 {
			continue
		}
		var list []placement.PrefixUses
		for _, u := range s.uses {
			list = append(list, *u)
		}
		clear(s.uses)
		n.transport.Send(s.address, dissemination.PrefixReport{Uses: list})
	}
}

func (n *Node) onUsed(from string, m dissemination.PrefixReport) {
	n.gateway.ApplyPrefixUses(m.Uses)
	if n.core() {
		n.spreadUses(from, n.isMember(from), m.Uses)
	}
}

// spreadUses keeps what a sidecar said of shared parts for the other subscribers; what came from another control sidecar
// for those only that are none themselves.
func (n *Node) spreadUses(from string, fromCore bool, list []placement.PrefixUses) {
	for _, u := range list {
		for address, s := range n.subscribers {
			if address == from || fromCore && s.core {
				continue
			}
			if s.uses[u.Service] == nil {
				s.uses[u.Service] = &placement.PrefixUses{Service: u.Service}
			}
			s.uses[u.Service].Merge(u)
		}
	}
}
