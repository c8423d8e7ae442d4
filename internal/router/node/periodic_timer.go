package node

import "time"

// periodicTimer says when work that is repeated is to be done again. Its zero value elapses at once.
type periodicTimer struct {
	last    time.Duration // on the node's clock
	started bool          // last counts
}

// elapsed reports whether an interval has passed since the timer was restarted; if so it is restarted.
func (t *periodicTimer) elapsed(interval, now time.Duration) bool {
	if t.started && now-t.last < interval {
		return false
	}
	t.restart(now)
	return true
}

// restart has the interval begin now.
func (t *periodicTimer) restart(now time.Duration) { t.last, t.started = now, true }

// expire has the next call of elapsed report true.
func (t *periodicTimer) expire() { t.started = false }

// timers are those of a node's loop.
type timers struct {
	sessions, seeds                        periodicTimer // messages to other routers
	quotas, prefixes, reports, loads       periodicTimer
	judgement, expireServers, storeServers periodicTimer // of core members
	pruneConnections, forgetServers        periodicTimer
}
