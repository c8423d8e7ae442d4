package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// stateSnapshot is the form of a state in a snapshot or a back-up, with everything in order, so that equal states have equal bytes.
type stateSnapshot struct {
	Format   int               `json:"format"`
	Token    Token             `json:"token"`
	Session  SessionID         `json:"session"`
	Embargo  time.Duration     `json:"embargo,omitempty"`
	Sessions []sessionSnapshot `json:"sessions"`
	Leases   []leaseSnapshot   `json:"leases"`
}

type sessionSnapshot struct {
	ID      SessionID     `json:"id"`
	Owner   string        `json:"owner"`
	Nonce   string        `json:"nonce"`
	TTL     time.Duration `json:"ttl"`
	Seq     uint64        `json:"seq"`
	Answer  Answer        `json:"answer"`
	Version uint64        `json:"version"`
}

type leaseSnapshot struct {
	Name   string      `json:"name"`
	Holder SessionID   `json:"holder,omitempty"`
	Token  Token       `json:"token,omitempty"`
	Broken bool        `json:"broken,omitempty"`
	Queue  []SessionID `json:"queue,omitempty"`
}

const snapshotFormat = 1

// Snapshot returns the state as bytes, for Restore.
func (s *State) Snapshot() []byte {
	snapshot := stateSnapshot{Format: snapshotFormat, Token: s.lastToken, Session: s.lastSession, Embargo: s.embargo}
	for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[id]
		snapshot.Sessions = append(snapshot.Sessions, sessionSnapshot{id, sess.owner, sess.nonce, sess.ttl, sess.lastSeq, sess.lastAnswer, sess.version})
	}
	for _, name := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[name]
		snapshot.Leases = append(snapshot.Leases, leaseSnapshot{name, l.holder, l.token, l.broken, l.waiters})
	}
	text, err := json.Marshal(snapshot)
	if err != nil {
		panic(err) // no field has a type that can fail
	}
	return text
}

// Restore returns the state of a snapshot or a back-up.
func Restore(text []byte) (*State, error) {
	var snapshot stateSnapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if snapshot.Format != snapshotFormat {
		return nil, fmt.Errorf("snapshot: format %d, ours is %d", snapshot.Format, snapshotFormat)
	}
	s := NewState()
	s.lastToken, s.lastSession, s.embargo = snapshot.Token, snapshot.Session, snapshot.Embargo
	for _, record := range snapshot.Sessions {
		s.sessions[record.ID] = &session{
			id: record.ID, owner: record.Owner, nonce: record.Nonce, ttl: record.TTL, lastSeq: record.Seq, lastAnswer: record.Answer,
			version: record.Version, holds: map[string]struct{}{}, waits: map[string]struct{}{},
		}
		s.nonces[record.Nonce] = record.ID
	}
	for _, record := range snapshot.Leases {
		if err := s.restoreLease(record); err != nil {
			return nil, fmt.Errorf("snapshot: lease %q: %w", record.Name, err)
		}
	}
	return s, nil
}

// restoreLease adds a lease of a snapshot, and records it at its holder and its waiters, which must be in the snapshot.
func (s *State) restoreLease(record leaseSnapshot) error {
	s.leases[record.Name] = &lease{name: record.Name, holder: record.Holder, token: record.Token, broken: record.Broken, waiters: record.Queue}
	if record.Holder != 0 {
		holder := s.sessions[record.Holder]
		if holder == nil {
			return noSessionError(record.Holder)
		}
		holder.holds[record.Name] = struct{}{}
	}
	for _, id := range record.Queue {
		waiter := s.sessions[id]
		if waiter == nil {
			return noSessionError(id)
		}
		waiter.waits[record.Name] = struct{}{}
	}
	return nil
}

// noSessionError says that a snapshot has a lease of a session that it does not have.
type noSessionError SessionID

func (e noSessionError) Error() string { return fmt.Sprintf("there is no session %d", SessionID(e)) }

// restoreOffset is by how many tokens a restored state goes beyond its back-up: more than a group grants in a year at 10,000 a second.
const restoreOffset = 1 << 40

// RestoreNewGroup returns the state with which a new group begins from a back-up, while holders of the old one may still be alive: what
// they hold stays theirs for their TTL, nothing is granted until everything that the back-up lacks has expired, and tokens and session
// ids go on beyond those of the old group. minToken is the largest token that is known to have been granted after the back-up, or 0;
// longestTTL is the longest TTL that the old group allowed.
func RestoreNewGroup(backup []byte, minToken Token, longestTTL time.Duration) (*State, error) {
	s, err := Restore(backup)
	if err != nil {
		return nil, err
	}
	s.lastToken = max(s.lastToken, minToken)/restoreOffset*restoreOffset + 2*restoreOffset
	s.lastSession = s.lastSession/restoreOffset*restoreOffset + 2*restoreOffset
	s.embargo = longestTTL
	return s, nil
}

// Info describes one lease to an operator.
type Info struct {
	Name    string        `json:"name"`
	Token   Token         `json:"token,omitempty"`   // 0: the lease is free
	Session SessionID     `json:"session,omitempty"` // of the holder
	Owner   string        `json:"owner,omitempty"`   // of that session
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	Broken  bool          `json:"broken,omitempty"`
	Queue   []Waiter      `json:"queue,omitempty"`
}

// Waiter is a session that waits for a lease.
type Waiter struct {
	Session SessionID `json:"session"`
	Owner   string    `json:"owner"`
}

// List returns the leases whose names begin with a prefix, by name.
func (s *State) List(prefix string) (all []Info) {
	for name, l := range s.leases {
		if len(name) < len(prefix) || name[:len(prefix)] != prefix {
			continue
		}
		info := Info{Name: name, Session: l.holder, Broken: l.broken}
		if sess := s.sessions[l.holder]; sess != nil {
			info.Token, info.Owner, info.TTL = l.token, sess.owner, sess.ttl
		}
		for _, id := range l.waiters {
			info.Queue = append(info.Queue, Waiter{id, s.ownerName(id)})
		}
		all = append(all, info)
	}
	slices.SortFunc(all, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Counts returns how many sessions and leases there are, and the last token that was granted.
func (s *State) Counts() (sessions, leases int, token Token) {
	return len(s.sessions), len(s.leases), s.lastToken
}
