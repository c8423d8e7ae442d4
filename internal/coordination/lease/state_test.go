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

// A repeated command is applied only once, a command that arrives after a later one is not applied, and a release of an old grant does not
// end a new grant. Two sessions with the same owner are different sessions.
func TestRepeatedCommandsActOnce(t *testing.T) {
	s := stateWithSessions(2)
	apply := func(kind Kind, id SessionID, seq uint64, token Token, want Status, wantToken Token) {
		t.Helper()
		if a := s.Apply(Command{Kind: kind, Session: id, Seq: seq, Name: "x", Token: token}); a.Status != want || a.Token != wantToken {
			t.Errorf("%v by session %d with number %d: %v, want status %v, token %d", kind, id, seq, a, want, wantToken)
		}
	}
	if a := s.Apply(Command{Kind: Open, Nonce: "nonce1", Owner: "other", TTL: time.Second}); a.Session != 2 {
		t.Errorf("opened again: %v", a)
	}
	apply(Acquire, 1, 1, 0, OK, 1)
	apply(Acquire, 1, 1, 0, OK, 1) // the response was lost
	apply(Acquire, 1, 2, 0, OK, 1) // a new command: no second grant
	apply(Acquire, 2, 1, 0, HeldByOther, 0)
	apply(Release, 1, 3, 1, OK, 0)
	apply(Release, 1, 3, 1, OK, 0)
	apply(Acquire, 1, 2, 0, Stale, 0) // a delayed duplicate: the client no longer waits for its response, so nobody would use a grant
	apply(Acquire, 2, 2, 0, OK, 2)
	apply(Release, 1, 4, 1, NotHeld, 0)
	apply(Release, 2, 3, 1, NotHeld, 0)
	apply(Acquire, 9, 1, 0, NoSession, 0)
	if leases := s.List(""); len(leases) != 1 || leases[0].Session != 2 || leases[0].Token != 2 {
		t.Errorf("%+v", leases)
	}
}

// A lease is granted to its waiters in the order of the queue. A session that has ended or cancelled its wait is skipped, and the target of
// a transfer goes ahead of the queue.
func TestQueue(t *testing.T) {
	s := stateWithSessions(5)
	for id := SessionID(1); id <= 5; id++ {
		if a := s.Apply(Command{Kind: Acquire, Session: id, Seq: 1, Name: "x", Wait: true}); id > 1 && (a.Status != Waiting || a.WaitersAhead != int(id)-2) {
			t.Errorf("%d: %v", id, a)
		}
	}
	checkHolder := func(want SessionID, token Token) {
		t.Helper()
		if got := s.List("x")[0]; got.Session != want || got.Token != token {
			t.Errorf("%+v, want session %d, token %d", got, want, token)
		}
	}
	s.Apply(Command{Kind: Expire, Session: 2})
	s.Apply(Command{Kind: Cancel, Session: 4, Seq: 2, Name: "x"})
	s.Apply(Command{Kind: Transfer, Session: 1, Seq: 2, Name: "x", Token: 1, TransferTo: 5})
	checkHolder(5, 2)
	if a := s.Apply(Command{Kind: Transfer, Session: 5, Seq: 2, Name: "x", Token: 2, TransferTo: 4}); a.Status != NotHeld {
		t.Errorf("transfer to a session that does not wait: %v", a)
	}
	s.Apply(Command{Kind: Close, Session: 5, Seq: 3})
	checkHolder(3, 3)
	s.Apply(Command{Kind: Expire, Session: 3})
	if got := s.List(""); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

// The response to a keep-alive contains the grants of a session only if they have changed or while the client waits for a lease.
func TestGrantsAreSentOnce(t *testing.T) {
	s := stateWithSessions(1)
	client := NewSessionState(0, 1, time.Second)
	s.Apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"})
	client.BeginWait("x", 1)
	if client.KnownVersion() != 0 {
		t.Error("the client waits for a lease, but does not request all grants")
	}
	grants, version := s.Grants(1, client.KnownVersion())
	if got := client.ApplyKeepAlive(2, grants, version); len(got) != 1 || got[0].Name != "x" || client.KnownVersion() != version {
		t.Errorf("new grants %v, the client knows version %d, want x and version %d", got, client.KnownVersion(), version)
	}
	if grants, unchanged := s.Grants(1, client.KnownVersion()); grants != nil || unchanged != version {
		t.Errorf("unchanged grants are sent again: %v, version %d", grants, unchanged)
	}
	client.ApplyKeepAlive(Instant(time.Second/2), nil, version)
	if _, until, ok := client.Held("x", Instant(time.Second)); !ok || until <= Instant(time.Second) {
		t.Errorf("not renewed: %v, %v", until, ok)
	}
	s.Apply(Command{Kind: Expire, Session: 1})
	if _, version := s.Grants(1, client.KnownVersion()); version != client.KnownVersion() {
		t.Errorf("version %d of a session that has ended", version)
	}
}

// When operators break a grant, the lease becomes free a TTL later and no sooner. A leader of a later term waits for a complete TTL from the
// beginning of its term. The session's other grants are renewed as before, but the broken grant is not.
func TestBreak(t *testing.T) {
	s := stateWithSessions(1)
	lessor := NewLessor(s, 0)
	client := NewSessionState(0, 1, time.Second)
	for i, name := range []string{"x", "y"} {
		client.ApplyGrant(0, name, s.Apply(Command{Kind: Acquire, Session: 1, Seq: uint64(i + 1), Name: name}).Token)
	}
	at := func(ms int) Instant { return Instant(time.Duration(ms) * time.Millisecond) }
	cmd := Command{Kind: Break, Name: "x", Token: 1}
	lessor.Applied(cmd, s.Apply(cmd), at(500))
	lessor.Renew(1, at(600))
	grants, version := s.Grants(1, 0)
	client.ApplyKeepAlive(at(600), grants, version)
	if _, until, ok := client.Held("x", at(700)); !ok || until >= at(1000) {
		t.Errorf("the broken grant: valid until %v, held %v", until, ok)
	}
	if _, until, _ := client.Held("y", at(700)); until < at(1500) {
		t.Errorf("the other grant: valid until %v", until)
	}
	if due := lessor.ExpiryCommands(at(1499)); len(due) != 0 {
		t.Errorf("%v", due)
	}
	newLessor := NewLessor(s, at(1400)) // the TTL counts from the beginning of the new term
	newLessor.Renew(1, at(2000))
	if due := newLessor.ExpiryCommands(at(2399)); len(due) != 0 {
		t.Errorf("%v", due)
	}
	if due := newLessor.ExpiryCommands(at(2400)); len(due) != 1 || due[0] != (Command{Kind: Free, Name: "x", Token: 1}) {
		t.Errorf("%v", due)
	}
}

// A back-up is restored while holders of the old group are still alive. They keep their leases, nothing is granted until every session that
// the back-up lacks has expired, and new tokens are larger than all tokens of the old group. The same holds for a second restore.
func TestRestored(t *testing.T) {
	s := stateWithSessions(2)
	s.Apply(Command{Kind: Acquire, Session: 1, Seq: 1, Name: "x"})
	backup := s.Snapshot()
	var last Token
	for range 2 {
		restored, err := RestoreNewGroup(backup, last, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		lessor := NewLessor(restored, 0)
		if a := restored.Apply(Command{Kind: Acquire, Session: 2, Seq: 1, Name: "new"}); a.Status != Embargoed {
			t.Errorf("%v", a)
		}
		restored.Apply(Command{Kind: Acquire, Session: 2, Seq: 2, Name: "x", Wait: true})
		restored.Apply(Command{Kind: Expire, Session: 1})
		if leases := restored.List("x"); len(leases) != 1 || leases[0].Session != 0 {
			t.Errorf("granted under the embargo: %+v", leases)
		}
		lessor.Renew(2, Instant(time.Hour))
		if due := lessor.ExpiryCommands(Instant(time.Minute)); len(due) != 1 || due[0].Kind != EndEmbargo {
			t.Fatalf("%v", due)
		}
		restored.Apply(Command{Kind: EndEmbargo})
		leases := restored.List("x")
		if len(leases) != 1 || leases[0].Session != 2 || leases[0].Token <= max(last, 1<<40) {
			t.Errorf("%+v after token %d", leases, last)
		}
		last = leases[0].Token
		if a := restored.Apply(Command{Kind: Open, Nonce: "another one", TTL: time.Second}); a.Session <= 1<<40 {
			t.Errorf("the new session has an id that the old group may have used: %v", a)
		}
	}
}

// After any sequence of commands the invariants of the state hold, the last token has not decreased, and a state restored from a snapshot is
// equal and gives the same answer to the next command.
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
			restored, err := Restore(before)
			if err != nil || !bytes.Equal(restored.Snapshot(), before) {
				t.Fatalf("the snapshot of a restored state differs: %v", err)
			}
			a := s.Apply(c)
			if restoredAnswer := restored.Apply(c); a != restoredAnswer || !bytes.Equal(restored.Snapshot(), s.Snapshot()) {
				t.Fatalf("%v: %v, but %v by the restored state, or the states differ", c, a, restoredAnswer)
			}
			if s.lastToken < last {
				t.Fatalf("the last token decreased from %d to %d", last, s.lastToken)
			}
			last = s.lastToken
			heldLeases := map[SessionID]int{}
			for name, l := range s.leases {
				if l.holder == 0 || s.sessions[l.holder] == nil || l.token == 0 || l.token > s.lastToken {
					t.Fatalf("%s: held by %d with %d", name, l.holder, l.token)
				}
				heldLeases[l.holder]++
				all := append([]SessionID{l.holder}, l.waiters...)
				slices.Sort(all)
				if len(slices.Compact(all)) != len(l.waiters)+1 {
					t.Fatalf("%s: a session is listed twice: holder %d, waiters %v", name, l.holder, l.waiters)
				}
				for _, id := range l.waiters {
					if _, waits := s.sessions[id].waits[name]; !waits {
						t.Fatalf("%s: session %d is in the queue, but does not record that it waits", name, id)
					}
				}
			}
			for _, id := range slices.Sorted(maps.Keys(s.sessions)) {
				if len(s.sessions[id].holds) != heldLeases[id] {
					t.Fatalf("session %d records that it holds %v, but %d leases name it as the holder", id, s.sessions[id].holds, heldLeases[id])
				}
			}
		}
	})
}

// Check rejects invalid commands of clients, and its error names the field.
func TestCheck(t *testing.T) {
	longName := string(bytes.Repeat([]byte("x"), MaxNameBytes+1))
	valid := Command{Kind: Acquire, Session: 1, Seq: 1, Name: "a/b"}
	for want, c := range map[string]Command{
		"ttl: 1ms is out of bounds":           {Kind: Open, TTL: time.Millisecond, Nonce: "12345678", Owner: "o"},
		"nonce: 1 bytes":                      {Kind: Open, TTL: time.Second, Nonce: "1", Owner: "o"},
		"owner: 0 bytes":                      {Kind: Open, TTL: time.Second, Nonce: "12345678"},
		"lease: 201 bytes":                    {Kind: Acquire, Session: 1, Seq: 1, Name: longName},
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
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
}

// Restore rejects a snapshot in which the holder or a waiter of a lease is missing; the error names the lease and the session.
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
