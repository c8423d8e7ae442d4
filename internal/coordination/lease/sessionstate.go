package lease

import (
	"maps"
	"slices"
	"time"
)

// SessionState is what a client believes: which leases its session holds, and until when by its own steady clock. Every response is
// applied with the instant at which the client sent the request, never with that at which the response arrived. It is not safe for
// concurrent use.
type SessionState struct {
	Session       SessionID
	ttl           time.Duration
	expiry        Instant // of the session
	grantsVersion uint64
	grants        map[string]*heldGrant
	waiting       map[string]Instant // leases that it waits for, and since when
}

type heldGrant struct {
	token     Token
	expiry    Instant
	learnedAt Instant // when the client learned of the grant
	broken    bool
}

// NewSessionState returns the state of a session that was opened by a request sent at requestedAt.
func NewSessionState(requestedAt Instant, id SessionID, ttl time.Duration) *SessionState {
	return &SessionState{Session: id, ttl: ttl, expiry: ValidUntil(requestedAt, ttl), grants: map[string]*heldGrant{}, waiting: map[string]Instant{}}
}

// BeginWait begins to wait for a lease. Every release of it has been answered by now: a grant that the response to a later request
// reports is a new one.
func (s *SessionState) BeginWait(name string, now Instant) { s.waiting[name] = now }

// ApplyKeepAlive applies the response to a keep-alive request that renewed the session. grants are those that the session holds at that
// version; nil says that they are those of the version that the request named. It returns the grants that the session has waited for.
func (s *SessionState) ApplyKeepAlive(requestedAt Instant, grants []Grant, version uint64) (granted []Grant) {
	expiry := ValidUntil(requestedAt, s.ttl)
	s.expiry = max(s.expiry, expiry)
	if grants != nil && version > s.grantsVersion {
		s.grantsVersion = version
		s.dropMissing(requestedAt, grants)
	}
	// Whatever the version: a lease may have been granted before the client recorded that it waits for it.
	for _, g := range grants {
		if waitingSince, isWaiting := s.waiting[g.Name]; isWaiting && waitingSince <= requestedAt && !g.Broken {
			s.ApplyGrant(requestedAt, g.Name, g.Token)
			granted = append(granted, g)
		}
	}
	for _, held := range s.grants {
		if !held.broken {
			held.expiry = max(held.expiry, expiry)
		}
	}
	return granted
}

// dropMissing forgets the grants that a newer list does not have. One that was learned of after the request is not in its response.
func (s *SessionState) dropMissing(requestedAt Instant, grants []Grant) {
	current := map[string]Grant{}
	for _, g := range grants {
		current[g.Name] = g
	}
	for _, name := range slices.Sorted(maps.Keys(s.grants)) {
		held := s.grants[name]
		if g, ok := current[name]; ok && g.Token == held.token {
			held.broken = held.broken || g.Broken
		} else if held.learnedAt <= requestedAt {
			delete(s.grants, name)
		}
	}
}

// ApplyGrant records a grant that the client learned of now.
func (s *SessionState) ApplyGrant(now Instant, name string, token Token) {
	delete(s.waiting, name)
	if held := s.grants[name]; held == nil || held.token < token {
		s.grants[name] = &heldGrant{token: token, expiry: s.expiry, learnedAt: now}
	}
}

// Forget ends the belief in a lease, and the wait for it. A client calls it before it sends a release.
func (s *SessionState) Forget(name string) {
	delete(s.grants, name)
	delete(s.waiting, name)
}

// Invalidate ends the belief in the session and all its grants. The client calls it when a coordinator says that the session is gone.
func (s *SessionState) Invalidate() {
	s.expiry, s.grants, s.waiting = -1<<62, map[string]*heldGrant{}, map[string]Instant{}
}

// Expiry returns the instant until which the session is believed to be alive.
func (s *SessionState) Expiry() Instant { return s.expiry }

// Held returns the token of a lease and until when it is believed to be held; ok is false where it is not.
func (s *SessionState) Held(name string, now Instant) (token Token, until Instant, ok bool) {
	held := s.grants[name]
	if held == nil || now >= held.expiry {
		return 0, 0, false
	}
	return held.token, held.expiry, true
}

// KnownVersion returns the version of the session's grants for which a keep-alive request need not be answered with the grants. It is 0
// while the client waits for a lease: it may have been granted before the client recorded that it waits.
func (s *SessionState) KnownVersion() uint64 {
	if len(s.waiting) > 0 {
		return 0
	}
	return s.grantsVersion
}

// Broken reports whether operators broke the grant of a lease that is held: it is not renewed any more.
func (s *SessionState) Broken(name string) bool {
	return s.grants[name] != nil && s.grants[name].broken
}
