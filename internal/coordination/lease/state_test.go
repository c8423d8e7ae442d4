package lease

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateWithSessions returns a state with sessions 1 to n.
func stateWithSessions(n int) *State {
	s := NewState()
	for i := range n {
		s.Apply(Command{Kind: Open, Nonce: fmt.Sprint("nonce", i), Owner: "same", TTL: time.Second})
	}
	return s
}

// A command that is repeated, or arrives late, acts once; a late release of an old grant does not end the new one; an owner is no session.
func TestRepeatedCommandsActOnce(t *testing.T) {
	s := stateWithSessions(2)
	do := func(kind Kind, id SessionID, seq uint64, token Token, want Status, wantToken Token) {
		t.Helper()
		if a := s.Apply(Command{Kind: kind, Session: id, Seq: seq, Name: "x", Token: token}); a.Status != want || a.Token != wantToken {
			t.Errorf("%v %d/%d: %v", kind, id, seq, a)
		}
	}
	if a := s.Apply(Command{Kind: Open, Nonce: "nonce1", Owner: "other", TTL: time.Second}); a.Session != 2 {
		t.Errorf("opened again: %v", a)
	}
	do(Acquire, 1, 1, 0, OK, 1)
	do(Acquire, 1, 1, 0, OK, 1) // the response was lost
	do(Acquire, 1, 2, 0, OK, 1) // a new command: no second grant
	do(Acquire, 2, 1, 0, HeldByOther, 0)
	do(Release, 1, 3, 1, OK, 0)
	do(Release, 1, 3, 1, OK, 0)
	do(Acquire, 1, 2, 0, Stale, 0) // a duplicate that the network had delayed: no client would learn of its grant
	do(Acquire, 2, 2, 0, OK, 2)
	do(Release, 1, 4, 1, NotHeld, 0)
	do(Release, 2, 3, 1, NotHeld, 0)
	do(Acquire, 9, 1, 0, NoSession, 0)
	if h := s.List(""); len(h) != 1 || h[0].Session != 2 || h[0].Token != 2 {
		t.Errorf("%+v", h)
	}
}

// Waiters are granted the lease in order; one whose session has ended, or that waits no more, is left out; a transfer goes before.
func TestQueue(t *testing.T) {
	s := stateWithSessions(5)
	for id := SessionID(1); id <= 5; id++ {
		if a := s.Apply(Command{Kind: Acquire, Session: id, Seq: 1, Name: "x", Wait: true}); id > 1 && (a.Status != Waiting || a.WaitersAhead != int(id)-2) {
			t.Errorf("%d: %v", id, a)
		}
	}
	holder := func(want SessionID, token Token) {
		t.Helper()
		if h := s.List("x")[0]; h.Session != want || h.Token != token {
			t.Errorf("%+v, want session %d, token %d", h, want, token)
		}
	}
	s.Apply(Command{Kind: Expire, Session: 2})
	s.Apply(Command{Kind: Cancel, Session: 4, Seq: 2, Name: "x"})
	s.Apply(Command{Kind: Transfer, Session: 1, Seq: 2, Name: "x", Token: 1, TransferTo: 5})
	holder(5, 2)
	if a := s.Apply(Command{Kind: Transfer, Session: 5, Seq: 2, Name: "x", Token: 2, TransferTo: 4}); a.Status != NotHeld {
		t.Errorf("to a session that does not wait: %v", a)
	}
	s.Apply(Command{Kind: Close, Session: 5, Seq: 3})
	holder(3, 3)
	s.Apply(Command{Kind: Expire, Session: 3})
	if h := s.List(""); len(h) != 0 {
		t.Errorf("%+v", h)
	}
}

// A keep-alive reports the grants of a session only where they have changed, or while the client waits for a lease.
func TestGrantsAreSentOnce(t *testing.T) {
	s := stateWithSessions(1)
	h := NewSessionState(0, 1, time.Second)
	s.Apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"})
	h.BeginWait("x", 1)
	if h.KnownVersion() != 0 {
		t.Error("the client waits, and does not ask for all grants")
	}
	grants, version := s.Grants(1, h.KnownVersion())
	if got := h.ApplyKeepAlive(2, grants, version); len(got) != 1 || got[0].Name != "x" || h.KnownVersion() != version {
		t.Errorf("%v, known %d of %d", got, h.KnownVersion(), version)
	}
	if grants, same := s.Grants(1, h.KnownVersion()); grants != nil || same != version {
		t.Errorf("reported again: %v, %d", grants, same)
	}
	h.ApplyKeepAlive(Instant(time.Second/2), nil, version)
	if _, until, ok := h.Held("x", Instant(time.Second)); !ok || until <= Instant(time.Second) {
		t.Errorf("not renewed: %v, %v", until, ok)
	}
	s.Apply(Command{Kind: Expire, Session: 1})
	if _, version := s.Grants(1, h.KnownVersion()); version != h.KnownVersion() {
		t.Errorf("%d of a session that has ended", version)
	}
}

// A grant that operators break is free a TTL later, in this term or counted anew in the next, and no sooner; other leases of the
// session go on, and the broken grant is not renewed.
func TestBreak(t *testing.T) {
	s := stateWithSessions(1)
	c := NewLessor(s, 0)
	h := NewSessionState(0, 1, time.Second)
	for i, name := range []string{"x", "y"} {
		h.ApplyGrant(0, name, s.Apply(Command{Kind: Acquire, Session: 1, Seq: uint64(i + 1), Name: name}).Token)
	}
	at := func(ms int) Instant { return Instant(time.Duration(ms) * time.Millisecond) }
	cmd := Command{Kind: Break, Name: "x", Token: 1}
	c.Applied(cmd, s.Apply(cmd), at(500))
	c.Renew(1, at(600))
	grants, version := s.Grants(1, 0)
	h.ApplyKeepAlive(at(600), grants, version)
	if _, until, ok := h.Held("x", at(700)); !ok || until >= at(1000) {
		t.Errorf("the broken one: until %v, %v", until, ok)
	}
	if _, until, _ := h.Held("y", at(700)); until < at(1500) {
		t.Errorf("the other: until %v", until)
	}
	if due := c.ExpiryCommands(at(1499)); len(due) != 0 {
		t.Errorf("%v", due)
	}
	next := NewLessor(s, at(1400)) // another leader counts from when it began to lead
	next.Renew(1, at(2000))
	if due := next.ExpiryCommands(at(2399)); len(due) != 0 {
		t.Errorf("%v", due)
	}
	if due := next.ExpiryCommands(at(2400)); len(due) != 1 || due[0] != (Command{Kind: Free, Name: "x", Token: 1}) {
		t.Errorf("%v", due)
	}
}

// A back-up is restored while holders of the old group still live: what they hold stays theirs, nothing is granted until everything that
// the back-up lacks has expired, and tokens go beyond any of the old group, also in a second restore.
func TestRestored(t *testing.T) {
	s := stateWithSessions(2)
	s.Apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"})
	backup := s.Snapshot()
	var last Token
	for range 2 {
		r, err := RestoreNewGroup(backup, last, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		c := NewLessor(r, 0)
		if a := r.Apply(Command{Kind: Acquire, Session: 2, Seq: 1, Name: "new"}); a.Status != Embargoed {
			t.Errorf("%v", a)
		}
		r.Apply(Command{Kind: Acquire, Session: 2, Seq: 2, Name: "x", Wait: true})
		r.Apply(Command{Kind: Expire, Session: 1})
		if h := r.List("x"); len(h) != 1 || h[0].Session != 0 {
			t.Errorf("granted under the embargo: %+v", h)
		}
		c.Renew(2, Instant(time.Hour))
		if due := c.ExpiryCommands(Instant(time.Minute)); len(due) != 1 || due[0].Kind != EndEmbargo {
			t.Fatalf("%v", due)
		}
		r.Apply(Command{Kind: EndEmbargo})
		h := r.List("x")
		if len(h) != 1 || h[0].Session != 2 || h[0].Token <= max(last, 1<<40) {
			t.Errorf("%+v after token %d", h, last)
		}
		last = h[0].Token
		if a := r.Apply(Command{Kind: Open, Nonce: "another one", TTL: time.Second}); a.Session <= 1<<40 {
			t.Errorf("a session id of the old group: %v", a)
		}
	}
}

// With any commands the invariants of the state hold, tokens grow, and a snapshot restores an equal state that goes on equally.
func TestAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stateWithSessions(3)
		var last Token
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := Command{
				Kind:    rapid.SampledFrom([]Kind{Open, Acquire, Acquire, Acquire, Cancel, Release, Transfer, Close, Break, Expire, Free}).Draw(t, "kind"),
				Session: SessionID(rapid.IntRange(0, 4).Draw(t, "session")), Seq: uint64(i + 1), Wait: rapid.Bool().Draw(t, "wait"),
				Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), TransferTo: SessionID(rapid.IntRange(1, 4).Draw(t, "to")),
				Token: Token(rapid.IntRange(0, 9).Draw(t, "token")), TTL: time.Second, Nonce: fmt.Sprint("n", i%7),
			}
			before := s.Snapshot()
			twin, err := Restore(before)
			if err != nil || !bytes.Equal(twin.Snapshot(), before) {
				t.Fatalf("the snapshot of a restored state differs: %v", err)
			}
			a := s.Apply(c)
			if b := twin.Apply(c); a != b || !bytes.Equal(twin.Snapshot(), s.Snapshot()) {
				t.Fatalf("%v: %v, and %v after a snapshot", c, a, b)
			}
			if s.lastToken < last {
				t.Fatal("tokens do not grow")
			}
			last = s.lastToken
			holds := map[SessionID]int{}
			for name, l := range s.leases {
				if l.holder == 0 || s.sessions[l.holder] == nil || l.token == 0 || l.token > s.lastToken {
					t.Fatalf("%s: held by %d with %d", name, l.holder, l.token)
				}
				holds[l.holder]++
				all := append([]SessionID{l.holder}, l.waiters...)
				slices.Sort(all)
				if len(slices.Compact(all)) != len(l.waiters)+1 {
					t.Fatalf("%s: a session is there twice: %d, %v", name, l.holder, l.waiters)
				}
				for _, id := range l.waiters {
					if _, waits := s.sessions[id].waits[name]; !waits {
						t.Fatalf("%s: session %d does not have the wait", name, id)
					}
				}
			}
			for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
				if len(s.sessions[id].holds) != holds[id] {
					t.Fatalf("%d holds %v", id, s.sessions[id].holds)
				}
			}
		}
	})
}

// Commands of clients are checked before they get into the log.
func TestCheck(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), MaxNameBytes+1))
	good := Command{Kind: Acquire, Session: 1, Seq: 1, Name: "a/b"}
	for want, c := range map[string]Command{
		"ttl: 1ms is out of bounds":           {Kind: Open, TTL: time.Millisecond, Nonce: "12345678", Owner: "o"},
		"nonce: 1 bytes":                      {Kind: Open, TTL: time.Second, Nonce: "1", Owner: "o"},
		"owner: 0 bytes":                      {Kind: Open, TTL: time.Second, Nonce: "12345678"},
		"lease: 201 bytes":                    {Kind: Acquire, Session: 1, Seq: 1, Name: long},
		`lease: "a b" has a character at 2`:   {Kind: Acquire, Session: 1, Seq: 1, Name: "a b"},
		"token: missing":                      {Kind: Release, Session: 1, Seq: 1, Name: "x"},
		"to: missing":                         {Kind: Transfer, Session: 1, Seq: 1, Name: "x", Token: 1},
		"acquire: session and number must be": {Kind: Acquire, Name: "x"},
		"expire: not for clients":             {Kind: Expire, Session: 1},
		"kind 99: not for clients":            {Kind: 99},
	} {
		if err := c.Check(); err == nil || !bytes.HasPrefix([]byte(err.Error()), []byte(want)) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
}

// A snapshot with a lease whose holder or waiter it does not have is an error that names both.
func TestInconsistentSnapshots(t *testing.T) {
	const session = `{"id":1,"owner":"o","nonce":"12345678","ttl":1000000000,"seq":0,"answer":{"status":0},"version":0}`
	for text, want := range map[string]string{
		`{"format":1,"token":5,"session":1,"sessions":[` + session + `],"leases":[{"name":"a","holder":7,"token":5}]}`:             `snapshot: lease "a": there is no session 7`,
		`{"format":1,"token":5,"session":1,"sessions":[` + session + `],"leases":[{"name":"a","holder":1,"token":5,"queue":[8]}]}`: `snapshot: lease "a": there is no session 8`,
		`{"format":1,"token":5,"session":1,"sessions":[` + session + `],"leases":[{"name":"a","holder":1,"token":5,"queue":[0]}]}`: `snapshot: lease "a": there is no session 0`,
		`{"format":2}`: "snapshot: format 2, ours is 1",
	} {
		if _, err := Restore([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	if _, err := Restore([]byte(`{"format":1,"token":5,"session":1,"sessions":[` + session + `],"leases":[{"name":"a","holder":1,"token":5}]}`)); err != nil {
		t.Error(err)
	}
}
