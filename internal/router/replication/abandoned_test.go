package replication

import (
	"net/http"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// startInSeparateZones adds machines, each in a zone of its own, and starts them.
func (s *simulation) startInSeparateZones(addresses ...string) (joined []*host) {
	for _, address := range addresses {
		h := &host{address: address, zone: "zone-" + address, syncTime: 2 * time.Millisecond}
		s.hosts[address] = h
		joined = append(joined, h)
		s.boot(h)
	}
	return joined
}

// candidateID returns the ID of the sender of a Prepare or PreVote, or "" for other messages.
func candidateID(m Message) string {
	switch m := m.(type) {
	case Prepare:
		return m.From.ID
	case PreVote:
		return m.From.ID
	}
	return ""
}

// writeAndRead sends a write and a read to every process that considers itself primary.
func (s *simulation) writeAndRead(round int) {
	for client, address := range s.addresses() {
		h := s.hosts[address]
		if p := h.process; p != nil && p.replica.IsPrimary() {
			s.callAt(p, operation{client: client, write: true, base: p.machine.Version, value: string(rune('b'+round)) + address})
			s.callAt(p, operation{client: 10 + client})
		}
	}
}

// abandonedChange is a core of three whose primary has proposed a view of five members, which
// is stored only on the primary's disk.
type abandonedChange struct {
	*simulation
	oldPrimary     *process
	followers      []*host
	joiningSide    []*host // the primary's host and the hosts that join
	abandonedEpoch Epoch
}

func newAbandonedChange(t *testing.T) *abandonedChange {
	t.Helper()
	s, old := coreWithValue(t)
	a := &abandonedChange{simulation: s, oldPrimary: old, followers: s.followers(old)}
	joining := s.startInSeparateZones("10.1.0.1:7000", "10.1.1.1:7000")
	a.joiningSide = append([]*host{old.host}, joining...)
	s.intercept = func(_ *process, m Message) Message {
		if _, accept := m.(Accept); accept || a.isFollowerCandidacy(m) {
			return nil
		}
		return m
	}
	for !old.host.disk.Hard.Accepted.joint() {
		require.Less(t, s.now, time.Minute, "the primary proposes no view of five members")
		s.run(s.now + time.Millisecond)
	}
	require.Len(t, old.host.disk.Hard.Accepted.Members, 5)
	a.abandonedEpoch = old.host.disk.Hard.Accepted.Epoch
	return a
}

// isFollowerCandidacy reports whether a message is a Prepare or PreVote of one of the two followers.
func (a *abandonedChange) isFollowerCandidacy(m Message) bool {
	from := candidateID(m)
	return from != "" && (from == a.followers[0].process.replica.Self.ID || from == a.followers[1].process.replica.Self.ID)
}

// isLateAccept reports whether a message is the Accept of the abandoned view.
func (a *abandonedChange) isLateAccept(m Message) bool {
	accept, ok := m.(Accept)
	return ok && accept.View.Epoch == a.abandonedEpoch
}

func (a *abandonedChange) isFollower(h *host) bool { return h == a.followers[0] || h == a.followers[1] }

// The primary proposes again, and a majority of the five accepts the second view. The two previous members that do not
// accept it are partitioned from the others. They know only the view of three members and are
// a majority of it, so they elect a primary and continue to commit. If the second view needed only votes of the five,
// both sides would commit values.
func TestAnAbandonedChangeOfMembers(t *testing.T) {
	s := newAbandonedChange(t)
	partitioned := false
	s.intercept = func(to *process, m Message) Message {
		_, accept := m.(Accept)
		_, sync := m.(Sync)
		switch {
		case s.isLateAccept(m) || !partitioned && s.isFollowerCandidacy(m):
			return nil
		case to.host == s.followers[1] && candidateID(m) == s.oldPrimary.replica.Self.ID:
			return nil
		case !partitioned && to.host == s.followers[0] && (accept || sync):
			partitioned = true
			s.partition(s.followers, s.joiningSide)
			return nil
		}
		return m
	}
	s.runIn(s.oldPrimary, func() { s.oldPrimary.replica.campaign(true) })
	s.run(s.now + 2*time.Second)
	require.True(t, partitioned)
	for round := range 8 {
		s.writeAndRead(round)
		s.run(s.now + 500*time.Millisecond)
	}
	require.NotEqual(t, porcupine.Illegal, checkHistory(s.history))
	require.NotNil(t, leaderAmong(s.followers), "the majority of the view of three has no primary")
	s.intercept = nil
	s.heal()
	s.run(s.now + 12*time.Second)
	require.Len(t, s.primary().replica.View().InSync, 5)
	s.read(9)
	s.run(s.now + time.Second)
	require.NotEqual(t, porcupine.Illegal, checkHistory(s.history))
}

// The two other previous members elect a primary and commit a value. Then the old primary completes its change of
// members. It receives no promise from these two members, although they would accept its view. The committed value must
// not be lost.
func TestAnAbandonedChangeHidesNoLaterView(t *testing.T) {
	s := newAbandonedChange(t)
	s.partition(s.followers, s.joiningSide)
	s.intercept = func(_ *process, m Message) Message {
		if s.isLateAccept(m) {
			return nil
		}
		return m
	}
	s.run(s.now + 3*time.Second)
	next := leaderAmong(s.followers)
	require.NotNil(t, next)
	s.callAt(next, operation{client: 1, write: true, base: next.machine.Version, value: "b"})
	s.run(s.now + time.Second)
	require.Equal(t, http.StatusOK, s.history[len(s.history)-1].status)
	s.heal()
	s.intercept = func(to *process, m Message) Message {
		if s.isFollower(to.host) {
			switch m.(type) {
			case Prepare, PreVote, Sync:
				return nil
			}
		}
		switch m.(type) {
		case Heartbeat, HeartbeatAck, PreVote:
			return nil
		}
		return m
	}
	s.runIn(s.oldPrimary, func() {
		s.oldPrimary.replica.hard.Promised = Epoch{Round: next.replica.hard.Promised.Round}
		s.oldPrimary.replica.campaign(true)
	})
	for range 20 {
		s.run(s.now + 50*time.Millisecond)
		if s.oldPrimary.replica.IsPrimary() {
			s.callAt(s.oldPrimary, operation{client: 2})
		}
	}
	s.intercept = nil
	s.run(s.now + 12*time.Second)
	s.read(3)
	s.run(s.now + time.Second)
	require.Equal(t, http.StatusOK, s.history[len(s.history)-1].status)
	require.NotEqual(t, porcupine.Illegal, checkHistory(s.history))
}

// The view that a process finds on its disk at its start may never have been in force. The process does not report such
// a view, but requests pre-votes from the members of the view.
func TestAnAbandonedViewIsNotReported(t *testing.T) {
	joint := viewOf(5, "a", "b")
	joint.Old = joint.Members[:3]
	r := suspectingReplica(t, joint)
	view := r.View()
	require.Zero(t, view.Epoch.Round)
	require.Zero(t, r.knownView.Epoch.Round)
	require.True(t, r.suspectsPrimary())
	inForce := suspectingReplica(t, viewOf(5, "a", "b")).View()
	require.Equal(t, uint64(5), inForce.Epoch.Round)
}
