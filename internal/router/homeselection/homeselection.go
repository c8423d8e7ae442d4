// Package homeselection decides which core member a router subscribes to, and when the router changes to another one.
//
// It has no clock, network or goroutine of its own: the caller passes the members of the view and the time, reports the
// messages of the selected member, and subscribes to it. The caller holds one lock around every call.
package homeselection

import (
	"slices"
	"time"

	"petrelhook/internal/router/proximity"
	"petrelhook/internal/router/replication"
)

const (
	// Timeout is how long a home may be silent, or without contact with a majority of the core, before another one is
	// selected. It is three heartbeat intervals of a subscription.
	Timeout = 1200 * time.Millisecond
	// StartupTimeout is how long a home may be silent while a router is starting: it serves no requests until a home
	// answers.
	StartupTimeout = 300 * time.Millisecond
	// reviewInterval is how long a failed home is avoided, and how long a router keeps a home in another zone before it
	// looks for one in its own zone.
	reviewInterval = 5 * time.Second
)

// Selector selects the home of one router: the core member that it subscribes to, which distributes configuration and
// servers to the routers of its zone. The operators' pages and the status use the term "home" too.
type Selector struct {
	self     string // internal address of this router
	locality proximity.Locality

	current       string                   // internal address of the home; "" before the first selection
	selectedAt    time.Duration            // when current was selected, or a later review found no better one
	lastContact   time.Duration            // with the current home, or with the previous one until the current one answers
	quorumContact bool                     // the home's last message said that it has contact with a majority of the core
	avoidedUntil  map[string]time.Duration // by internal address of a failed home: time until which it is not selected
}

// New returns the Selector of the router with internal address self. It has no home yet.
func New(self string, locality proximity.Locality) *Selector {
	return &Selector{self: self, locality: locality, avoidedUntil: map[string]time.Duration{}}
}

// Current returns the internal address of the home, or "" before the first selection.
func (s *Selector) Current() string { return s.current }

// Observe records a message of the home, which says whether the home has contact with a majority of the core.
func (s *Selector) Observe(quorumContact bool, now time.Duration) {
	s.lastContact, s.quorumContact = now, quorumContact
}

// TimedOut reports whether the home has been silent for longer than Timeout.
func (s *Selector) TimedOut(now time.Duration) bool { return now-s.lastContact > Timeout }

// HasQuorumContact reports whether this router has contact with a majority of the core through its home: the home said so in its
// last message and has not timed out.
func (s *Selector) HasQuorumContact(now time.Duration) bool {
	return s.quorumContact && !s.TimedOut(now)
}

// LastQuorumContact reports whether the home's last message said that it has contact with a majority of the core, however old
// that message is.
func (s *Selector) LastQuorumContact() bool { return s.quorumContact }

// Review selects another home if the current one is no longer a member of the core, is silent, has lost contact with a
// majority, or has been in another zone for longer than reviewInterval. Argument starting is true for a router that has
// just started and serves no requests yet.
func (s *Selector) Review(members []replication.Member, starting bool, now time.Duration) {
	timeout := Timeout
	if starting {
		timeout = StartupTimeout
	}
	timedOut := now-max(s.lastContact, s.selectedAt) > timeout
	quorumLost := now-s.selectedAt > Timeout && !s.quorumContact
	if s.current != "" && (timedOut || quorumLost) {
		s.avoidedUntil[s.current] = now + reviewInterval
	}
	zone, isMember := s.zone(members)
	remote := now-s.selectedAt > reviewInterval && zone != s.locality.Zone
	if s.current != "" && isMember && !timedOut && !quorumLost && !remote {
		return
	}
	best := s.best(members, now)
	if best == "" || best == s.current {
		s.selectedAt = now
		return
	}
	s.current, s.selectedAt, s.quorumContact = best, now, false
}

// zone returns the zone of the home, and whether the home is among members.
func (s *Selector) zone(members []replication.Member) (zone string, isMember bool) {
	i := slices.IndexFunc(members, func(m replication.Member) bool { return m.Address == s.current })
	if i < 0 {
		return "", false
	}
	return members[i].Zone, true
}

// best returns the nearest member that is not avoided because it failed as the home recently. The routers of a zone
// spread over the members of that zone.
func (s *Selector) best(members []replication.Member, now time.Duration) string {
	return s.locality.Nearest(members, s.self, func(address string) bool { return now < s.avoidedUntil[address] })
}
