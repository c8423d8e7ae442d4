package replication

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// schedulesVariable is the environment variable that sets how many random schedules are played. The seeds are 0, 1, 2, ...
const schedulesVariable = "PETRELHOOK_SCHEDULES"

func scheduleCount(t *testing.T, usual int) int {
	t.Helper()
	if text := os.Getenv(schedulesVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		return n
	}
	return usual
}

type registerState struct {
	version int
	value   string
}

// registerModel is a register with a version: a write succeeds if it names the current version.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, o, got := state.(registerState), input.(operation), output.(operation)
		if !o.write {
			return got.seenVersion == s.version && got.seenValue == s.value, s
		}
		matches := o.base == s.version
		switch got.status {
		case http.StatusOK:
			return matches, registerState{s.version + 1, o.value}
		case http.StatusPreconditionFailed:
			return !matches, s
		}
		if matches { // the outcome is unknown: the write may have been committed
			return true, registerState{s.version + 1, o.value}
		}
		return true, s
	},
}

// checkHistory checks with porcupine whether a history is linearizable. A write with an unknown outcome may be committed at
// any time after it was proposed, or never. The model permits both: such a write ends at infinity, and changes nothing if its
// base is not the current version.
func checkHistory(history []operation) porcupine.CheckResult {
	acknowledged := map[int]bool{} // versions on top of which a value was acknowledged
	for _, o := range history {
		if o.write && o.status == http.StatusOK {
			acknowledged[o.base] = true
		}
	}
	var list []porcupine.Operation
	for i, o := range history {
		if o.status != http.StatusOK && o.status != http.StatusPreconditionFailed {
			// Versions only increase: a write with a base that an acknowledged write has replaced was never committed.
			if !o.write || acknowledged[o.base] {
				continue
			}
			o.end = 1 << 60
		}
		list = append(list, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.begin), Output: o, Return: int64(o.end)})
	}
	return porcupine.CheckOperationsTimeout(registerModel, list, 20*time.Second)
}

// playSchedule runs one random schedule of faults and calls, and returns the simulation after it has recovered.
func playSchedule(t testing.TB, seed int64, configure func(*simulation)) *simulation {
	t.Helper()
	return playCore(t, seed, 3+int(seed%3), 1, configure)
}

// playCore is like playSchedule, with a core of the given size that tolerates the loss of so many disks.
func playCore(t testing.TB, seed int64, machines, tolerance int, configure func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, seed, machines, tolerance)
	if configure != nil {
		configure(s)
	}
	s.run(4 * time.Second)
	for round := range 14 {
		if s.random.Intn(2) == 0 {
			s.injectFault()
		}
		for client := range 2 {
			if p := s.primary(); p != nil {
				s.write(client, p.machine.Version, fmt.Sprint(round, "/", client))
			}
			if s.random.Intn(3) == 0 {
				s.read(client)
			}
		}
		s.run(s.now + time.Duration(1+s.random.Intn(900))*time.Millisecond)
	}
	s.heal()
	s.lossProbability = 0
	s.run(s.now + 12*time.Second)
	s.read(9)
	s.run(s.now + 2*time.Second)
	return s
}

// Histories under random faults are linearizable, and the core has recovered some seconds after the last fault.
func TestHistories(t *testing.T) {
	runSeedsInParallel(t, scheduleCount(t, 400), func(seed int64) bool {
		s := playSchedule(t, seed, nil)
		if fault := scheduleViolation(s); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

// A seed gives the same history each time it is played, so that a failure can be reproduced.
func TestSchedulesRepeat(t *testing.T) {
	runSeedsInParallel(t, 24, func(seed int64) bool {
		first, second := playSchedule(t, seed, nil), playSchedule(t, seed, nil)
		return assert.Equal(t, first.history, second.history, "seed %d", seed)
	})
}

// Like TestHistories, with cores of five, six and seven machines. Up to two of them fail at once: they are killed, wiped,
// partitioned or suspended, or their disks are full or slow.
func TestHistoriesOfLargerCores(t *testing.T) {
	runSeedsInParallel(t, scheduleCount(t, 60), func(seed int64) bool {
		s := playCore(t, seed, 5+int(seed%3), 2, nil)
		if fault := scheduleViolation(s); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

// runSeedsInParallel runs all seeds on several goroutines. It stops early once run has returned false.
func runSeedsInParallel(t *testing.T, seeds int, run func(seed int64) bool) {
	t.Helper()
	var next atomic.Int64
	var stop atomic.Bool
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for !stop.Load() {
				seed := next.Add(1) - 1
				if seed >= int64(seeds) {
					return
				}
				if !run(seed) {
					stop.Store(true)
				}
			}
		})
	}
	group.Wait()
}

// linearizabilityViolation returns "" if a history is linearizable or the check timed out, and otherwise says that it is not.
func linearizabilityViolation(history []operation) string {
	if checkHistory(history) == porcupine.Illegal {
		return "the history is not linearizable"
	}
	return ""
}

// scheduleViolation describes what is wrong after a schedule, or returns "".
func scheduleViolation(s *simulation) string {
	if s.restoreError != nil {
		return s.restoreError.Error()
	}
	if fault := linearizabilityViolation(s.history); fault != "" {
		return fault
	}
	p := s.primary()
	if p == nil {
		return "no primary after the faults"
	}
	last := s.history[len(s.history)-1]
	if last.write || last.status != http.StatusOK {
		return "no answer after the faults"
	}
	if inSyncCount := len(p.replica.View().InSync); inSyncCount != len(s.hosts) {
		return fmt.Sprintf("%d of %d in sync after the faults", inSyncCount, len(s.hosts))
	}
	return ""
}

// The check rejects a history in which an acknowledged value is missing or two writes succeed on the same version.
func TestTheCheckCanFail(t *testing.T) {
	written := operation{write: true, value: "a", begin: 1, end: 2, status: http.StatusOK}
	require.Equal(t, porcupine.Ok, checkHistory([]operation{written, {begin: 3, end: 4, status: 200, seenVersion: 1, seenValue: "a"}}))
	require.Equal(t, porcupine.Illegal, checkHistory([]operation{written, {begin: 3, end: 4, status: 200}}))
	second := operation{write: true, value: "b", begin: 3, end: 4, status: http.StatusOK}
	require.Equal(t, porcupine.Illegal, checkHistory([]operation{written, second}), "two on the same version")
	second.status = http.StatusServiceUnavailable
	require.Equal(t, porcupine.Ok, checkHistory([]operation{written, second}))
}

func isMember(v View, id string) bool { return v.Member(id) != nil }
