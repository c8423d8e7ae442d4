package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/placement"
)

const (
	// loadsInterval is the time between two load reports. It is a little shorter than tickInterval, so that a tick
	// that comes slightly early sends a report too.
	loadsInterval = tickInterval - tickInterval/8
	// loadsIntervalPerSubscriber times the number of subscribers is the shortest time between two load reports if it is
	// longer than loadsInterval. It limits the cost for a core member to a few percent of a processor.
	loadsIntervalPerSubscriber = 2 * time.Millisecond
)

// loads is the state of a router's exchange of load reports: the work that open requests still have at each server.
type loads struct {
	board    *placement.LoadAggregator // used by a core member: the last report of each router
	reported bool                      // the last report to the home was not empty
}

// tickLoads reports this router's loads to the home; after the last load has ended it sends one empty report. A core
// member sends the sum of its subscribers' loads to the other core members, and to each subscriber the sum of the loads
// of all other routers.
func (n *Node) tickLoads(now time.Duration) {
	interval := max(loadsInterval, time.Duration(len(n.distributor.subscribers))*loadsIntervalPerSubscriber)
	if !n.timers.loads.elapsed(interval, now) {
		return
	}
	localLoads := n.gateway.LocalLoads()
	if !n.isCoreMember() {
		home := n.subscription.home.Current()
		if home != "" && (len(localLoads) > 0 || n.loads.reported) {
			n.transport.Send(home, dissemination.LoadReport{Loads: localLoads.Message()})
		}
		n.loads.reported = len(localLoads) > 0
		return
	}
	board := n.loads.board
	board.Expire(now)
	board.Put(n.self.Address, false, localLoads, now)
	forPeers := dissemination.LoadReport{Loads: board.ForPeers().Message()}
	total := board.All()
	for _, s := range n.distributor.subscribers {
		if s.coreMember {
			n.transport.Send(s.address, forPeers)
			continue
		}
		n.transport.Send(s.address, dissemination.LoadReport{Loads: board.Others(total, s.address).Message()})
	}
	n.gateway.SetPeerLoads(board.Others(total, n.self.Address))
}

// receiveLoadReport records a router's loads if this router is a core member. Otherwise it passes the home's sum of all
// other routers' loads to the gateway.
func (n *Node) receiveLoadReport(from string, m dissemination.LoadReport, now time.Duration) {
	switch {
	case n.isCoreMember():
		n.loads.board.Put(from, n.control.isMember(from), m.Loads.Sums(), now)
	case from == n.subscription.home.Current():
		n.gateway.SetPeerLoads(m.Loads.Sums())
	}
}
