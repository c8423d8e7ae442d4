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

// The model accepts that a grant is reported again to its session, and no other second grant.
func TestTheModel(t *testing.T) {
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
		"one after another":         {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Release, 1, 1, 3), op(lease.Acquire, 2, 2, 5)}, true},
		"reported again":            {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 1, 1, 3)}, true},
		"one token of two":          {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 2, 1, 3)}, false},
		"an older one":              {[]porcupine.Operation{op(lease.Acquire, 1, 2, 1), op(lease.Acquire, 2, 1, 3)}, false},
		"the release of an old one": {[]porcupine.Operation{op(lease.Acquire, 1, 1, 1), op(lease.Acquire, 2, 2, 3), op(lease.Release, 1, 1, 5)}, false},
	} {
		if got := porcupine.CheckOperations(group.Model, c.history); got != c.legal {
			t.Errorf("%s: legal %v", name, got)
		}
	}
}

// Leaders that are stopped, or partitioned from the other replicas but not from their clients, for so long that another one leads and has
// granted what they had: they renew no session when they go on.
func TestDeposedLeadersRenewNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(schedules(60)) {
		var faults []int
		for i := range 8 { // the leader, for 1.5 to 3 s
			faults = append(faults, 2+i%2+7*(5+15*(14+int(seed+uint64(i))%16)))
		}
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 15 * time.Second, Faults: faults}); s.Violation != "" {
			t.Fatalf("seed %d: %s", seed, s.Violation)
		}
	}
}

// Clients of a complete group get allocations of a limit while leaders are partitioned, crash and are succeeded: never more than the limit.
func TestSharesOfAGroup(t *testing.T) {
	t.Parallel()
	largest := 0
	for seed := range uint64(schedules(60)) {
		var faults []int // the leader in one run, whatever comes in the other
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

// Beyond the bound on clock drift two clients may believe that they hold the lease; what the guard admits is in order all the same, and
// without the guard it is not.
func TestBeyondTheClockDriftBound(t *testing.T) {
	t.Parallel()
	two, disorder := 0, 0
	for seed := range uint64(schedules(60)) {
		s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, ClockRateOutOfBounds: true})
		if s.Violation != "" {
			two++
		}
		if !slices.IsSorted(s.AdmittedTokens) {
			t.Errorf("seed %d: the guard admitted out of order", seed)
		}
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, ClockRateOutOfBounds: true, NoFencing: true}); !slices.IsSorted(s.AdmittedTokens) {
			disorder++
		}
	}
	if two == 0 || disorder == 0 {
		t.Error("nothing goes wrong past the bound: the simulation is blind")
	}
	t.Logf("two believed in %d runs, and without the guard acts came out of order in %d", two, disorder)
}

// schedules returns how many schedules a test plays: SCHEDULES of the environment, or a few.
func schedules(few int) int {
	n := few
	fmt.Sscan(os.Getenv("SCHEDULES"), &n)
	return n
}

// Random faults over complete groups, each from its seed: no two clients ever hold the lease, tokens grow, and the histories are those of one
// lease.
func TestSchedules(t *testing.T) {
	var faults, grants, refused, changes atomic.Int64
	var wrong sync.Map
	seeds := make(chan uint64)
	var players sync.WaitGroup
	workers := 2 // other packages are tested at the same time
	if schedules(0) > 0 {
		workers = 8
	}
	for range workers {
		players.Go(func() {
			for seed := range seeds {
				s := group.Simulate(group.Options{Seed: seed, Replicas: 3 + 2*int(seed%2), Length: 20 * time.Second})
				if s.Violation != "" {
					wrong.Store(seed, s.Violation)
				}
				faults.Add(int64(s.Faults))
				grants.Add(int64(s.Grants))
				refused.Add(int64(s.FencedOff))
				changes.Add(int64(s.HolderChanges))
			}
		})
	}
	n := schedules(100)
	for seed := range uint64(n) {
		seeds <- seed
	}
	close(seeds)
	players.Wait()
	wrong.Range(func(seed, what any) bool { t.Errorf("seed %d: %v", seed, what); return true })
	t.Logf("%d schedules, %d faults, %d grants, %d changes of holder seen by the guard, %d acts refused by it", n, faults.Load(), grants.Load(), changes.Load(), refused.Load())
	if grants.Load() < int64(n) || refused.Load() == 0 {
		t.Error("too little happened")
	}
}

// The same seed gives the same run.
func TestSameSeedSameRun(t *testing.T) {
	a, b := group.Simulate(group.Options{Seed: 7, Replicas: 3, Length: 10 * time.Second}), group.Simulate(group.Options{Seed: 7, Replicas: 3, Length: 10 * time.Second})
	if a.Events != b.Events || a.Grants != b.Grants || !slices.Equal(a.Uses, b.Uses) {
		t.Errorf("%d events and %d grants, then %d and %d", a.Events, a.Grants, b.Events, b.Grants)
	}
}

// Faults that rapid draws, and reduces where something goes wrong.
func TestDrawnFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 0, 20).Draw(t, "faults")
		if s := group.Simulate(group.Options{Seed: rapid.Uint64Range(0, 1000).Draw(t, "seed"), Replicas: 3, Length: 15 * time.Second, Faults: faults}); s.Violation != "" {
			t.Fatal(s.Violation)
		}
	})
}

// The check can fail: a disk that is written after the response loses a grant that was given.
func TestAnswersBeforeTheDiskAreCaught(t *testing.T) {
	for seed := range uint64(60) {
		if s := group.Simulate(group.Options{Seed: seed, Replicas: 3, Length: 20 * time.Second, NoSync: true}); s.Violation != "" {
			t.Logf("seed %d: %s", seed, s.Violation)
			return
		}
	}
	t.Error("not caught")
}
