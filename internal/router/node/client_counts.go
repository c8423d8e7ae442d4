package node

import "time"

// refusalLogInterval is the shortest time between two lines about refused clients.
const refusalLogInterval = 10 * time.Second

// ClientCounts says what became of clients and other callers for which there was no room: totals since the start of the process, except for
// Connections.
type ClientCounts struct {
	Connections    int    // open ones of clients, model servers, operators and probes
	Refused        uint64 // connections that got 503, or were closed at once
	Displaced      uint64 // connections without progress that were closed for new ones
	HeadsRefused   uint64 // heads that were too long, too slow, or without memory
	BodiesStopped  uint64 // bodies without progress whose memory others needed
	BodiesRefused  uint64 // bodies and heads without memory
	PeersRefused   uint64 // connections at the address for other routers
	PeersDisplaced uint64 // likewise
}

// clientCounts returns the present counts. It needs no lock.
func (n *Node) clientCounts() (c ClientCounts) {
	for _, listener := range n.limited {
		counts := listener.Counts()
		c.Connections += listener.Open()
		c.Refused += counts.Refused
		c.Displaced += counts.Displaced
		c.HeadsRefused += counts.Unreadable
	}
	c.BodiesStopped, c.BodiesRefused = n.memory.Counts()
	c.PeersRefused, c.PeersDisplaced = n.transport.InboundCounts()
	return c
}

// takeRefusedAddresses returns from how many addresses refused and displaced connections have come since the last call.
func (n *Node) takeRefusedAddresses() (count int) {
	for _, listener := range n.limited {
		count += listener.TakeAddresses()
	}
	return count
}

// tickClients logs how many clients were refused or put out since the last line about that.
func (n *Node) tickClients(now time.Duration) {
	if !n.timers.checkClients.elapsed(refusalLogInterval, now) {
		return
	}
	c, last := n.clientCounts(), n.loggedClients
	n.loggedClients = c
	if c.Connections = last.Connections; c == last {
		return
	}
	n.logger.Warn().Uint64("refused", c.Refused-last.Refused).Uint64("displaced", c.Displaced-last.Displaced).
		Uint64("heads_refused", c.HeadsRefused-last.HeadsRefused).Uint64("bodies_stopped", c.BodiesStopped-last.BodiesStopped).
		Uint64("bodies_refused", c.BodiesRefused-last.BodiesRefused).Uint64("peers_refused", c.PeersRefused-last.PeersRefused).
		Uint64("peers_displaced", c.PeersDisplaced-last.PeersDisplaced).Int("addresses", n.takeRefusedAddresses()).Msg("clients refused")
}
