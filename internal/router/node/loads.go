package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

const (
	loadsEvery = tickEvery - tickEvery/8 // between two words of what a sidecar has under way: each tick, also one that comes early
	loadsEach  = 2 * time.Millisecond    // more of it for each subscriber, so that a home spends a few percent of a processor on this
)

// loads is a node's part in telling what requests have left to do at the servers.
type loads struct {
	board *placement.LoadBoard // of a control sidecar
	told  bool                 // the last word was of something
}

// tickLoads tells the home what this sidecar has under way; a control sidecar tells other control sidecars what its subscribers have, and
// each subscriber what all others have.
func (n *Node) tickLoads(now time.Duration) {
	every := max(loadsEvery, time.Duration(len(n.subscribers))*loadsEach)
	if !n.every.loads.due(every, now) {
		return
	}
	own := n.gateway.LocalLoads()
	if !n.core() {
		if n.home.address != "" && (len(own) > 0 || n.loads.told) {
			n.transport.Send(n.home.address, dissemination.LoadReport{Loads: own.Message()})
		}
		n.loads.told = len(own) > 0
		return
	}
	board := n.loads.board
	board.Expire(now)
	board.Put(n.self.Address, false, own, now)
	forPeers := dissemination.LoadReport{Loads: board.ForPeers().Message()}
	all := board.All()
	for _, s := range n.subscribers {
		if s.core {
			n.transport.Send(s.address, forPeers)
			continue
		}
		n.transport.Send(s.address, dissemination.LoadReport{Loads: board.Others(all, s.address).Message()})
	}
	n.gateway.SetPeerLoads(board.Others(all, n.self.Address))
}

func (n *Node) onUnderWay(from string, m dissemination.LoadReport, now time.Duration) {
	switch {
	case n.core():
		n.loads.board.Put(from, n.isMember(from), m.Loads.Sums(), now)
	case from == n.home.address:
		n.gateway.SetPeerLoads(m.Loads.Sums())
	}
}
