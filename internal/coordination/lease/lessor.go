package lease

import (
	"maps"
	"slices"
)

// Lessor is the granting side's view of time: until when each session, and each grant that was broken, must not be ended. It
// belongs to one term of one leader; nothing of it is in the log. All instants are of the leader's own steady clock.
type Lessor struct {
	state        *State
	expiry       map[SessionID]Instant // a session must not be ended before
	expiring     map[SessionID]bool    // Expire is proposed
	brokenGrants map[string]brokenGrant
	embargoEnd   Instant
}

// brokenGrant is a grant that operators broke. Its holder may believe in it until freeAt.
type brokenGrant struct {
	token  Token
	freeAt Instant
}

// NewLessor begins a term, at an instant at which this leader has applied everything that was in the log before it. Every session
// lives a complete TTL more: the leader before may have renewed it just before it was succeeded.
func NewLessor(s *State, now Instant) *Lessor {
	ls := &Lessor{state: s, expiry: map[SessionID]Instant{}, expiring: map[SessionID]bool{}, brokenGrants: map[string]brokenGrant{}}
	ls.embargoEnd = now.Add(s.embargo)
	for id := range s.sessions {
		ls.Renew(id, now)
	}
	for name := range s.leases {
		ls.watchBroken(name, now)
	}
	return ls
}

// Renew grants a session its TTL from now on. The caller has checked that it is Renewable.
func (ls *Lessor) Renew(id SessionID, now Instant) {
	if sess := ls.state.sessions[id]; sess != nil && !ls.expiring[id] {
		ls.expiry[id] = now.Add(sess.ttl)
	}
}

// Renewable reports whether a session may still be renewed: it exists, and no Expire of it is proposed.
func (ls *Lessor) Renewable(id SessionID) bool {
	_, ok := ls.state.sessions[id]
	return ok && !ls.expiring[id]
}

// ExpiryCommands returns the commands whose time has come. They are returned again until they are applied: a proposal may be lost.
func (ls *Lessor) ExpiryCommands(now Instant) (commands []Command) {
	for _, id := range slices.Sorted(maps.Keys(ls.expiry)) {
		if ls.state.sessions[id] == nil {
			delete(ls.expiry, id)
			delete(ls.expiring, id)
			continue
		}
		if ls.expiry[id] <= now {
			ls.expiring[id] = true
			commands = append(commands, Command{Kind: Expire, Session: id})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(ls.brokenGrants)) {
		if l := ls.state.leases[name]; l == nil || !l.broken || l.token != ls.brokenGrants[name].token {
			delete(ls.brokenGrants, name)
		} else if ls.brokenGrants[name].freeAt <= now {
			commands = append(commands, Command{Kind: Free, Name: name, Token: l.token})
		}
	}
	if ls.state.embargo > 0 && ls.embargoEnd <= now {
		commands = append(commands, Command{Kind: EndEmbargo})
	}
	return commands
}

// Applied is called after each command of this term that State.Apply has applied, with its answer.
func (ls *Lessor) Applied(cmd Command, a Answer, now Instant) {
	switch cmd.Kind {
	case Open:
		if _, known := ls.expiry[a.Session]; a.Status == OK && !known {
			ls.Renew(a.Session, now)
		}
	case Break:
		ls.watchBroken(cmd.Name, now)
	}
}

// watchBroken begins the time after which a broken grant is free: its holder may have been renewed until now.
func (ls *Lessor) watchBroken(name string, now Instant) {
	l := ls.state.leases[name]
	if l == nil || !l.broken || l.holder == 0 || ls.brokenGrants[name].token == l.token {
		return
	}
	ls.brokenGrants[name] = brokenGrant{l.token, now.Add(ls.state.sessions[l.holder].ttl)}
}
