package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

const (
	// loadsInterval is the time between two load reports: each tick, also one that comes a little early.
	loadsInterval = tickInterval - tickInterval/8
	// loadsIntervalPerSubscriber is the same for each subscriber, where that is longer, so that a core member spends a
	// few percent of a processor on it.
	loadsIntervalPerSubscriber = 2 * time.Millisecond
)

// loads is a router's part in the exchange of what work requests have left at servers.
type loads struct {
	board    *placement.LoadBoard // of a core member: the last report of each router
	reported bool                 // the last report to the home was of some work
}

// tickLoads reports this router's loads to the home, once more when there are none any more. A core member sends the
// sum of its subscribers' loads to other core members, and to each subscriber the sum of all others'.
func (n *Node) tickLoads(now time.Duration) {
	interval := max(loadsInterval, time.Duration(len(n.distributor.subscribers))*loadsIntervalPerSubscriber)
	if !n.timers.loads.elapsed(interval, now) {
		return
	}
	own := n.gateway.LocalLoads()
	if !n.isCoreMember() {
		home := n.subscription.home.Current()
		if home != "" && (len(own) > 0 || n.loads.reported) {
			n.transport.Send(home, dissemination.LoadReport{Loads: own.Message()})
		}
		n.loads.reported = len(own) > 0
		return
	}
	board := n.loads.board
	board.Expire(now)
	board.Put(n.self.Address, false, own, now)
	forPeers := dissemination.LoadReport{Loads: board.ForPeers().Message()}
	all := board.All()
	for _, s := range n.distributor.subscribers {
		if s.coreMember {
			n.transport.Send(s.address, forPeers)
			continue
		}
		n.transport.Send(s.address, dissemination.LoadReport{Loads: board.Others(all, s.address).Message()})
	}
	n.gateway.SetPeerLoads(board.Others(all, n.self.Address))
}

// receiveLoadReport records a router's loads at a core member, and passes those of all others to the gateway elsewhere.
func (n *Node) receiveLoadReport(from string, m dissemination.LoadReport, now time.Duration) {
	switch {
	case n.isCoreMember():
		n.loads.board.Put(from, n.control.isMember(from), m.Loads.Sums(), now)
	case from == n.subscription.home.Current():
		n.gateway.SetPeerLoads(m.Loads.Sums())
	}
}
