// Package homeselection decides which core member a router subscribes to, and when it changes to another one.
//
// It is pure: the caller passes the view's members and the time, reports what it receives from the member selected, and
// subscribes to it. One lock is held around every call.
package homeselection

import (
	"slices"
	"time"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/replication"
)

const (
	// Timeout is how long a home may send nothing, or be without contact with a majority of the core, before another
	// one is selected. It is three heartbeats of a subscription.
	Timeout = 1200 * time.Millisecond
	// StartupTimeout is the same of a router that has just started and serves nobody until a home answers.
	StartupTimeout = 300 * time.Millisecond
	// reviewInterval is how long a home that did not work is avoided, and after how long a home in another zone is
	// given up for one in the own zone.
	reviewInterval = 5 * time.Second
)

// Selector selects the home of one router: the core member that it subscribes to, which distributes configuration and
// servers to the routers of its zone. Operators' pages and the status call it home too.
type Selector struct {
	self     string // internal address of this router
	locality proximity.Locality

	current       string        // internal address; "" before the first selection
	selectedAt    time.Duration // or when it was last found to be the best one still
	lastContact   time.Duration // with the home, or with the one before
	inTouch       bool          // the home's last message says that it has contact with a majority of the core
	avoidedBefore map[string]time.Duration
}

// New returns the selector of a router at an internal address, which has no home yet.
func New(self string, locality proximity.Locality) *Selector {
	return &Selector{self: self, locality: locality, avoidedBefore: map[string]time.Duration{}}
}

// Current returns the internal address of the home, or "".
func (s *Selector) Current() string { return s.current }

// Observe records that the home sent a message, which says whether it has contact with a majority of the core.
func (s *Selector) Observe(inTouch bool, now time.Duration) { s.lastContact, s.inTouch = now, inTouch }

// TimedOut reports whether the home has sent nothing for longer than Timeout.
func (s *Selector) TimedOut(now time.Duration) bool { return now-s.lastContact > Timeout }

// InTouch reports whether this router has contact with a majority of the core by way of its home, as far as it knows.
func (s *Selector) InTouch(now time.Duration) bool { return s.inTouch && !s.TimedOut(now) }

// LastInTouch reports whether the home's last message said that it has contact with a majority of the core, however
// long ago.
func (s *Selector) LastInTouch() bool { return s.inTouch }

// Review selects another home where the current one is no member of the core any more, sends nothing, has lost contact
// with a majority, or is in another zone; starting is true for a router that has just started and serves nobody yet.
func (s *Selector) Review(members []replication.Member, starting bool, now time.Duration) {
	timeout := Timeout
	if starting {
		timeout = StartupTimeout
	}
	timedOut := now-max(s.lastContact, s.selectedAt) > timeout
	outOfTouch := now-s.selectedAt > Timeout && !s.inTouch
	if s.current != "" && (timedOut || outOfTouch) {
		s.avoidedBefore[s.current] = now + reviewInterval
	}
	zone, isMember := s.zone(members)
	remote := now-s.selectedAt > reviewInterval && zone != s.locality.Zone
	if s.current != "" && isMember && !timedOut && !outOfTouch && !remote {
		return
	}
	best := s.best(members, now)
	if best == "" || best == s.current {
		s.selectedAt = now
		return
	}
	s.current, s.selectedAt, s.inTouch = best, now, false
}

// zone returns the zone of the home, where it is a member.
func (s *Selector) zone(members []replication.Member) (zone string, isMember bool) {
	i := slices.IndexFunc(members, func(m replication.Member) bool { return m.Address == s.current })
	if i < 0 {
		return "", false
	}
	return members[i].Zone, true
}

// best returns the nearest member that did not fail as a home lately. Routers of a zone spread over its members.
func (s *Selector) best(members []replication.Member, now time.Duration) string {
	return s.locality.Nearest(members, s.self, func(address string) bool { return now < s.avoidedBefore[address] })
}
