package lease

import (
	"maps"
	"slices"
)

// Lessor holds the leader's timers: the earliest instant at which each session, and each broken grant, may be ended. It belongs to one
// term of one leader and is not replicated. All instants are of the leader's own steady clock.
type Lessor struct {
	state        *State
	expiry       map[SessionID]Instant // the earliest instant at which a session may be ended
	expiring     map[SessionID]bool    // sessions whose Expire has been proposed
	brokenGrants map[string]brokenGrant
	embargoEnd   Instant
}

// brokenGrant is a grant that operators broke. Its holder may rely on it until freeAt.
type brokenGrant struct {
	token  Token
	freeAt Instant
}

// NewLessor returns the Lessor of a new term. The caller must have applied every entry that was in the log before the term. Every session
// gets a complete TTL from now, because the previous leader may have renewed it until it was replaced.
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

// Renew extends a session by its TTL from now. It does nothing for a session that does not exist or whose Expire has been proposed.
func (ls *Lessor) Renew(id SessionID, now Instant) {
	if sess := ls.state.sessions[id]; sess != nil && !ls.expiring[id] {
		ls.expiry[id] = now.Add(sess.ttl)
	}
}

// Renewable reports whether a session may still be renewed: it exists, and no Expire has been proposed for it.
func (ls *Lessor) Renewable(id SessionID) bool {
	_, ok := ls.state.sessions[id]
	return ok && !ls.expiring[id]
}

// ExpiryCommands returns the Expire, Free and EndEmbargo commands that are due. It returns a command again until the command is applied,
// because a proposal may be lost.
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

// Applied updates the timers. The leader calls it after State.Apply for each command that was applied in its term, with the answer.
func (ls *Lessor) Applied(cmd Command, answer Answer, now Instant) {
	switch cmd.Kind {
	case Open:
		if _, known := ls.expiry[answer.Session]; answer.Status == OK && !known {
			ls.Renew(answer.Session, now)
		}
	case Break:
		ls.watchBroken(cmd.Name, now)
	}
}

// watchBroken starts the timer after which a broken grant is freed. The timer runs for a complete TTL, because the holder may have been
// renewed until now.
func (ls *Lessor) watchBroken(name string, now Instant) {
	l := ls.state.leases[name]
	if l == nil || !l.broken || l.holder == 0 || ls.brokenGrants[name].token == l.token {
		return
	}
	ls.brokenGrants[name] = brokenGrant{l.token, now.Add(ls.state.sessions[l.holder].ttl)}
}
