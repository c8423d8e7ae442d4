package node

import (
	"time"

	"petrelhook/internal/router/settings"
)

// tick lets time pass.
func (n *Node) tick() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	n.replica.Tick(now)
	n.carryOut()
	if n.core() {
		n.tickCore(now)
	}
	if n.pushLater {
		n.pushAll() // while it ends nobody waits for the timer
	}
	n.tickSessions(now)
	n.tickQuota(now)
	n.tickPool(now)
	n.tickUses(now)
	n.tickLoads(now)
	n.tickOutliers(now)
	if n.every.prune.due(pruneEvery, now) {
		n.gateway.Prune()
	}
	if n.every.forget.due(forgetEvery, now) {
		n.registry.Forget(n.listed, now)
	}
	n.apply()
}

func (n *Node) tickCore(now time.Duration) {
	n.sessions.Expire(now)
	n.setFleet(len(n.sessions.Fleet()) + n.selfMissing())
	if !n.replica.InTouch() {
		n.touchedSince = -1
		return
	}
	if n.touchedSince < 0 {
		n.touchedSince = now
	}
	beat := settings.Milliseconds(n.settings.HeartbeatMs)
	n.storeServers(now)
	if now-n.touchedSince > 2*beat {
		n.complete = true // every server that lives has called some control sidecar by now
	}
	if !n.every.expire.due(expireEvery, now) {
		return
	}
	if n.registry.Expire(time.Duration(silentBeats*float64(beat)), now) {
		n.pushAll()
	}
}

func (n *Node) selfMissing() int {
	if _, ok := n.sessions.Fleet()[n.self.Address]; ok {
		return 0
	}
	return 1
}

func (n *Node) setFleet(size int) {
	if size > 0 {
		n.fleet = size
		n.gateway.SetFleetSize(size)
	}
}
