package lease

import (
	"maps"
	"slices"
	"time"
)

// SessionState is the client's view of its session: which leases it holds, and until when by the client's own steady clock. Every response
// is applied with the instant at which the client sent the request, never with the instant at which the response arrived. It is not safe
// for concurrent use.
type SessionState struct {
	Session       SessionID
	ttl           time.Duration
	expiry        Instant // of the session
	grantsVersion uint64
	grants        map[string]*heldGrant
	waiting       map[string]Instant // leases that the client waits for, and since when
}

type heldGrant struct {
	token     Token
	expiry    Instant
	learnedAt Instant // when the client learned of the grant
	broken    bool
}

// NewSessionState returns the state of a session without leases. requestedAt is when the client sent the request that opened it.
func NewSessionState(requestedAt Instant, id SessionID, ttl time.Duration) *SessionState {
	return &SessionState{Session: id, ttl: ttl, expiry: ValidUntil(requestedAt, ttl), grants: map[string]*heldGrant{}, waiting: map[string]Instant{}}
}

// BeginWait records that the client waits for a lease from now on. The caller must have received the responses to all earlier releases of
// this lease: then a grant that is reported in response to a later request is a new one.
func (s *SessionState) BeginWait(name string, now Instant) { s.waiting[name] = now }

// ApplyKeepAlive applies the response to a keep-alive request that renewed the session. grants are all grants of the session at this
// version; nil means that they have not changed since the version that the request named. It returns the grants that the client has waited
// for.
func (s *SessionState) ApplyKeepAlive(requestedAt Instant, grants []Grant, version uint64) (granted []Grant) {
	expiry := ValidUntil(requestedAt, s.ttl)
	s.expiry = max(s.expiry, expiry)
	if grants != nil && version > s.grantsVersion {
		s.grantsVersion = version
		s.dropMissing(requestedAt, grants)
	}
	// This does not depend on the version: a lease may have been granted before the client recorded that it waits for it.
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

// dropMissing removes the grants that a newer list does not contain, and marks those that operators broke. It keeps a grant that the client
// learned of after it sent the request, because the list may be older than this grant.
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

// ApplyGrant records a grant that the client learned of at now. It is valid as long as the session is.
func (s *SessionState) ApplyGrant(now Instant, name string, token Token) {
	delete(s.waiting, name)
	if held := s.grants[name]; held == nil || held.token < token {
		s.grants[name] = &heldGrant{token: token, expiry: s.expiry, learnedAt: now}
	}
}

// Forget removes a lease from the client's view, whether the client holds it or waits for it. The client calls it before it sends a
// release.
func (s *SessionState) Forget(name string) {
	delete(s.grants, name)
	delete(s.waiting, name)
}

// Invalidate marks the session as expired and removes all its grants and waits. The client calls it when a coordinator answers that the
// session does not exist any more.
func (s *SessionState) Invalidate() {
	s.expiry, s.grants, s.waiting = -1<<62, map[string]*heldGrant{}, map[string]Instant{}
}

// Expiry returns the instant until which the client may assume that its session is alive.
func (s *SessionState) Expiry() Instant { return s.expiry }

// Held returns the token of a lease and the instant until which the client may assume that it holds the lease; ok is false if it may not
// assume so at now.
func (s *SessionState) Held(name string, now Instant) (token Token, until Instant, ok bool) {
	held := s.grants[name]
	if held == nil || now >= held.expiry {
		return 0, 0, false
	}
	return held.token, held.expiry, true
}

// KnownVersion returns the version of the grants that the client knows, which a keep-alive request carries so that unchanged grants are not
// sent again. It is 0, which requests all grants, while the client waits for a lease: the lease may have been granted before the client
// recorded that it waits for it.
func (s *SessionState) KnownVersion() uint64 {
	if len(s.waiting) > 0 {
		return 0
	}
	return s.grantsVersion
}

// Broken reports whether operators broke the grant of a lease that the client holds. Such a grant is not renewed any more.
func (s *SessionState) Broken(name string) bool {
	return s.grants[name] != nil && s.grants[name].broken
}
