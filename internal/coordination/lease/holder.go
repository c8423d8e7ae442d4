package lease

import (
	"maps"
	"slices"
	"time"
)

// SessionState is what a client believes: which leases its session holds, and until when by its own steady clock. Every answer is taken in
// with the instant at which the client had begun to ask, never with that at which the answer came.
type SessionState struct {
	Session SessionID
	ttl     time.Duration
	until   Instant // of the session
	version uint64
	held    map[string]*held
	wants   map[string]Instant // what it waits for, and since when
}

type held struct {
	token  Token
	until  Instant
	since  Instant // when the grant was heard of
	broken bool
}

// NewSessionState begins to believe in a session.
func NewSessionState(asked Instant, id SessionID, ttl time.Duration) *SessionState {
	return &SessionState{Session: id, ttl: ttl, until: ValidUntil(asked, ttl), held: map[string]*held{}, wants: map[string]Instant{}}
}

// BeginWait begins to wait for a lease. Every release of it has been answered by now: a grant that a later question is told of is new.
func (h *SessionState) BeginWait(name string, now Instant) { h.wants[name] = now }

// ApplyKeepAlive takes in a yes to a question whether the session lives, with what it holds, or nil where that is as in version. It gives what
// it has waited for and holds by now.
func (h *SessionState) ApplyKeepAlive(asked Instant, grants []Grant, version uint64) (granted []Grant) {
	until := ValidUntil(asked, h.ttl)
	h.until = max(h.until, until)
	if grants != nil && version > h.version {
		h.version = version
		here := map[string]Grant{}
		for _, g := range grants {
			here[g.Name] = g
		}
		for _, name := range slices.Sorted(maps.Keys(h.held)) {
			l := h.held[name]
			if g, ok := here[name]; ok && g.Token == l.token {
				l.broken = l.broken || g.Broken
			} else if l.since <= asked { // what was granted while the question was out is not in the answer
				delete(h.held, name)
			}
		}
	}
	for _, g := range grants { // whatever the version: what is waited for may have been granted before the wait was known of
		if since, waits := h.wants[g.Name]; waits && since <= asked && !g.Broken {
			h.ApplyGrant(asked, g.Name, g.Token)
			granted = append(granted, g)
		}
	}
	for _, l := range h.held {
		if !l.broken {
			l.until = max(l.until, until)
		}
	}
	return granted
}

// ApplyGrant takes in a grant, heard of now.
func (h *SessionState) ApplyGrant(now Instant, name string, token Token) {
	delete(h.wants, name)
	if l := h.held[name]; l == nil || l.token < token {
		h.held[name] = &held{token: token, until: h.until, since: now}
	}
}

// Forget stops to believe in a lease, or to wait for it. A release is sent after it.
func (h *SessionState) Forget(name string) {
	delete(h.held, name)
	delete(h.wants, name)
}

// Invalidate stops to believe in anything: the session is gone.
func (h *SessionState) Invalidate() {
	h.until, h.held, h.wants = -1<<62, map[string]*held{}, map[string]Instant{}
}

// Expiry is until when the session is believed to live.
func (h *SessionState) Expiry() Instant { return h.until }

// Held is the token of a lease and until when it is believed to be held; ok is false where it is not.
func (h *SessionState) Held(name string, now Instant) (token Token, until Instant, ok bool) {
	l := h.held[name]
	if l == nil || now >= l.until {
		return 0, 0, false
	}
	return l.token, l.until, true
}

// KnownVersion is the version of what the session holds that a question need not be answered with again. While something is waited for all is
// asked for: it may have been granted before the wait was known of.
func (h *SessionState) KnownVersion() uint64 {
	if len(h.wants) > 0 {
		return 0
	}
	return h.version
}

// Broken reports whether operators want a lease that is held to be let go.
func (h *SessionState) Broken(name string) bool { return h.held[name] != nil && h.held[name].broken }
