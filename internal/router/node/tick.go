package node

import (
	"time"

	"petrelhook/internal/router/settings"
)

const (
	// maxMissedHeartbeats is how many heartbeats a server may miss before it is lost.
	maxMissedHeartbeats = 4.5
	// expireInterval is the time between two searches for servers that are lost.
	expireInterval = 250 * time.Millisecond
	// heartbeatsUntilComplete is after how many intervals of heartbeats, in contact with a majority, a core member has
	// the complete list of servers: every server that lives has called some core member by then.
	heartbeatsUntilComplete = 2
)

// tick does what depends on time alone, each part at its own interval. It acquires the lock.
func (n *Node) tick() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.control.replica.Tick(now)
	n.performEffects()
	if n.isCoreMember() {
		n.tickCore(now)
	}
	if n.distributor.pushPending {
		n.pushAll() // while the router shuts down nobody waits for the timer
	}
	n.tickSessions(now)
	n.tickQuota(now)
	n.tickPool(now)
	n.tickPrefixes(now)
	n.tickLoads(now)
	n.tickOutliers(now)
	if n.timers.pruneConnections.elapsed(pruneInterval, now) {
		n.gateway.Prune()
	}
	if n.timers.forgetServers.elapsed(forgetInterval, now) {
		n.registry.Forget(n.applied.registryStamp, now)
	}
	n.apply()
}

// tickCore does what only core members do: count the fleet, and judge which servers are lost while in contact with a
// majority.
func (n *Node) tickCore(now time.Duration) {
	n.distributor.sessions.Expire(now)
	n.countFleet()
	if !n.control.replica.InTouch() {
		n.control.inTouchSince = -1
		return
	}
	if n.control.inTouchSince < 0 {
		n.control.inTouchSince = now
	}
	n.storeServers(now)
	interval := settings.Milliseconds(n.settings.HeartbeatMs) // of servers
	if now-n.control.inTouchSince > heartbeatsUntilComplete*interval {
		n.subscription.serversComplete = true
	}
	if !n.timers.expireServers.elapsed(expireInterval, now) {
		return
	}
	if n.registry.Expire(time.Duration(maxMissedHeartbeats*float64(interval)), now) {
		n.pushAll()
	}
}

// countFleet sets the fleet's size to the number of routers with a session and this one.
func (n *Node) countFleet() {
	fleet := n.distributor.sessions.Fleet()
	size := len(fleet)
	if _, ok := fleet[n.self.Address]; !ok {
		size++
	}
	n.setFleetSize(size)
}

func (n *Node) setFleetSize(size int) {
	if size > 0 {
		n.fleetSize = size
		n.gateway.SetFleetSize(size)
	}
}
