package lease

import (
	"maps"
	"slices"
	"time"
)

// State records which session holds which lease. Equal commands in equal order make equal states.
//
// Invariants: every holder and every waiter is a session that exists; no session is twice in a queue, or waits for what it holds; a free
// lease has no queue, except under an embargo; tokens grow.
type State struct {
	lastToken   Token     // the last one that was granted
	lastSession SessionID // the last one that was opened
	sessions    map[SessionID]*session
	nonces      map[string]SessionID
	leases      map[string]*lease
	embargo     time.Duration // above 0: nothing is granted until a leader has led for so long
}

type session struct {
	id         SessionID
	owner      string
	nonce      string
	ttl        time.Duration
	lastSeq    uint64              // sequence number of the last command
	lastAnswer Answer              // to it
	version    uint64              // of its grants: grows with each change
	holds      map[string]struct{} // names of leases
	waits      map[string]struct{}
}

type lease struct {
	name    string
	holder  SessionID // 0: the lease is free
	token   Token
	broken  bool
	waiters []SessionID // the next holder first
}

// NewState returns the state of a new group.
func NewState() *State {
	return &State{sessions: map[SessionID]*session{}, nonces: map[string]SessionID{}, leases: map[string]*lease{}}
}

// Apply carries out the next command of the log.
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

// openSession begins a session, or finds the one that the same nonce has begun.
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

// applyClientCommand carries out a command of a session.
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

func (s *State) acquire(sess *session, l *lease, wait bool) Answer {
	if l.holder == sess.id {
		return Answer{Status: OK, Token: l.token}
	}
	position := slices.Index(l.waiters, sess.id)
	switch {
	case position >= 0: // it waits already
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

// release ends a grant, and makes the next one.
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

// endSession ends a session. Its waits end first, so that nothing that it holds is granted to it again.
func (s *State) endSession(sess *session) {
	for name := range sess.waits {
		l := s.leases[name]
		l.waiters = slices.DeleteFunc(l.waiters, func(id SessionID) bool { return id == sess.id })
		s.removeIfUnused(l)
	}
	clear(sess.waits)
	for _, name := range slices.Sorted(maps.Keys(sess.holds)) { // in a fixed order, for tokens are granted
		s.release(s.leases[name])
	}
	delete(s.sessions, sess.id)
	delete(s.nonces, sess.nonce)
}

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

// Grants returns what a session holds, by name, and the version of that; nil where known is that version.
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
