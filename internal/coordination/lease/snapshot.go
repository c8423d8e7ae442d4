package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// image is a state in a snapshot or a back-up, with everything in order, so that equal states have equal images.
type image struct {
	Format   int            `json:"format"`
	Token    Token          `json:"token"`
	Session  SessionID      `json:"session"`
	Embargo  time.Duration  `json:"embargo,omitempty"`
	Sessions []sessionImage `json:"sessions"`
	Leases   []leaseImage   `json:"leases"`
}

type sessionImage struct {
	ID      SessionID     `json:"id"`
	Owner   string        `json:"owner"`
	Nonce   string        `json:"nonce"`
	TTL     time.Duration `json:"ttl"`
	Seq     uint64        `json:"seq"`
	Answer  Answer        `json:"answer"`
	Version uint64        `json:"version"`
}

type leaseImage struct {
	Name   string      `json:"name"`
	Holder SessionID   `json:"holder,omitempty"`
	Token  Token       `json:"token,omitempty"`
	Broken bool        `json:"broken,omitempty"`
	Queue  []SessionID `json:"queue,omitempty"`
}

const format = 1

// Snapshot is the state as bytes.
func (s *State) Snapshot() []byte {
	im := image{Format: format, Token: s.token, Session: s.session, Embargo: s.embargo}
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		own := s.sessions[id]
		im.Sessions = append(im.Sessions, sessionImage{id, own.owner, own.nonce, own.ttl, own.seq, own.answer, own.version})
	}
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[name]
		im.Leases = append(im.Leases, leaseImage{name, l.holder, l.token, l.broken, l.queue})
	}
	text, err := json.Marshal(im)
	if err != nil {
		panic(err) // no field can fail
	}
	return text
}

// Restore is the state of a snapshot.
func Restore(text []byte) (*State, error) {
	var im image
	if err := json.Unmarshal(text, &im); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if im.Format != format {
		return nil, fmt.Errorf("snapshot: format %d, ours is %d", im.Format, format)
	}
	s := NewState()
	s.token, s.session, s.embargo = im.Token, im.Session, im.Embargo
	for _, i := range im.Sessions {
		s.sessions[i.ID] = &session{id: i.ID, owner: i.Owner, nonce: i.Nonce, ttl: i.TTL, seq: i.Seq, answer: i.Answer,
			version: i.Version, holds: map[string]struct{}{}, waits: map[string]struct{}{}}
		s.nonces[i.Nonce] = i.ID
	}
	for _, i := range im.Leases {
		l := &lease{i.Name, i.Holder, i.Token, i.Broken, i.Queue}
		s.leases[i.Name] = l
		for n, id := range append([]SessionID{l.holder}, l.queue...) {
			own := s.sessions[id]
			switch {
			case n == 0 && id == 0:
			case own == nil:
				return nil, fmt.Errorf("snapshot: lease %q: there is no session %d", i.Name, id)
			case n == 0:
				own.holds[i.Name] = struct{}{}
			default:
				own.waits[i.Name] = struct{}{}
			}
		}
	}
	return s, nil
}

// restoredAhead is by how many tokens a restored state goes beyond its back-up: more than a group gives in a year at 10,000 a second.
const restoredAhead = 1 << 40

// RestoreNewGroup is the state with which a new group begins from a back-up, while holders of the old one may still live: what they
// hold stays theirs for their time, nothing is granted until all that the back-up lacks is over, and tokens, and numbers of sessions, go
// on beyond those of the old group. above is the largest token that is known to have been given after the back-up, or 0; longest
// is the longest TTL that the old group allowed.
func RestoreNewGroup(backup []byte, above Token, longest time.Duration) (*State, error) {
	s, err := Restore(backup)
	if err != nil {
		return nil, err
	}
	s.token = max(s.token, above)/restoredAhead*restoredAhead + 2*restoredAhead
	s.session = s.session/restoredAhead*restoredAhead + 2*restoredAhead
	s.embargo = longest
	return s, nil
}

// Info is one lease, for people.
type Info struct {
	Name    string        `json:"name"`
	Token   Token         `json:"token,omitempty"`
	Session SessionID     `json:"session,omitempty"`
	Owner   string        `json:"owner,omitempty"`
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	Broken  bool          `json:"broken,omitempty"`
	Queue   []Waiter      `json:"queue,omitempty"`
}

// Waiter is a session in a queue.
type Waiter struct {
	Session SessionID `json:"session"`
	Owner   string    `json:"owner"`
}

// List are the leases whose names begin with a prefix, in order.
func (s *State) List(prefix string) (all []Info) {
	for name, l := range s.leases {
		if len(name) < len(prefix) || name[:len(prefix)] != prefix {
			continue
		}
		h := Info{Name: name, Session: l.holder, Broken: l.broken}
		if own := s.sessions[l.holder]; own != nil {
			h.Token, h.Owner, h.TTL = l.token, own.owner, own.ttl
		}
		for _, id := range l.queue {
			h.Queue = append(h.Queue, Waiter{id, s.owner(id)})
		}
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Counts are how many sessions and leases there are, and the last token.
func (s *State) Counts() (sessions, leases int, token Token) {
	return len(s.sessions), len(s.leases), s.token
}
