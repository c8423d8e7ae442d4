package lease

import (
	"maps"
	"slices"
	"time"
)

// State is who holds what. Equal commands in equal order make equal states.
//
// Invariants: a lease that is held, or waited for, is that of a session that exists; nobody is twice in a queue, or in one of what
// he holds; a lease that nobody holds has no queue, but under an embargo; tokens grow.
type State struct {
	token    Token     // the last one given
	session  SessionID // the last one opened
	sessions map[SessionID]*session
	nonces   map[string]SessionID
	leases   map[string]*lease
	embargo  time.Duration // above 0: nothing is granted until a leader has led for so long
}

type session struct {
	id      SessionID
	owner   string
	nonce   string
	ttl     time.Duration
	seq     uint64 // of the last command
	answer  Answer // to it
	version uint64 // grows with each change of what it holds
	holds   map[string]struct{}
	waits   map[string]struct{}
}

type lease struct {
	name   string
	holder SessionID // 0: nobody
	token  Token
	broken bool
	queue  []SessionID
}

// NewState is the state of a group that begins.
func NewState() *State {
	return &State{sessions: map[SessionID]*session{}, nonces: map[string]SessionID{}, leases: map[string]*lease{}}
}

// Apply carries out the next command of the log.
func (s *State) Apply(c Command) Answer {
	switch c.Kind {
	case Open:
		return s.open(c)
	case Expire:
		if own := s.sessions[c.Session]; own != nil {
			s.end(own)
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
			s.free(l)
		}
		return Answer{Status: OK}
	case EndEmbargo:
		s.embargo = 0
		for _, name := range slices.Sorted(maps.Keys(s.leases)) {
			s.grant(s.leases[name])
		}
		return Answer{Status: OK}
	}
	own := s.sessions[c.Session]
	switch {
	case own == nil || !c.OfClient():
		return Answer{Status: NoSession}
	case c.Seq == own.seq:
		return own.answer
	case c.Seq < own.seq:
		return Answer{Status: Stale}
	}
	own.seq = c.Seq
	own.answer = s.carryOut(own, c)
	return own.answer
}

// open begins a session.
func (s *State) open(c Command) Answer {
	if id, known := s.nonces[c.Nonce]; known {
		return Answer{Status: OK, Session: id}
	}
	if len(s.sessions) >= MaxSessions {
		return Answer{Status: Full}
	}
	s.session++
	own := &session{id: s.session, owner: c.Owner, nonce: c.Nonce, ttl: c.TTL, holds: map[string]struct{}{}, waits: map[string]struct{}{}}
	s.sessions[own.id], s.nonces[c.Nonce] = own, own.id
	return Answer{Status: OK, Session: own.id}
}

// carryOut does what a session asks for.
func (s *State) carryOut(own *session, c Command) Answer {
	if c.Kind == Close {
		s.end(own)
		return Answer{Status: OK}
	}
	l := s.leases[c.Name]
	if l == nil {
		l = &lease{name: c.Name}
		if c.Kind == Acquire {
			s.leases[c.Name] = l
			defer s.tidy(l)
		}
	}
	switch held := l.holder == own.id; c.Kind {
	case Acquire:
		return s.acquire(own, l, c.Wait)
	case Cancel:
		if held {
			s.free(l)
		} else if i := slices.Index(l.queue, own.id); i >= 0 {
			l.queue = slices.Delete(l.queue, i, i+1)
			delete(own.waits, l.name)
			s.tidy(l)
		}
		return Answer{Status: OK}
	case Release:
		if !held || l.token != c.Token {
			return Answer{Status: NotHeld}
		}
		s.free(l)
		return Answer{Status: OK}
	case Transfer:
		i := slices.Index(l.queue, c.TransferTo)
		if !held || l.token != c.Token || i < 0 || l.broken {
			return Answer{Status: NotHeld}
		}
		l.queue = slices.Insert(slices.Delete(l.queue, i, i+1), 0, c.TransferTo)
		s.free(l)
		return Answer{Status: OK, Token: l.token}
	}
	return Answer{Status: NoSession}
}

func (s *State) acquire(own *session, l *lease, wait bool) Answer {
	if l.holder == own.id {
		return Answer{Status: OK, Token: l.token}
	}
	at := slices.Index(l.queue, own.id)
	switch {
	case at >= 0: // it waits already
	case len(own.holds)+len(own.waits) >= MaxSessionLeases:
		return Answer{Status: Full}
	case l.holder == 0 && s.embargo == 0:
		l.queue = append(l.queue, own.id)
		s.grant(l)
		return Answer{Status: OK, Token: l.token}
	case !wait && s.embargo > 0 && l.holder == 0:
		return Answer{Status: Embargoed}
	case !wait:
		return Answer{Status: HeldByOther, Holder: s.owner(l.holder)}
	case len(l.queue) >= MaxWaiters:
		return Answer{Status: Full}
	default:
		at = len(l.queue)
		l.queue = append(l.queue, own.id)
		own.waits[l.name] = struct{}{}
	}
	return Answer{Status: Waiting, Holder: s.owner(l.holder), WaitersAhead: at}
}

// grant gives a lease that nobody holds to whoever is first in its queue.
func (s *State) grant(l *lease) {
	if l.holder != 0 || s.embargo > 0 || len(l.queue) == 0 {
		return
	}
	s.token++
	l.holder, l.token, l.broken = l.queue[0], s.token, false
	l.queue = slices.Delete(l.queue, 0, 1)
	own := s.sessions[l.holder]
	delete(own.waits, l.name)
	own.holds[l.name] = struct{}{}
	own.version++
}

// free ends a grant and makes the next.
func (s *State) free(l *lease) {
	own := s.sessions[l.holder]
	delete(own.holds, l.name)
	own.version++
	l.holder, l.broken = 0, false
	s.grant(l)
	s.tidy(l)
}

// tidy forgets a lease that nobody has to do with.
func (s *State) tidy(l *lease) {
	if l.holder == 0 && len(l.queue) == 0 {
		delete(s.leases, l.name)
	}
}

// end ends a session: first it waits no more, so that nothing that it holds comes back to it.
func (s *State) end(own *session) {
	for name := range own.waits {
		l := s.leases[name]
		l.queue = slices.DeleteFunc(l.queue, func(id SessionID) bool { return id == own.id })
		s.tidy(l)
	}
	clear(own.waits)
	for _, name := range slices.Sorted(maps.Keys(own.holds)) { // in an order, for tokens are given
		s.free(s.leases[name])
	}
	delete(s.sessions, own.id)
	delete(s.nonces, own.nonce)
}

func (s *State) owner(id SessionID) string {
	if own := s.sessions[id]; own != nil {
		return own.owner
	}
	return ""
}

// SessionTTL reports whether a session exists, and how long it lives without a word.
func (s *State) SessionTTL(id SessionID) (ttl time.Duration, ok bool) {
	own := s.sessions[id]
	if own == nil {
		return 0, false
	}
	return own.ttl, true
}

// Embargo is above 0 where nothing is granted until a leader has led for so long.
func (s *State) Embargo() time.Duration { return s.embargo }

// Grant is a lease that a session holds.
type Grant struct {
	Name   string `json:"name"`
	Token  Token  `json:"token"`
	Broken bool   `json:"broken,omitempty"` // it is not renewed: what was believed of it before is all there is
}

// Grants are what a session holds, in order, and the version of that; nil where known is that version.
func (s *State) Grants(id SessionID, known uint64) (grants []Grant, version uint64) {
	own := s.sessions[id]
	if own == nil || own.version == known {
		return nil, known
	}
	grants = []Grant{}
	for _, name := range slices.Sorted(maps.Keys(own.holds)) {
		l := s.leases[name]
		grants = append(grants, Grant{name, l.token, l.broken})
	}
	return grants, own.version
}
