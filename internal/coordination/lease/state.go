package lease

import (
	"maps"
	"slices"
	"time"
)

// State is the replicated state machine: it records which session holds which lease. The same commands in the same order produce the same
// state.
//
// Invariants: every holder and every waiter is a session that exists; no session is in a queue twice or waits for a lease that it holds; a
// free lease has no queue, except under an embargo; tokens only grow.
type State struct {
	lastToken   Token     // of the latest grant
	lastSession SessionID // the id of the session that was opened last
	sessions    map[SessionID]*session
	nonces      map[string]SessionID
	leases      map[string]*lease
	embargo     time.Duration // above 0: nothing is granted until one leader has led for this long
}

type session struct {
	id         SessionID
	owner      string
	nonce      string
	ttl        time.Duration
	lastSeq    uint64              // sequence number of the last command
	lastAnswer Answer              // the answer to that command, repeated when the command is repeated
	version    uint64              // version of its grants; grows with each change of them
	holds      map[string]struct{} // names of the leases that it holds
	waits      map[string]struct{} // names of the leases that it waits for
}

type lease struct {
	name    string
	holder  SessionID // 0: the lease is free
	token   Token
	broken  bool
	waiters []SessionID // the queue; the next holder comes first
}

// NewState returns the state of a new group.
func NewState() *State {
	return &State{sessions: map[SessionID]*session{}, nonces: map[string]SessionID{}, leases: map[string]*lease{}}
}

// Apply applies the next command of the log and returns its outcome.
func (s *State) Apply(c Command) Answer {
	switch c.Kind {
	case Open:
		return s.openSession(c)
	case Expire:
		if sess := s.sessions[c.Session]; sess != nil {
			s.endSession(sess)
		}
		return Answer{Status: OK}
	case Break:
		l := s.leases[c.Name]
		if l == nil || l.holder == 0 || c.Token != 0 && c.Token != l.token {
			return Answer{Status: NotHeld}
		}
		l.broken = true
		s.sessions[l.holder].version++
		return Answer{Status: OK, Token: l.token, Holder: s.sessions[l.holder].owner}
	case Free:
		if l := s.leases[c.Name]; l != nil && l.holder != 0 && l.broken && l.token == c.Token {
			s.release(l)
		}
		return Answer{Status: OK}
	case EndEmbargo:
		s.embargo = 0
		for _, name := range slices.Sorted(maps.Keys(s.leases)) {
			s.grantToNext(s.leases[name])
		}
		return Answer{Status: OK}
	}
	sess := s.sessions[c.Session]
	switch {
	case sess == nil || !c.OfClient():
		return Answer{Status: NoSession}
	case c.Seq == sess.lastSeq:
		return sess.lastAnswer
	case c.Seq < sess.lastSeq:
		return Answer{Status: Stale}
	}
	sess.lastSeq = c.Seq
	sess.lastAnswer = s.applyClientCommand(sess, c)
	return sess.lastAnswer
}

// openSession opens a session, or returns the existing one that was opened with the same nonce.
func (s *State) openSession(c Command) Answer {
	if id, known := s.nonces[c.Nonce]; known {
		return Answer{Status: OK, Session: id}
	}
	if len(s.sessions) >= MaxSessions {
		return Answer{Status: Full}
	}
	s.lastSession++
	sess := &session{id: s.lastSession, owner: c.Owner, nonce: c.Nonce, ttl: c.TTL, holds: map[string]struct{}{}, waits: map[string]struct{}{}}
	s.sessions[sess.id], s.nonces[c.Nonce] = sess, sess.id
	return Answer{Status: OK, Session: sess.id}
}

// applyClientCommand applies a command of the client of a session. Its sequence number has been checked.
func (s *State) applyClientCommand(sess *session, c Command) Answer {
	if c.Kind == Close {
		s.endSession(sess)
		return Answer{Status: OK}
	}
	l := s.leases[c.Name]
	if l == nil {
		l = &lease{name: c.Name}
		if c.Kind == Acquire {
			s.leases[c.Name] = l
			defer s.removeIfUnused(l)
		}
	}
	switch owns := l.holder == sess.id; c.Kind {
	case Acquire:
		return s.acquire(sess, l, c.Wait)
	case Cancel:
		if owns {
			s.release(l)
		} else if i := slices.Index(l.waiters, sess.id); i >= 0 {
			l.waiters = slices.Delete(l.waiters, i, i+1)
			delete(sess.waits, l.name)
			s.removeIfUnused(l)
		}
		return Answer{Status: OK}
	case Release:
		if !owns || l.token != c.Token {
			return Answer{Status: NotHeld}
		}
		s.release(l)
		return Answer{Status: OK}
	case Transfer:
		i := slices.Index(l.waiters, c.TransferTo)
		if !owns || l.token != c.Token || i < 0 || l.broken {
			return Answer{Status: NotHeld}
		}
		l.waiters = slices.Insert(slices.Delete(l.waiters, i, i+1), 0, c.TransferTo)
		s.release(l)
		return Answer{Status: OK, Token: l.token}
	}
	return Answer{Status: NoSession}
}

// acquire grants a free lease to the session. Otherwise the session joins the queue if wait is set. An Acquire for a lease that the session
// holds already returns the existing grant.
func (s *State) acquire(sess *session, l *lease, wait bool) Answer {
	if l.holder == sess.id {
		return Answer{Status: OK, Token: l.token}
	}
	position := slices.Index(l.waiters, sess.id)
	switch {
	case position >= 0: // the session is in the queue already
	case len(sess.holds)+len(sess.waits) >= MaxSessionLeases:
		return Answer{Status: Full}
	case l.holder == 0 && s.embargo == 0:
		l.waiters = append(l.waiters, sess.id)
		s.grantToNext(l)
		return Answer{Status: OK, Token: l.token}
	case !wait && s.embargo > 0 && l.holder == 0:
		return Answer{Status: Embargoed}
	case !wait:
		return Answer{Status: HeldByOther, Holder: s.ownerName(l.holder)}
	case len(l.waiters) >= MaxWaiters:
		return Answer{Status: Full}
	default:
		position = len(l.waiters)
		l.waiters = append(l.waiters, sess.id)
		sess.waits[l.name] = struct{}{}
	}
	return Answer{Status: Waiting, Holder: s.ownerName(l.holder), WaitersAhead: position}
}

// grantToNext grants a free lease to the first session in its queue.
func (s *State) grantToNext(l *lease) {
	if l.holder != 0 || s.embargo > 0 || len(l.waiters) == 0 {
		return
	}
	s.lastToken++
	l.holder, l.token, l.broken = l.waiters[0], s.lastToken, false
	l.waiters = slices.Delete(l.waiters, 0, 1)
	sess := s.sessions[l.holder]
	delete(sess.waits, l.name)
	sess.holds[l.name] = struct{}{}
	sess.version++
}

// release ends the grant of a lease and grants it to the next waiter.
func (s *State) release(l *lease) {
	sess := s.sessions[l.holder]
	delete(sess.holds, l.name)
	sess.version++
	l.holder, l.broken = 0, false
	s.grantToNext(l)
	s.removeIfUnused(l)
}

// removeIfUnused removes a lease that no session holds or waits for.
func (s *State) removeIfUnused(l *lease) {
	if l.holder == 0 && len(l.waiters) == 0 {
		delete(s.leases, l.name)
	}
}

// endSession ends a session. It is removed from all queues first, so that none of the leases it holds is granted to it again.
func (s *State) endSession(sess *session) {
	for name := range sess.waits {
		l := s.leases[name]
		l.waiters = slices.DeleteFunc(l.waiters, func(id SessionID) bool { return id == sess.id })
		s.removeIfUnused(l)
	}
	clear(sess.waits)
	for _, name := range slices.Sorted(maps.Keys(sess.holds)) { // sorted: all replicas must assign the tokens in the same order
		s.release(s.leases[name])
	}
	delete(s.sessions, sess.id)
	delete(s.nonces, sess.nonce)
}

// ownerName returns the owner of a session, or "" if there is no such session.
func (s *State) ownerName(id SessionID) string {
	if sess := s.sessions[id]; sess != nil {
		return sess.owner
	}
	return ""
}

// Grant is a lease that a session holds.
type Grant struct {
	Name   string `json:"name"`
	Token  Token  `json:"token"`
	Broken bool   `json:"broken,omitempty"` // operators broke it: it is not renewed any more
}

// Grants returns the leases that a session holds, sorted by name, and the version of that list. The list is nil if known is its version
// or if there is no such session.
func (s *State) Grants(id SessionID, known uint64) (grants []Grant, version uint64) {
	sess := s.sessions[id]
	if sess == nil || sess.version == known {
		return nil, known
	}
	grants = []Grant{}
	for _, name := range slices.Sorted(maps.Keys(sess.holds)) {
		l := s.leases[name]
		grants = append(grants, Grant{name, l.token, l.broken})
	}
	return grants, sess.version
}
