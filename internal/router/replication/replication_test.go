package replication

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeNow proposes a value on top of the primary's version, and returns the operation.
func writeNow(s *simulation, value string) *operation {
	p := s.primary()
	require.NotNil(s.t, p, "no primary at %v", s.now)
	index := len(s.history)
	s.write(1, p.machine.Version, value)
	s.run(s.now + 2*time.Second)
	require.Greater(s.t, len(s.history), index)
	return &s.history[index]
}

func TestFirstView(t *testing.T) {
	for _, machines := range []int{2, 3, 4, 5, 6} {
		s := newSimulation(t, int64(machines), machines, 1)
		s.run(4 * time.Second)
		p := s.primary()
		require.NotNil(t, p)
		require.Len(t, p.replica.View().InSync, machines)
		require.Equal(t, http.StatusOK, writeNow(s, "a").status)
	}
}

// After the loss of the primary another one is elected, which has the acknowledged value.
func TestPrimaryIsLost(t *testing.T) {
	s := newSimulation(t, 1, 4, 1)
	s.run(4 * time.Second)
	require.Equal(t, http.StatusOK, writeNow(s, "a").status)
	s.kill(s.primary().host)
	s.run(s.now + 2*time.Second)
	p := s.primary()
	require.NotNil(t, p)
	require.Equal(t, "a", p.machine.Value)
	require.Equal(t, http.StatusOK, writeNow(s, "b").status)
}

// Large entries that were kept until a number of them was reached filled the disk.
func TestLargeEntriesDoNotFillTheDisk(t *testing.T) {
	const entryBytes, entries = 400 << 10, 12
	s := newSimulation(t, 1, 3, 1)
	s.run(4 * time.Second)
	for i := range entries {
		require.Equal(t, http.StatusOK, writeNow(s, largeValuePrefix+strings.Repeat(string(rune('a'+i)), entryBytes)).status)
		for _, h := range s.hosts {
			onDisk := 0
			for _, e := range h.disk.Entries {
				onDisk += len(e.Data)
			}
			require.LessOrEqual(t, onDisk, 1<<20, "bytes of entries on a disk")
		}
	}
}

// A machine that lost its disk returns as another member, which replaces its previous one.
func TestALostDiskRejoins(t *testing.T) {
	for seed := range int64(20) {
		s := newSimulation(t, seed, 4, 1)
		s.run(4 * time.Second)
		require.Equal(t, http.StatusOK, writeNow(s, "a").status)
		lost := s.hosts[s.addresses()[seed%4]]
		s.kill(lost)
		s.wipe(lost)
		s.run(s.now + 3*time.Second)
		s.boot(lost)
		s.run(s.now + 3*time.Second)
		p := s.primary()
		require.NotNil(t, p)
		v := p.replica.View()
		require.Len(t, v.Members, 4)
		require.Len(t, v.InSync, 4, "seed %d", seed)
		require.NotNil(t, v.Member(lost.process.replica.Self.ID))
		require.Equal(t, http.StatusOK, writeNow(s, "b").status)
	}
}

// Members are replaced at other addresses, again and again.
func TestMembersAreReplaced(t *testing.T) {
	s := newSimulation(t, 3, 4, 1)
	s.run(4 * time.Second)
	for round := range 8 {
		require.Equal(t, http.StatusOK, writeNow(s, fmt.Sprint("v", round)).status)
		old := s.hosts[s.addresses()[s.random.Intn(4)]]
		s.kill(old)
		delete(s.hosts, old.address)
		s.run(s.now + time.Second)
		h := &host{address: fmt.Sprintf("10.%d.0.1:7000", round+1), zone: old.zone, syncTime: 2 * time.Millisecond}
		s.hosts[h.address] = h
		s.boot(h)
		s.run(s.now + 9*time.Second)
		p := s.primary()
		require.NotNil(t, p, "round %d", round)
		require.Len(t, p.replica.View().Members, 4, "round %d", round)
		require.Len(t, p.replica.View().InSync, 4, "round %d", round)
	}
}

// A replica whose disk is full leaves the in-sync set, so that writes go on. It is in sync again after the disk has space.
func TestFullDisk(t *testing.T) {
	for seed := range int64(10) {
		s := newSimulation(t, seed, 4, 1)
		s.run(4 * time.Second)
		full := s.hosts[s.addresses()[seed%4]]
		full.diskFullUntil = s.now + 4*time.Second
		require.Equal(t, http.StatusOK, func() int {
			writeNow(s, "a")
			return writeNow(s, "b").status
		}())
		s.run(s.now + 5*time.Second)
		require.Len(t, s.primary().replica.View().InSync, 4)
	}
}

// All machines lose power at once and one disk is lost: an acknowledged value remains.
func TestPowerIsLostEverywhere(t *testing.T) {
	for seed := range int64(40) {
		s := newSimulation(t, seed, 4, 1)
		s.run(4 * time.Second)
		p := s.primary()
		require.NotNil(t, p)
		s.write(1, p.machine.Version, "a")
		for s.history[0].status == 0 {
			s.run(s.now + 200*time.Microsecond)
		}
		require.Equal(t, http.StatusOK, s.history[0].status)
		for _, h := range s.ordered() {
			s.kill(h)
		}
		lost := s.hosts[s.addresses()[seed%4]]
		s.wipe(lost)
		for _, h := range s.ordered() {
			s.after(time.Duration(s.random.Intn(1000))*time.Millisecond, func() { s.boot(h) })
		}
		s.run(s.now + 5*time.Second)
		p = s.primary()
		require.NotNil(t, p, "seed %d", seed)
		require.Equal(t, "a", p.machine.Value, "seed %d", seed)
	}
}

// All processes end at once and are started again: all are in sync afterwards.
func TestAllAreKilled(t *testing.T) {
	for seed := range int64(20) {
		s := newSimulation(t, seed, 3, 1)
		s.run(4 * time.Second)
		require.Equal(t, http.StatusOK, writeNow(s, "a").status)
		for _, h := range s.ordered() {
			s.kill(h)
		}
		for _, h := range s.ordered() {
			s.after(time.Duration(500+s.random.Intn(300))*time.Millisecond, func() { s.boot(h) })
		}
		s.run(s.now + 5*time.Second)
		require.NotNil(t, s.primary())
		require.Len(t, s.primary().replica.View().InSync, 3, "seed %d", seed)
		require.Equal(t, http.StatusOK, writeNow(s, "b").status)
	}
}

// All processes restart with other seeds, none of which is a member: the core still elects a primary.
func TestSeedsAreExchanged(t *testing.T) {
	s := newSimulation(t, 1, 3, 1)
	s.run(4 * time.Second)
	s.seeds = []string{"10.9.9.1:7000", "10.9.9.2:7000", "10.9.9.3:7000"}
	for _, h := range s.ordered() {
		s.kill(h)
		s.after(500*time.Millisecond, func() { s.boot(h) })
	}
	s.run(s.now + 5*time.Second)
	require.NotNil(t, s.primary())
	require.Len(t, s.primary().replica.View().InSync, 3)
}

// A lost primary does not answer the candidacy that follows. The candidate waits for it no longer than promiseWaitMargin
// beyond twice the time of the other answers.
func TestTheNextPrimaryDoesNotWaitForTheLostOne(t *testing.T) {
	const step = 5 * time.Millisecond
	longest := time.Duration(0)
	for seed := range int64(20) {
		s := newSimulation(t, seed, 4, 1)
		s.run(4 * time.Second)
		lost := s.primary()
		require.NotNil(t, lost)
		began := s.now
		s.kill(lost.host)
		for s.primary() == nil && s.now-began < 2*time.Second {
			s.run(s.now + step)
		}
		longest = max(longest, s.now-began)
	}
	t.Logf("at most %v", longest)
	require.Less(t, longest, electionTimeout+3*electionStagger+promiseWaitMargin+2*50*time.Millisecond)
}

// A member that can send but not receive only requests pre-votes, and raises no epoch. When it can receive again, the view
// is unchanged.
func TestAMemberThatReceivesNothingEndsNoView(t *testing.T) {
	s := newSimulation(t, 1, 4, 1)
	s.run(4 * time.Second)
	p := s.primary()
	require.NotNil(t, p)
	epoch := p.replica.View().Epoch
	receivesNothing := s.followers(p)[0]
	for _, h := range s.ordered() {
		s.blockLink(h, receivesNothing, true)
	}
	s.run(s.now + 3*time.Second)
	s.heal()
	s.run(s.now + 2*time.Second)
	require.Equal(t, epoch, p.replica.View().Epoch)
	require.True(t, p.replica.IsPrimary())
}

// When all processes start at once there is a primary as soon as they have exchanged pre-votes.
func TestAllStartAtOnce(t *testing.T) {
	for seed := range int64(10) {
		s := newSimulation(t, seed, 4, 1)
		s.run(4 * time.Second)
		for _, h := range s.ordered() {
			s.kill(h)
		}
		s.run(s.now + time.Second)
		began := s.now
		for _, h := range s.ordered() {
			s.boot(h)
		}
		for s.primary() == nil && s.now-began < 2*time.Second {
			s.run(s.now + 5*time.Millisecond)
		}
		require.Less(t, s.now-began, 200*time.Millisecond, "seed %d", seed)
	}
}

// A CPU quota suspends all processes for the rest of each 100 ms. The view does not change, and entries are committed.
func TestAProcessorThatIsAQuota(t *testing.T) {
	s, p := coreWithValue(t)
	epoch := p.replica.View().Epoch
	for at := time.Duration(0); at < 8*time.Second; at += 100 * time.Millisecond {
		for _, h := range s.ordered() {
			s.after(at+time.Duration(s.random.Intn(30))*time.Millisecond, func() { h.frozenUntil = s.now + 70*time.Millisecond })
		}
	}
	for range 20 {
		s.callAt(p, operation{client: 1, write: true, base: p.machine.Version, value: "x"})
		s.run(s.now + 400*time.Millisecond)
		require.Equal(t, http.StatusOK, s.history[len(s.history)-1].status)
	}
	require.Equal(t, epoch, p.replica.View().Epoch)
}
