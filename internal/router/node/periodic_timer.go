package node

import "time"

// periodicTimer determines when periodic work is due. With its zero value the work is due at once.
type periodicTimer struct {
	last    time.Duration // on the node's clock
	started bool          // last is valid
}

// elapsed reports whether an interval has passed since the timer was last restarted. If so, it restarts the timer.
func (t *periodicTimer) elapsed(interval, now time.Duration) bool {
	if t.started && now-t.last < interval {
		return false
	}
	t.restart(now)
	return true
}

// restart makes the interval begin now.
func (t *periodicTimer) restart(now time.Duration) { t.last, t.started = now, true }

// expire makes the next call of elapsed return true.
func (t *periodicTimer) expire() { t.started = false }

// timers holds the timers of the periodic work that the node's tick does.
type timers struct {
	sessions, seeds                        periodicTimer // messages to other routers
	quotas, prefixes, reports, loads       periodicTimer
	judgement, expireServers, storeServers periodicTimer // used by core members
	pruneConnections, forgetServers        periodicTimer
	expireTombstones, checkUsage           periodicTimer
	checkClients                           periodicTimer
}
