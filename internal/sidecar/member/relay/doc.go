// Package relay has two processes of one sidecar share a watch of discovery. The next process watches, and tells the one before
// each list as it comes; the one before closes its own watch once it hears that the other's is open, and opens it again as soon
// as it hears nothing for Fresh. It knows neither links nor sockets: words go out and come in.
//
// Invariants: one of the two watches at any time, but for the moments of a change, in which both may; what a process takes in
// comes in the order in which discovery told it, and nothing is left out, for a watch asks for all that came after the list
// held; a process that hears nothing is no worse off than one that is alone, but for Fresh; nobody waits for the other process.
package relay

import (
	"time"

	"petrelhook/internal/sidecar/member"
)

const (
	// FollowTimeout is how long a process goes by the last word of the other. With the time in which a watch opens it is less than the
	// grace for drains: a next process that is stopped must not cost the one before its news.
	FollowTimeout = 150 * time.Millisecond
	// HeartbeatInterval is how often the one that watches says so.
	HeartbeatInterval = 40 * time.Millisecond
	// FollowCooldown is how long a process that stopped going by the other watches by itself: each change is a call to discovery.
	FollowCooldown = 2 * time.Second
	// maxPending is how many lists may wait for the other side.
	maxPending = 64
)

// Update is what the process that watches tells the other: that its watch is open and, where List is not nil, what it was told.
type Update struct {
	Source string       `json:"source"` // the name of what is watched
	List   *member.List `json:"list,omitempty"`
}

// follower decides whether a process goes by another's watch. It is pure.
type follower struct {
	source      string // whose watch that is; "": nobody's
	expiry      time.Time
	cooldownEnd time.Time // before it, it watches by itself
}

// contact takes in a word.
func (f *follower) contact(source string, now time.Time) {
	if now.Before(f.cooldownEnd) {
		return
	}
	f.source, f.expiry = source, now.Add(FollowTimeout)
}

// follows reports whether to go by the other's watch of a source, and until when if nothing more is heard.
func (f *follower) follows(source string, now time.Time) (until time.Time, ok bool) {
	if f.source == "" {
		return until, false
	}
	if !now.Before(f.expiry) {
		f.unfollow(now)
		return until, false
	}
	return f.expiry, f.source == source
}

// unfollow: the other is silent, or what it said did not get through.
func (f *follower) unfollow(now time.Time) { f.source, f.cooldownEnd = "", now.Add(FollowCooldown) }

// isNewer reports whether a list from the other is news to one that holds a generation: the other's watch may have begun before
// what this one was told by its own. A whole list counts anew.
func isNewer(l *member.List, held uint64) bool { return l.Complete || l.Generation > held }
