package node

import (
	"time"

	"petrelhook/internal/router/settings"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which a server counts as lost.
	maxMissedHeartbeats = 4.5
	// expireInterval is the time between two checks for lost servers.
	expireInterval = 250 * time.Millisecond
	// heartbeatsUntilComplete is the number of server heartbeat intervals after which a core member that is in contact with a
	// majority has the complete list of servers: by then, every live server has sent a heartbeat to some core member.
	heartbeatsUntilComplete = 2
)

// tick does the periodic work, each part at its own interval. Run calls it every tickInterval. It acquires the lock.
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
		n.pushAll() // normally Run does this when the push timer fires, but not during shutdown
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
	n.tickTombstones(now)
	n.tickUsage(now)
	n.tickClients(now)
}

// tickCore does the periodic work of core members: it updates the fleet size and, while this router is in contact with
// a majority, stores the servers and decides which of them are lost.
func (n *Node) tickCore(now time.Duration) {
	n.distributor.sessions.Expire(now)
	n.updateFleetSize()
	if !n.control.replica.HasContact() {
		n.control.inTouchSince = -1
		return
	}
	if n.control.inTouchSince < 0 {
		n.control.inTouchSince = now
	}
	n.storeServers(now)
	serverHeartbeatInterval := settings.Milliseconds(n.settings.HeartbeatMs)
	if now-n.control.inTouchSince > heartbeatsUntilComplete*serverHeartbeatInterval {
		n.subscription.serversComplete = true
	}
	if !n.timers.expireServers.elapsed(expireInterval, now) {
		return
	}
	if n.registry.Expire(time.Duration(maxMissedHeartbeats*float64(serverHeartbeatInterval)), now) {
		n.pushAll()
	}
}

// updateFleetSize sets the fleet size to the number of routers with a session, including this router even if it has none.
func (n *Node) updateFleetSize() {
	fleet := n.distributor.sessions.Fleet()
	size := len(fleet)
	if _, ok := fleet[n.self.Address]; !ok {
		size++
	}
	n.setFleetSize(size)
}

// setFleetSize records the number of routers. It ignores a size that is not positive.
func (n *Node) setFleetSize(size int) {
	if size > 0 {
		n.fleetSize = size
		n.gateway.SetFleetSize(size)
	}
}
