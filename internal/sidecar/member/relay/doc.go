// Package relay lets two processes of one sidecar share one watch of discovery during a handover. The next process watches
// discovery, and sends the previous process each list as it arrives, with heartbeats in between. The previous process closes its
// own watch when it learns that the watch of the next process is open, and opens it again when it has received nothing for
// FollowTimeout. The package opens no connections: its caller sends and receives the updates.
//
// Invariants: one of the two processes watches at any time, except around a change, when both may. A process delivers lists in
// the order in which discovery sent them, and leaves none out, because a new watch requests all lists that follow the current
// one. A process that receives nothing gets lists like one that is alone, except for a delay of FollowTimeout. Neither process
// waits for the other.
//
// All methods of Hub are safe for concurrent use.
package relay

import (
	"time"

	"petrelhook/internal/sidecar/member"
)

const (
	// FollowTimeout is how long a process relies on the last update of the other. Together with the time to open a watch it is
	// shorter than the drain grace period: if the next process stops, the previous one must not miss a drain.
	FollowTimeout = 150 * time.Millisecond
	// HeartbeatInterval is the interval between heartbeats of the process that watches.
	HeartbeatInterval = 40 * time.Millisecond
	// FollowCooldown is how long a process that has stopped following watches by itself before it follows again. It limits the
	// calls to discovery, because each change between the two costs one.
	FollowCooldown = 2 * time.Second
	// maxPending is how many lists may be queued on each side.
	maxPending = 64
)

// Update is a message from the next process, which watches, to the previous one. It holds the name of the source whose watch is
// open and, if List is not nil, a list that the watch delivered; without a list it is a heartbeat. The receiver follows that
// watch for FollowTimeout.
type Update struct {
	Source string       `json:"source"`
	List   *member.List `json:"list,omitempty"`
}

// follower decides whether a process follows the other's watch. It reads no clock and starts no timer.
type follower struct {
	source      string    // whose watch is followed; empty if none is
	expiry      time.Time // until when the watch is followed if no further update arrives
	cooldownEnd time.Time // no watch is followed before this time
}

// observe records that the other process watches a source.
func (f *follower) observe(source string, now time.Time) {
	if now.Before(f.cooldownEnd) {
		return
	}
	f.source, f.expiry = source, now.Add(FollowTimeout)
}

// follows reports whether the other's watch of a source is followed, and until when it is if no further update arrives.
func (f *follower) follows(source string, now time.Time) (expiry time.Time, ok bool) {
	if f.source == "" {
		return expiry, false
	}
	if !now.Before(f.expiry) {
		f.unfollow(now)
		return expiry, false
	}
	return f.expiry, f.source == source
}

// unfollow stops following and starts the cooldown. It is called when the other process is silent, or its lists were dropped.
func (f *follower) unfollow(now time.Time) { f.source, f.cooldownEnd = "", now.Add(FollowCooldown) }

// isNewer reports whether a list of the other process is newer than this process's generation and must be delivered. It may be
// older, because the other's watch may lag behind the watch of this process. A complete list always counts as newer, because its
// source may have restarted its numbering.
func isNewer(list *member.List, generation uint64) bool {
	return list.Complete || list.Generation > generation
}
