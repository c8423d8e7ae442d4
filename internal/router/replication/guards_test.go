package replication

import (
	"net/http"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// followers returns the hosts other than the primary's, in the order of their addresses.
func (s *simulation) followers(p *process) (out []*host) {
	for _, address := range s.addresses() {
		if h := s.hosts[address]; h != p.host {
			out = append(out, h)
		}
	}
	return out
}

// leaderAmong returns a process on one of the hosts that considers itself primary, or nil.
func leaderAmong(hosts []*host) *process {
	for _, h := range hosts {
		if h.process != nil && h.process.replica.IsPrimary() {
			return h.process
		}
	}
	return nil
}

// coreWithValue returns a core of three that has acknowledged the value "a", and its primary.
func coreWithValue(t *testing.T) (*simulation, *process) {
	t.Helper()
	s := newSimulation(t, 1, 3, 1)
	s.run(4 * time.Second)
	primary := s.primary()
	require.NotNil(t, primary)
	require.Equal(t, http.StatusOK, writeNow(s, "a").status)
	return s, primary
}

// partition blocks every link between two groups of hosts.
func (s *simulation) partition(these, those []*host) {
	for _, a := range these {
		for _, b := range those {
			s.blockLink(a, b, false)
		}
	}
}

// A Replicate of an epoch that its receiver has left is neither applied nor answered.
func TestAnEntryOfAnEpochThatWasLeft(t *testing.T) {
	s := newSimulation(t, 1, 3, 1)
	s.run(4 * time.Second)
	old := s.primary()
	require.NotNil(t, old)
	var late Replicate
	s.intercept = func(_ *process, m Message) Message {
		if r, ok := m.(Replicate); ok {
			late = r
			return nil
		}
		return m
	}
	s.write(1, old.machine.Version, "late")
	s.run(s.now + 100*time.Millisecond)
	require.NotZero(t, late.Sequence)
	old.host.frozenUntil = s.now + time.Minute
	s.run(s.now + 3*time.Second)
	next := leaderAmong(s.followers(old))
	require.NotNil(t, next)
	for _, h := range s.followers(old) {
		if h == next.host {
			continue
		}
		before := h.process.replica.state.position
		require.Equal(t, before.Sequence+1, late.Sequence, "the entry would fit")
		h.process.replica.Receive(old.host.address, late, s.now)
		require.Equal(t, before, h.process.replica.state.position)
		require.Empty(t, h.process.replica.Effects())
	}
}

// A primary that was frozen while another one was elected does not answer a read with its stale state.
func TestAFrozenPrimaryAnswersNoRead(t *testing.T) {
	s, old := coreWithValue(t)
	old.host.frozenUntil = s.now + 3*time.Second
	s.run(old.host.frozenUntil - time.Millisecond)
	next := leaderAmong(s.followers(old))
	require.NotNil(t, next)
	s.callAt(next, operation{client: 1, write: true, base: next.machine.Version, value: "b"})
	s.run(old.host.frozenUntil - 500*time.Microsecond)
	for i := range 20 { // until the write is done; the freeze is extended meanwhile
		if s.history[len(s.history)-1].status == http.StatusOK {
			break
		}
		old.host.frozenUntil += 2 * time.Millisecond
		s.run(s.now + 2*time.Millisecond)
		require.Less(t, i, 19)
	}
	old.host.frozenUntil = s.now // it resumes, and the first request that it receives is a read
	require.True(t, old.replica.IsPrimary())
	s.callAt(old, operation{client: 2})
	s.run(s.now + 2*time.Second)
	require.Equal(t, porcupine.Ok, checkHistory(s.history))
}

// A primary transfers its leadership while the disk of the next primary has not yet synced the last entry. The third replica
// gets no Sync, but accepts the view. The next primary loses power as soon as it has answered a read: the entry must be on
// its disk by then.
func TestACandidateWaitsForItsOwnDisk(t *testing.T) {
	s, old := coreWithValue(t)
	slow, fast := s.followers(old)[0], s.followers(old)[1]
	slow.syncTime = 350 * time.Millisecond
	s.callAt(old, operation{client: 1, write: true, base: old.machine.Version, value: "b"})
	s.run(s.now + 10*time.Millisecond)
	transfer := TransferLeadership{Epoch: old.replica.View().Epoch}
	s.intercept = func(to *process, m Message) Message {
		switch m.(type) {
		case TransferLeadership, Sync:
			if to.host == fast {
				return nil
			}
		}
		return m
	}
	s.runIn(old, func() { old.replica.Resign(s.now) })
	next := slow.process
	s.runIn(next, func() { next.replica.Receive(old.host.address, transfer, s.now) })
	for range 300 {
		if next.replica.IsPrimary() {
			break
		}
		s.run(s.now + 10*time.Millisecond)
	}
	require.True(t, next.replica.IsPrimary())
	s.callAt(next, operation{client: 2})
	s.run(s.now + 20*time.Millisecond)
	s.kill(next.host)
	s.kill(old.host)
	s.intercept = nil
	slow.syncTime = 2 * time.Millisecond
	s.run(s.now + 100*time.Millisecond)
	s.boot(next.host)
	s.run(s.now + 3*time.Second)
	require.NotNil(t, s.primary())
	s.read(3)
	s.run(s.now + time.Second)
	require.Equal(t, http.StatusOK, s.history[len(s.history)-1].status)
	require.Equal(t, porcupine.Ok, checkHistory(s.history))
}

// Two machines join a core of three whose two followers are partitioned after their promises. The primary and the joining
// machines are a majority of the new members, and the followers a majority of the previous ones: the two sides must not both
// decide.
func TestThePreviousMembersHaveToAgree(t *testing.T) {
	s, old := coreWithValue(t)
	followers := s.followers(old)
	joining := []*host{}
	for _, address := range []string{"10.1.0.1:7000", "10.1.1.1:7000"} {
		h := &host{address: address, zone: "zone-" + address, syncTime: 2 * time.Millisecond}
		s.hosts[address] = h
		joining = append(joining, h)
	}
	joiningSide := append([]*host{old.host}, joining...)
	partitioned := false
	s.intercept = func(to *process, m Message) Message {
		if _, ok := m.(Sync); ok && (to.host == followers[0] || to.host == followers[1]) {
			partitioned = true
			s.partition(followers, joiningSide)
		}
		if partitioned && (to.host == followers[0]) != (to.host == followers[1]) {
			switch m.(type) {
			case Sync, Accept:
				return nil // it was in flight when the partition began
			}
		}
		return m
	}
	for _, h := range joining {
		s.boot(h)
	}
	s.run(s.now + 2*time.Second)
	require.True(t, partitioned)
	s.intercept = nil
	for round := range 8 { // writes and reads on both sides, at each primary there
		if round == 4 { // one of the joining machines campaigns without pre-votes
			p := joining[0].process
			s.runIn(p, func() { p.replica.campaign(true) })
		}
		for client, side := range [][]*host{joiningSide, followers} {
			for _, h := range side {
				if p := h.process; p.replica.IsPrimary() {
					s.callAt(p, operation{client: client, write: true, base: p.machine.Version, value: string(rune('b'+round)) + h.address})
					s.callAt(p, operation{client: 10 + client})
				}
			}
		}
		s.run(s.now + 500*time.Millisecond)
	}
	require.NotEqual(t, porcupine.Illegal, checkHistory(s.history))
	acceptedWrites := 0
	for _, o := range s.history[1:] {
		if o.write && o.status == http.StatusOK {
			acceptedWrites++
		}
	}
	require.NotZero(t, acceptedWrites, "a majority of the members continues")
	s.heal()
	s.run(s.now + 12*time.Second)
	require.Len(t, s.primary().replica.View().InSync, 5)
	s.read(9)
	s.run(s.now + time.Second)
	require.NotEqual(t, porcupine.Illegal, checkHistory(s.history))
}
