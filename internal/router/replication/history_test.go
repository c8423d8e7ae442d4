package replication

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// schedulesVariable sets how many random schedules are played; every run has a few with fixed seeds.
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

// registerModel is a register that accepts a value on top of the version that the write names.
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
		if matches { // the answer was unclear: it may have been committed
			return true, registerState{s.version + 1, o.value}
		}
		return true, s
	},
}

// check asks porcupine whether what clients observed is linearizable. A write without a clear answer may be committed at any time after
// it was proposed, or never; the model permits both: it ends at infinity, and where it does not fit it changes nothing.
func check(history []operation) porcupine.CheckResult {
	acknowledged := map[int]bool{} // versions on top of which a value was acknowledged
	for _, o := range history {
		if o.write && o.status == http.StatusOK {
			acknowledged[o.base] = true
		}
	}
	var list []porcupine.Operation
	for i, o := range history {
		if o.status != http.StatusOK && o.status != http.StatusPreconditionFailed {
			// Versions only rise: a write on top of one that an acknowledged write has replaced was never committed.
			if !o.write || acknowledged[o.base] {
				continue
			}
			o.end = 1 << 60
		}
		list = append(list, porcupine.Operation{ClientId: i, Input: o, Call: int64(o.begin), Output: o, Return: int64(o.end)})
	}
	return porcupine.CheckOperationsTimeout(registerModel, list, 20*time.Second)
}

// faultTargets draws the machines of a fault: one, or up to as many as may be lost at once.
func (s *simulation) faultTargets() []*host {
	hosts := s.addresses()
	h := s.hosts[hosts[s.random.Intn(len(hosts))]]
	if p := s.primary(); p != nil && s.random.Intn(2) == 0 {
		h = p.host
	}
	list := []*host{h}
	for s.tolerance > len(list) && s.random.Intn(2) == 0 {
		other := s.hosts[hosts[s.random.Intn(len(hosts))]]
		if !slices.Contains(list, other) {
			list = append(list, other)
		}
	}
	return list
}

// faultKind is a kind of fault that injectFault draws.
type faultKind int

const (
	killOne faultKind = iota // or a loss of power: the disk holds what was synced
	killAll
	loseDisk
	freeze
	fillDisk
	isolate
	blockOneLink
	slowDisk
	suspend // freeze, and what is sent to it meanwhile is lost
	loseMessages
	faultKinds // their number
)

// injectFault injects a random fault, and ends it later.
func (s *simulation) injectFault() {
	targets := s.faultTargets()
	back := time.Duration(200+s.random.Intn(2500)) * time.Millisecond
	kind := faultKind(s.random.Intn(int(faultKinds)))
	if kind == loseDisk && !s.mayWipe() {
		return
	}
	for _, h := range targets {
		s.applyFault(kind, h, back)
	}
}

// applyFault injects a fault of a kind at a machine, or, where it is about links or all machines, at all.
func (s *simulation) applyFault(kind faultKind, h *host, back time.Duration) {
	switch kind {
	case killOne:
		s.kill(h)
		s.after(back, func() { s.boot(h) })
	case killAll:
		for _, target := range s.ordered() {
			s.kill(target)
			s.after(time.Duration(200+s.random.Intn(800))*time.Millisecond, func() { s.boot(target) })
		}
	case loseDisk:
		s.kill(h)
		s.wipe(h)
		s.after(back, func() { s.boot(h) })
	case freeze:
		h.frozenUntil = s.now + back
	case fillDisk:
		h.diskFullUntil = s.now + back
	case isolate:
		for _, other := range s.ordered() {
			if other != h {
				s.blockLink(h, other, s.random.Intn(2) == 0)
			}
		}
		s.after(back, s.heal)
	case blockOneLink:
		hosts := s.addresses()
		s.blockLink(h, s.hosts[hosts[s.random.Intn(len(hosts))]], true)
		s.after(back, s.heal)
	case slowDisk:
		h.syncTime = 40 * time.Millisecond
		s.after(back, func() { h.syncTime = 2 * time.Millisecond })
	case suspend:
		h.frozenUntil = s.now + back
		h.inboundLostUntil = h.frozenUntil
	case loseMessages:
		s.loss = 0.2
		s.after(back, func() { s.loss = 0 })
	}
}

// mayWipe reports whether a disk may be lost: as many may be lost at one time as FaultTolerance says, and each counts as lost until its
// machine is back in the in-sync set.
func (s *simulation) mayWipe() bool {
	p := s.primary()
	if p == nil || len(p.replica.View().InSync) < len(s.hosts) {
		return false
	}
	for _, h := range s.hosts {
		if h.disk != nil && (h.disk.Hard.Accepted.joint() || h.disk.Hard.Accepted.Epoch != p.replica.View().Epoch) {
			return false
		}
		if h.process == nil || h.disk == nil || s.now < h.diskFullUntil || !isMember(p.replica.View(), h.disk.ID) {
			return false
		}
	}
	return true
}

// playSchedule runs one random schedule of faults and calls, and returns the simulation after it has recovered.
func playSchedule(t testing.TB, seed int64, mutate func(*simulation)) *simulation {
	t.Helper()
	return playCore(t, seed, 3+int(seed%3), 1, mutate)
}

// playCore is playSchedule with a core of a size, of which some machines may be lost at once.
func playCore(t testing.TB, seed int64, machines, tolerance int, mutate func(*simulation)) *simulation {
	t.Helper()
	s := newSimulation(t, seed, machines, tolerance)
	if mutate != nil {
		mutate(s)
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
	s.loss = 0
	s.run(s.now + 12*time.Second)
	s.read(9)
	s.run(s.now + 2*time.Second)
	return s
}

// What clients observe under random faults is linearizable, and the core has recovered some seconds after the last fault.
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

// A schedule is the same each time it is played: a failure can be reproduced.
func TestSchedulesRepeat(t *testing.T) {
	runSeedsInParallel(t, 24, func(seed int64) bool {
		first, second := playSchedule(t, seed, nil), playSchedule(t, seed, nil)
		return assert.Equal(t, first.history, second.history, "seed %d", seed)
	})
}

// The same with cores of five, six and seven machines, of which two may be lost at once: killed, wiped, partitioned, suspended, or with
// disks that are full or slow.
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

// runSeedsInParallel runs seeds side by side until one returns false.
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

// linearizable returns "" where one register could have given the answers that clients got.
func linearizable(history []operation) string {
	if check(history) == porcupine.Illegal {
		return "the history is not linearizable"
	}
	return ""
}

// scheduleViolation says what is wrong with a schedule that was played, or is "".
func scheduleViolation(s *simulation) string {
	if s.restoreError != nil {
		return s.restoreError.Error()
	}
	if fault := linearizable(s.history); fault != "" {
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
	if in := len(p.replica.View().InSync); in != len(s.hosts) {
		return fmt.Sprintf("%d of %d in sync after the faults", in, len(s.hosts))
	}
	return ""
}

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

// A primary is suspended, another is elected, and the first that the old one receives when it resumes is a proposal, at some time
// before its own next tick; after that the new one is read.
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

func TestAnOlderEpochIsRefused(t *testing.T) {
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

// A member is partitioned, a value is acknowledged, and then all lose power and one disk of the in-sync set is lost; the
// partitioned member and the one without its disk are back first.
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

// The check can fail: it notices an acknowledged value that is not there.
func TestTheCheckCanFail(t *testing.T) {
	written := operation{write: true, value: "a", begin: 1, end: 2, status: http.StatusOK}
	require.Equal(t, porcupine.Ok, check([]operation{written, {begin: 3, end: 4, status: 200, seenVersion: 1, seenValue: "a"}}))
	require.Equal(t, porcupine.Illegal, check([]operation{written, {begin: 3, end: 4, status: 200}}))
	second := operation{write: true, value: "b", begin: 3, end: 4, status: http.StatusOK}
	require.Equal(t, porcupine.Illegal, check([]operation{written, second}), "two on the same version")
	second.status = http.StatusServiceUnavailable
	require.Equal(t, porcupine.Ok, check([]operation{written, second}))
}

func isMember(v View, id string) bool { return v.Member(id) != nil }
