package replication

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// maxSchedulesUntilDetected is the number of schedules within which the removal of a guard has to be detected.
const maxSchedulesUntilDetected = 5_000

func TestGuards(t *testing.T) {
	for name, removeGuard := range map[string]func(*simulation){
		// A replica answers before the state that the answer depends on is on its disk.
		"sync before answer": func(s *simulation) { s.acksBeforeSync = true },
		// A read is answered without a confirmation that the replica is still the primary.
		"read confirmation": func(s *simulation) { s.unconfirmedReads = true },
	} {
		t.Run(name, func(t *testing.T) {
			var detected atomic.Int64
			detected.Store(-1)
			runSeedsInParallel(t, maxSchedulesUntilDetected, func(seed int64) bool {
				s := playSchedule(t, seed, removeGuard)
				if s.restoreError == nil && checkHistory(s.history) != porcupine.Illegal {
					return true
				}
				detected.Store(seed)
				return false
			})
			if detected.Load() < 0 {
				t.Errorf("the removal was not detected in %d schedules", maxSchedulesUntilDetected)
			}
			t.Logf("detected by schedule %d", detected.Load())
		})
	}
}

// withoutEpochCheck makes replicas accept entries of a primary of an older epoch, and that primary accept their answers.
func withoutEpochCheck(s *simulation) {
	s.intercept = func(to *process, m Message) Message {
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
				return nil // it would be answered with the larger epoch, which ends the old leadership
			}
		}
		return m
	}
}

// suspendedPrimaryGetsProposal suspends a primary until another one is elected. The first request that the old primary
// receives when it resumes is a proposal, some time before its next tick. Then the new primary is read.
func suspendedPrimaryGetsProposal(t *testing.T, beforeResume time.Duration, removeGuard func(*simulation)) *simulation {
	t.Helper()
	s, old := coreWithValue(t)
	removeGuard(s)
	old.host.frozenUntil = s.now + 2*time.Second
	old.host.inboundLostUntil = old.host.frozenUntil
	s.run(old.host.frozenUntil - beforeResume)
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
	detected := 0
	for beforeResume := time.Millisecond; beforeResume < 50*time.Millisecond; beforeResume += 3 * time.Millisecond {
		require.Equal(t, porcupine.Ok, checkHistory(suspendedPrimaryGetsProposal(t, beforeResume, func(*simulation) {}).history))
		if checkHistory(suspendedPrimaryGetsProposal(t, beforeResume, withoutEpochCheck).history) == porcupine.Illegal {
			detected++
		}
	}
	require.NotZero(t, detected, "an entry of an epoch that was left is acknowledged, and that is not detected")
	t.Logf("detected %d times", detected)
}

// lostDiskAndStaleMember partitions a member and has a value acknowledged without it. Then all machines lose power and one
// disk of the in-sync set is lost. The partitioned member and the machine with the lost disk start first: together they must
// not elect a primary.
func lostDiskAndStaleMember(t *testing.T, removeGuard func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, 1, 3, 1)
	removeGuard(s)
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
	require.Equal(t, porcupine.Ok, checkHistory(lostDiskAndStaleMember(t, func(*simulation) {}).history))
	require.Equal(t, porcupine.Illegal, checkHistory(lostDiskAndStaleMember(t, func(s *simulation) { s.reusesDiskIDs = true }).history),
		"a disk that was lost votes under its old identity, and that is not detected")
}

// oneDiskInSync kills an in-sync member while no other disk can be brought to the primary's state, has a value proposed, and
// then loses the primary's disk.
func oneDiskInSync(t *testing.T, removeGuard func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, 1, 4, 1)
	removeGuard(s)
	s.run(4 * time.Second)
	p := s.primary()
	require.NotNil(t, p)
	s.intercept = func(_ *process, m Message) Message {
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
	s.intercept = nil
	s.boot(p.host)
	s.run(s.now + 5*time.Second)
	s.read(2)
	s.run(s.now + time.Second)
	return s
}

func TestTheInSyncMinimum(t *testing.T) {
	withMinimum := oneDiskInSync(t, func(*simulation) {})
	require.Equal(t, porcupine.Ok, checkHistory(withMinimum.history))
	require.NotNil(t, withMinimum.primary())
	withoutMinimum := oneDiskInSync(t, func(s *simulation) { s.tolerance = 0 })
	require.Equal(t, http.StatusOK, withoutMinimum.history[0].status)
	require.Nil(t, withoutMinimum.primary(), "the only disk with an acknowledged value is lost, and a replica leads without the value")
}
