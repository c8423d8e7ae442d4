// Package relay lets two processes of one sidecar share one watch of discovery during a handover. The next process watches, and sends the
// previous one each list as it arrives and heartbeats between them; the previous process closes its own watch once it receives that the
// next one's is open, and opens it again when it has received nothing for FollowTimeout. The package knows neither links nor sockets:
// updates are sent and received by its caller.
//
// Invariants: one of the two processes watches at any time, except around a change, when both may; what a process delivers is in the order
// in which discovery sent it, and nothing is left out, because a watch requests all that followed the current list; a process that receives
// nothing is no worse off than one that is alone, except for FollowTimeout; neither process waits for the other.
//
// All methods of Hub are safe for concurrent use.
package relay

import (
	"time"

	"petrelhook/internal/sidecar/member"
)

const (
	// FollowTimeout is how long a process relies on the last update of the other. Together with the time in which a watch opens it is
	// shorter than the drain grace: if the next process stops, the previous one must not miss a drain.
	FollowTimeout = 150 * time.Millisecond
	// HeartbeatInterval is how often the process that watches says so.
	HeartbeatInterval = 40 * time.Millisecond
	// FollowCooldown is how long a process that stopped following watches by itself: each change is a call to discovery.
	FollowCooldown = 2 * time.Second
	// maxPending is how many lists may wait for the other side.
	maxPending = 64
)

// Update is sent by the process that watches, which is the next one, to the previous one: the name of the source of which a watch is open
// and, if List is not nil, a list that it delivered. Without a list it is a heartbeat. The receiver follows that watch for FollowTimeout.
type Update struct {
	Source string       `json:"source"`
	List   *member.List `json:"list,omitempty"`
}

// follower decides whether a process follows the other's watch. It is pure.
type follower struct {
	source      string // whose watch is followed; "": none
	expiry      time.Time
	cooldownEnd time.Time // the process does not follow before
}

// observe notes that the other process watches a source.
func (f *follower) observe(source string, now time.Time) {
	if now.Before(f.cooldownEnd) {
		return
	}
	f.source, f.expiry = source, now.Add(FollowTimeout)
}

// follows reports whether to follow the other's watch of a source, and until when if nothing more is received.
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

// unfollow begins the cooldown: the other process is silent, or its lists were lost.
func (f *follower) unfollow(now time.Time) { f.source, f.cooldownEnd = "", now.Add(FollowCooldown) }

// isNewer reports whether a list of the other process is to be delivered by one that has a generation: the other's watch may have begun
// before what this one's own watch delivered last. A complete list may be of a source that numbers anew.
func isNewer(list *member.List, generation uint64) bool {
	return list.Complete || list.Generation > generation
}
