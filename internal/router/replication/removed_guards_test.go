package replication

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// maxSchedulesUntilNoticed: a guard that is removed has to be noticed within so many schedules.
const maxSchedulesUntilNoticed = 5_000

func TestGuards(t *testing.T) {
	for name, without := range map[string]func(*simulation){
		// A replica answers before its disk has what it answers for.
		"sync before answer": func(s *simulation) { s.lyingDisks = true },
		// A read is answered without a confirmation that this is still the primary.
		"read confirmation": func(s *simulation) { s.readsAtOnce = true },
	} {
		t.Run(name, func(t *testing.T) {
			var noticed atomic.Int64
			noticed.Store(-1)
			runSeedsInParallel(t, maxSchedulesUntilNoticed, func(seed int64) bool {
				s := playSchedule(t, seed, without)
				if s.restoreError == nil && check(s.history) != porcupine.Illegal {
					return true
				}
				noticed.Store(seed)
				return false
			})
			if noticed.Load() < 0 {
				t.Errorf("removed, and not noticed in %d schedules", maxSchedulesUntilNoticed)
			}
			t.Logf("noticed by schedule %d", noticed.Load())
		})
	}
}

// withoutEpochCheck has replicas accept what a primary of an older epoch sends, and that primary accept their answers.
func withoutEpochCheck(s *simulation) {
	s.mutate = func(to *process, m Message) Message {
		switch m := m.(type) {
		case Replicate:
			m.Epoch = to.replica.hard.Promised
			to.replica.hard.Accepted.Epoch = m.Epoch
			return m
		case Replicated:
			m.Epoch = to.replica.leadership.view.Epoch
			return m
		case Heartbeat:
			if m.Epoch.Less(to.replica.hard.Promised) {
				return nil // nor does it learn that it is not the primary any more
			}
		}
		return m
	}
}

// A primary is suspended, another is elected, and the first that the old one receives when it resumes is a proposal, at
// some time before its own next tick; after that the new one is read.
func suspendedPrimaryGetsProposal(t *testing.T, early time.Duration, without func(*simulation)) *simulation {
	t.Helper()
	s, old := coreWithValue(t)
	without(s)
	old.host.frozenUntil = s.now + 2*time.Second
	old.host.inboundLostUntil = old.host.frozenUntil
	s.run(old.host.frozenUntil - early)
	next := leaderAmong(s.followers(old))
	require.NotNil(t, next)
	old.host.frozenUntil, old.host.inboundLostUntil = s.now, s.now
	require.True(t, old.replica.IsPrimary())
	s.callAt(old, operation{client: 1, write: true, base: old.machine.Version, value: "b"})
	s.run(s.now + 20*time.Millisecond)
	s.callAt(next, operation{client: 2})
	s.run(s.now + 2*time.Second)
	return s
}

func TestAnOlderEpochIsRejected(t *testing.T) {
	noticed := 0
	for early := time.Millisecond; early < 50*time.Millisecond; early += 3 * time.Millisecond {
		require.Equal(t, porcupine.Ok, check(suspendedPrimaryGetsProposal(t, early, func(*simulation) {}).history))
		if check(suspendedPrimaryGetsProposal(t, early, withoutEpochCheck).history) == porcupine.Illegal {
			noticed++
		}
	}
	require.NotZero(t, noticed, "an entry of an epoch that was left is acknowledged, and that is not noticed")
	t.Logf("noticed %d times", noticed)
}

// A member is partitioned, a value is acknowledged, and then all lose power and one disk of the in-sync set is lost;
// the partitioned member and the one without its disk are back first.
func lostDiskAndStaleMember(t *testing.T, without func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, 1, 3, 1)
	without(s)
	s.run(4 * time.Second)
	p := s.primary()
	require.NotNil(t, p)
	var others []*host
	for _, address := range s.addresses() {
		if h := s.hosts[address]; h != p.host {
			others = append(others, h)
		}
	}
	stale, wiped := others[0], others[1]
	s.blockLink(stale, p.host, false)
	s.blockLink(stale, wiped, false)
	s.run(s.now + 2*time.Second)
	require.Equal(t, http.StatusOK, writeNow(s, "a").status)
	for _, h := range s.ordered() {
		s.kill(h)
	}
	s.wipe(wiped)
	s.heal()
	s.boot(stale)
	s.boot(wiped)
	s.run(s.now + 3*time.Second)
	s.read(2)
	s.run(s.now + time.Second)
	s.boot(p.host)
	s.run(s.now + 4*time.Second)
	s.read(2)
	s.run(s.now + time.Second)
	return s
}

func TestALostDiskHasNoVote(t *testing.T) {
	require.Equal(t, porcupine.Ok, check(lostDiskAndStaleMember(t, func(*simulation) {}).history))
	require.Equal(t, porcupine.Illegal, check(lostDiskAndStaleMember(t, func(s *simulation) { s.sameIdentity = true }).history),
		"a disk that was lost votes under its old identity, and that is not noticed")
}

// A view in which no other disk could be brought to the primary's state, then the primary's disk is lost.
func oneDiskInSync(t *testing.T, without func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, 1, 4, 1)
	without(s)
	s.run(4 * time.Second)
	p := s.primary()
	require.NotNil(t, p)
	s.mutate = func(_ *process, m Message) Message {
		if _, ok := m.(Sync); ok {
			return nil
		}
		return m
	}
	for _, address := range s.addresses() {
		if h := s.hosts[address]; h != p.host {
			s.kill(h) // an in-sync member is lost: a view without it is needed
			s.after(3*time.Second, func() { s.boot(h) })
			break
		}
	}
	s.write(1, p.machine.Version, "a")
	s.run(s.now + 2*time.Second)
	s.kill(p.host)
	s.wipe(p.host)
	s.mutate = nil
	s.boot(p.host)
	s.run(s.now + 5*time.Second)
	s.read(2)
	s.run(s.now + time.Second)
	return s
}

func TestTheInSyncMinimum(t *testing.T) {
	withMinimum := oneDiskInSync(t, func(*simulation) {})
	require.Equal(t, porcupine.Ok, check(withMinimum.history))
	require.NotNil(t, withMinimum.primary())
	withoutMinimum := oneDiskInSync(t, func(s *simulation) { s.tolerance = 0 })
	require.Equal(t, http.StatusOK, withoutMinimum.history[0].status)
	require.Nil(t, withoutMinimum.primary(), "what was acknowledged was on one disk, which is lost, and somebody leads without it")
}
