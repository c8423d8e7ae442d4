package replica_test

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/rig/group"
)

// The linearizability model accepts a grant that is reported twice to the same session. It rejects a token that is granted to two
// sessions, a token that is older than the last one, and the release of a lease with an older token.
func TestModel(t *testing.T) {
	op := func(kind lease.Kind, session lease.SessionID, token lease.Token, at int64) porcupine.Operation {
		cmd, a := lease.Command{Kind: kind, Session: session}, lease.Answer{Status: lease.OK}
		if kind == lease.Acquire {
			a.Token = token
		} else {
			cmd.Token = token
		}
		return porcupine.Operation{ClientId: int(session), Input: cmd, Call: at, Output: a, Return: at + 1}
	}
	for name, c := range map[string]struct {
		history []porcupine.Operation
		legal   bool
	}{
		"sequential grants":             {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Release, 1, 1, 3), op(lease.Acquire, 2, 2, 5)}, true},
		"grant reported twice":          {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 1, 1, 3)}, true},
		"two sessions with one token":   {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 2, 1, 3)}, false},
		"a token older than the last":   {[]porcupine.Operation{op(lease.Acquire, 1, 2, 1), op(lease.Acquire, 2, 1, 3)}, false},
		"the release of an older token": {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 2, 2, 3), op(lease.Release, 1, 1, 5)}, false},
	} {
		if got := porcupine.CheckOperations(group.Model, c.history); got != c.legal {
			t.Errorf("%s: legal %v", name, got)
		}
	}
}

// A leader that is paused, or partitioned from the other replicas but not from its clients, renews no session once it continues:
// meanwhile another replica has become the leader and may have granted the same leases to others.
func TestDeposedLeadersRenewNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(scheduleCount(60)) {
		var faults []int
		for i := range 8 { // each pauses or partitions the leader for 1.5 to 3 s
			faults = append(faults, 2+i%2+7*(5+15*(14+int(seed+uint64(i))%16)))
		}
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 15 * time.Second, Faults: faults}); s.Violation != "" {
			t.Fatalf("seed %d: %s", seed, s.Violation)
		}
	}
}

// The clients of a group never hold more units than the limit while leaders are partitioned, crash and are replaced.
func TestSharesOfAGroup(t *testing.T) {
	t.Parallel()
	largest := 0
	for seed := range uint64(scheduleCount(60)) {
		var faults []int // faults of the leader for odd seeds, random faults for even ones
		for i := range 8 {
			faults = append(faults, 2+i%2+7*(5+15*(14+int(seed+uint64(i))%16)))
		}
		if seed%2 == 0 {
			faults = nil
		}
		s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 15 * time.Second, Faults: faults, Shares: true})
		if s.Violation != "" {
			t.Fatalf("seed %d: %s", seed, s.Violation)
		}
		largest = max(largest, s.MaxUnitsInUse)
	}
	if largest < group.ShareLimit.Units {
		t.Errorf("%d units at most: the limit is never used up", largest)
	}
}

// Beyond the bound on clock drift, two clients may believe that they hold the lease at the same time. The guard still admits
// their operations in the order of their tokens; without the guard the operations are out of order.
func TestBeyondTheClockDriftBound(t *testing.T) {
	t.Parallel()
	violations, unordered := 0, 0
	for seed := range uint64(scheduleCount(60)) {
		s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, ClockRateOutOfBounds: true})
		if s.Violation != "" {
			violations++
		}
		if !slices.IsSorted(s.AdmittedTokens) {
			t.Errorf("seed %d: the guard admitted tokens out of order", seed)
		}
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, ClockRateOutOfBounds: true, NoFencing: true}); !slices.IsSorted(s.AdmittedTokens) {
			unordered++
		}
	}
	if violations == 0 || unordered == 0 {
		t.Error("clock drift beyond the bound caused no violation: the simulation does not detect one")
	}
	t.Logf("two clients believed that they held the lease in %d runs; without the guard operations were out of order in %d", violations, unordered)
}

// scheduleCount returns how many schedules a test runs: the environment variable SCHEDULES, or defaultCount where it is not set.
func scheduleCount(defaultCount int) int {
	n := defaultCount
	fmt.Sscan(os.Getenv("SCHEDULES"), &n)
	return n
}

// Under random faults, drawn from a seed for each group, no two clients ever hold the lease at the same time, tokens increase,
// and the histories are linearizable for one lease.
func TestSchedules(t *testing.T) {
	var faults, grants, fencedOff, holderChanges atomic.Int64
	var violations sync.Map
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	workerCount := 2 // small, because other packages are tested at the same time
	if scheduleCount(0) > 0 {
		workerCount = 8
	}
	for range workerCount {
		workers.Go(func() {
			for seed := range seeds {
				s := group.Simulate(group.Options{Seed: seed, Replicas: 3 + 2*int(seed%2), Length: 20 * time.Second})
				if s.Violation != "" {
					violations.Store(seed, s.Violation)
				}
				faults.Add(int64(s.Faults))
				grants.Add(int64(s.Grants))
				fencedOff.Add(int64(s.FencedOff))
				holderChanges.Add(int64(s.HolderChanges))
			}
		})
	}
	n := scheduleCount(100)
	for seed := range uint64(n) {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	violations.Range(func(seed, what any) bool { t.Errorf("seed %d: %v", seed, what); return true })
	t.Logf("%d schedules, %d faults, %d grants, %d changes of holder seen by the guard, %d operations rejected by it", n, faults.Load(), grants.Load(), holderChanges.Load(), fencedOff.Load())
	if grants.Load() < int64(n) || fencedOff.Load() == 0 {
		t.Error("fewer grants than schedules, or the guard rejected nothing")
	}
}

// The same seed gives the same run.
func TestSameSeedSameRun(t *testing.T) {
	first, second := group.Simulate(group.Options{Seed: 7, Replicas: 3, Length: 10 * time.Second}), group.Simulate(group.Options{Seed: 7, Replicas: 3, Length: 10 * time.Second})
	if first.Events != second.Events || first.Grants != second.Grants || !slices.Equal(first.Uses, second.Uses) {
		t.Errorf("%d events and %d grants, then %d and %d", first.Events, first.Grants, second.Events, second.Grants)
	}
}

// Faults that rapid draws, and shrinks to a minimal sequence where a run violates the lease.
func TestDrawnFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 0, 20).Draw(t, "faults")
		if s := group.Simulate(group.Options{Seed: rapid.Uint64Range(0, 1000).Draw(t, "seed"), Replicas: 3, Length: 15 * time.Second, Faults: faults}); s.Violation != "" {
			t.Fatal(s.Violation)
		}
	})
}

// The simulation detects a replica that responds before the sync: after a crash the disk lacks a grant that was reported.
func TestResponseBeforeSyncIsCaught(t *testing.T) {
	for seed := range uint64(60) {
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, NoSync: true}); s.Violation != "" {
			t.Logf("seed %d: %s", seed, s.Violation)
			return
		}
	}
	t.Error("no run violated the lease without the sync")
}
