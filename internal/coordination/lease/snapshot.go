package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// stateSnapshot is the JSON form of a State in snapshots and back-ups. Its lists are sorted, so that equal states have equal bytes.
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

// Snapshot encodes the state for Restore.
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

// Restore decodes a snapshot or a back-up. It returns an error if the format is unknown or a lease names a session that is missing.
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

// restoreLease adds a lease of a snapshot to the state, and to its holder and its waiters, which must be in the snapshot.
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

// noSessionError is returned for a snapshot in which a lease names a session that the snapshot does not contain.
type noSessionError SessionID

func (e noSessionError) Error() string { return fmt.Sprintf("there is no session %d", SessionID(e)) }

// restoreOffset is the least number of tokens that a restored group skips: more than a group grants in a year at 10,000 a second.
const restoreOffset = 1 << 40

// RestoreNewGroup returns the initial state of a new group that is restored from a back-up while holders of the old group may still be
// alive. They keep their leases for their TTL, nothing is granted until every session that the back-up lacks has expired, and tokens and
// session ids continue beyond those of the old group. minToken is the largest token that is known to have been granted after the back-up,
// or 0; longestTTL is the longest TTL that the old group allowed.
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
	Session SessionID     `json:"session,omitempty"` // the holder
	Owner   string        `json:"owner,omitempty"`   // the owner of the holder's session
	TTL     time.Duration `json:"ttl_ns,omitempty"`
	Broken  bool          `json:"broken,omitempty"`
	Queue   []Waiter      `json:"queue,omitempty"`
}

// Waiter is a session that waits for a lease.
type Waiter struct {
	Session SessionID `json:"session"`
	Owner   string    `json:"owner"`
}

// List returns the leases whose names begin with prefix, sorted by name.
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

// Counts returns the numbers of sessions and leases, and the token of the latest grant.
func (s *State) Counts() (sessions, leases int, token Token) {
	return len(s.sessions), len(s.leases), s.lastToken
}
