package lease

import (
	"maps"
	"slices"
)

// Lessor is the granting side's view of time: until when each session, and each grant that was broken, has to be left alone. It
// belongs to one term of one leader; nothing of it is in the log. All instants are of the leader's own steady clock.
type Lessor struct {
	state   *State
	alone   map[SessionID]Instant // not to be ended before
	ending  map[SessionID]bool    // Expire is proposed
	broken  map[string]broken
	embargo Instant
}

type broken struct {
	token Token
	until Instant
}

// NewLessor begins a term, at an instant at which this leader has applied all that was in the log before it. Whoever it inherits
// lives a whole time more: the leader before may have said yes just before it was succeeded.
func NewLessor(s *State, now Instant) *Lessor {
	c := &Lessor{state: s, alone: map[SessionID]Instant{}, ending: map[SessionID]bool{}, broken: map[string]broken{}}
	c.embargo = now.Add(s.embargo)
	for id := range s.sessions {
		c.Renew(id, now)
	}
	for name := range s.leases {
		c.see(name, now)
	}
	return c
}

// Renew is a yes that is given now: the session lives its time from now on.
func (c *Lessor) Renew(id SessionID, now Instant) {
	if own := c.state.sessions[id]; own != nil && !c.ending[id] {
		c.alone[id] = now.Add(own.ttl)
	}
}

// Renewable reports whether a yes may still be said to a session.
func (c *Lessor) Renewable(id SessionID) bool {
	_, ok := c.state.sessions[id]
	return ok && !c.ending[id]
}

// ExpiryCommands are the commands that are due. They come again until they are in the state: a proposal may get lost.
func (c *Lessor) ExpiryCommands(now Instant) (all []Command) {
	for _, id := range slices.Sorted(maps.Keys(c.alone)) {
		own := c.state.sessions[id]
		if own == nil {
			delete(c.alone, id)
			delete(c.ending, id)
			continue
		}
		if c.alone[id] <= now {
			c.ending[id] = true
			all = append(all, Command{Kind: Expire, Session: id})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.broken)) {
		if l := c.state.leases[name]; l == nil || !l.broken || l.token != c.broken[name].token {
			delete(c.broken, name)
		} else if c.broken[name].until <= now {
			all = append(all, Command{Kind: Free, Name: name, Token: l.token})
		}
	}
	if c.state.embargo > 0 && c.embargo <= now {
		all = append(all, Command{Kind: EndEmbargo})
	}
	return all
}

// Applied is told of each command of this term as it is applied, with its answer.
func (c *Lessor) Applied(cmd Command, a Answer, now Instant) {
	switch cmd.Kind {
	case Open:
		if _, known := c.alone[a.Session]; a.Status == OK && !known {
			c.Renew(a.Session, now)
		}
	case Break:
		c.see(cmd.Name, now)
	}
}

// see begins the time after which a broken grant is free: its holder may have been told yes until now.
func (c *Lessor) see(name string, now Instant) {
	l := c.state.leases[name]
	if l == nil || !l.broken || l.holder == 0 || c.broken[name].token == l.token {
		return
	}
	c.broken[name] = broken{l.token, now.Add(c.state.sessions[l.holder].ttl)}
}
