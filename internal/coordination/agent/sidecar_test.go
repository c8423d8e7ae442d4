package agent

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"petrelhook/internal/coordination/rollout"
)

var testLimits = Limits{ReadyTimeout: 6 * time.Second, TrialPeriod: 5 * time.Second, TerminationTimeout: 4 * time.Second, IsolationTimeout: time.Minute, InitialBackoff: time.Second, MaxBackoff: 30 * time.Second}

// releaseSimulation carries out the actions of a sidecar on simulated processes that run releases, without versions of the
// configuration.
type releaseSimulation struct {
	t                   testing.TB
	sidecar             *Sidecar
	now                 time.Duration
	lastPID             int
	alive               []Process
	ignoresTERM         bool            // SIGTERM has no effect
	neverReady          map[string]bool // releases whose processes never become ready
	maxProcesses        int             // the most that were alive at the same time
	pollsWithoutProcess int             // polls that found no process
}

func newReleaseSimulation(t testing.TB) *releaseSimulation {
	sim := &releaseSimulation{t: t, sidecar: New("old", testLimits), neverReady: map[string]bool{}}
	sim.carryOut(sim.sidecar.Tick(0))
	sim.advance(time.Second)
	return sim
}

// carryOut carries out actions and those that follow from them.
func (sim *releaseSimulation) carryOut(actions []Action) {
	for _, action := range actions {
		switch {
		case action.Start != "":
			sim.lastPID++
			p := Process{PID: sim.lastPID, StartTicks: uint64(sim.lastPID), Release: action.Start}
			sim.alive = append(sim.alive, p)
			sim.maxProcesses = max(sim.maxProcesses, len(sim.alive))
			sim.carryOut(sim.sidecar.ProcessStarted(sim.now, p))
		case action.Term != nil && !sim.ignoresTERM:
			sim.exit(*action.Term)
		case action.Kill != nil:
			sim.exit(*action.Kill)
		}
	}
}

// exit ends a process and carries out the actions that follow.
func (sim *releaseSimulation) exit(p Process) {
	if i := slices.Index(sim.alive, p); i >= 0 {
		sim.alive = slices.Delete(sim.alive, i, i+1)
		sim.carryOut(sim.sidecar.ProcessExited(sim.now, p, ""))
	}
}

// advance lets time pass, probes the processes and ticks the sidecar.
func (sim *releaseSimulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += 500 * time.Millisecond
		for _, p := range slices.Clone(sim.alive) {
			sim.carryOut(sim.sidecar.ReadinessObserved(sim.now, p, !sim.neverReady[p.Release]))
		}
		sim.carryOut(sim.sidecar.Tick(sim.now))
		if len(sim.alive) == 0 {
			sim.pollsWithoutProcess++
		}
	}
}

// changeRelease gives the sidecar an order, which has to be accepted, and carries out the actions.
func (sim *releaseSimulation) changeRelease(order uint64, release string) {
	sim.t.Helper()
	actions, err := sim.sidecar.ChangeRelease(sim.now, order, release)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.carryOut(actions)
}

// requireState checks that one process serves, that it is ready and runs the release, that order is the last completed one, and
// its failure reason.
func (sim *releaseSimulation) requireState(what, release string, order uint64, reason string) {
	sim.t.Helper()
	got, ready := sim.sidecar.Serves()
	if got != release || !ready || sim.sidecar.CompletedOrder != order || !strings.Contains(sim.sidecar.FailureReason, reason) || reason == "" && sim.sidecar.FailureReason != "" || sim.sidecar.Phase != Idle || len(sim.alive) != 1 {
		sim.t.Errorf("%s: %s, ready %v, order %d completed (%s), %v, %d processes", what, got, ready, sim.sidecar.CompletedOrder, sim.sidecar.FailureReason, sim.sidecar.Phase, len(sim.alive))
	}
}

// During changes that succeed and changes that fail in one way each, a process serves all the time, and there are never more than
// two processes.
func TestChanges(t *testing.T) {
	sim := newReleaseSimulation(t)
	sim.changeRelease(1, "new")
	sim.advance(2 * time.Second)
	if len(sim.alive) != 2 || sim.sidecar.Phase != Trial {
		t.Fatalf("%v, %v", sim.sidecar.Phase, sim.alive)
	}
	sim.changeRelease(1, "new") // the order is repeated
	if _, err := sim.sidecar.ChangeRelease(sim.now, 2, "other"); err == nil {
		t.Error("two changes at once")
	}
	sim.advance(6 * time.Second)
	sim.requireState("changed", "new", 1, "")
	sim.changeRelease(1, "new") // repeated after its end
	sim.requireState("changed", "new", 1, "")

	sim.neverReady["bad"] = true
	sim.changeRelease(2, "bad")
	sim.advance(7 * time.Second)
	sim.requireState("never ready", "new", 2, "not ready in 6s")

	sim.changeRelease(3, "exits")
	sim.advance(3 * time.Second)
	sim.exit(sim.alive[1])
	sim.requireState("exits in its trial", "new", 3, "in its trial")

	sim.ignoresTERM = true
	sim.changeRelease(4, "old")
	sim.advance(11 * time.Second)
	sim.requireState("the old process ignores SIGTERM", "old", 4, "")
	sim.ignoresTERM = false

	sim.changeRelease(5, "new")
	sim.advance(2 * time.Second)
	sim.exit(sim.alive[0]) // the serving process exits, and the next one remains
	sim.advance(6 * time.Second)
	sim.requireState("the old process exited", "new", 5, "")
	if sim.maxProcesses != 2 || sim.pollsWithoutProcess != 0 {
		t.Errorf("%d processes at once; %d polls without any", sim.maxProcesses, sim.pollsWithoutProcess)
	}
}

// A change while no process serves starts the new release alone; if that fails, the confirmed release is started.
func TestChangeWithoutServingProcess(t *testing.T) {
	sim := newReleaseSimulation(t)
	sim.neverReady["bad"] = true
	sim.exit(sim.alive[0])
	sim.changeRelease(1, "new")
	sim.advance(12 * time.Second)
	sim.requireState("changed", "new", 1, "")
	sim.exit(sim.alive[0])
	sim.changeRelease(2, "bad")
	sim.advance(12 * time.Second)
	sim.requireState("the new release failed", "old", 2, "not ready in 6s")
}

// A process that crashes repeatedly is restarted with a backoff that doubles each time; readiness resets the backoff.
func TestCrashes(t *testing.T) {
	sim := newReleaseSimulation(t)
	var starts []time.Duration
	sim.neverReady["old"] = true
	sim.advance(time.Second)
	for range 8 {
		sim.exit(sim.alive[0])
		for at := sim.now; len(sim.alive) == 0; {
			sim.advance(500 * time.Millisecond)
			if len(sim.alive) > 0 {
				starts = append(starts, sim.now-at)
			}
		}
	}
	want := []time.Duration{1, 2, 4, 8, 16, 30, 30, 30}
	for i := range want {
		if starts[i] != want[i]*time.Second {
			t.Fatalf("%v", starts)
		}
	}
	sim.neverReady["old"] = false
	sim.advance(time.Second)
	sim.exit(sim.alive[0])
	sim.advance(time.Second)
	if len(sim.alive) != 1 {
		t.Error("readiness did not reset the backoff")
	}
	sim.changeRelease(1, "new") // an unconfirmed release whose process exits is not restarted
	sim.advance(10 * time.Second)
	sim.exit(sim.alive[0])
	sim.advance(2 * time.Second)
	if sim.requireState("fallback after an exit", "old", 1, ""); sim.sidecar.FallbackReason != rollout.ProcessEnded {
		t.Errorf("fell: %q", sim.sidecar.FallbackReason)
	}
}

// Restore adopts a process that an earlier agent started and could not persist before it was killed, both as the serving process
// and as the next one of a change.
func TestUnnotedStartIsFound(t *testing.T) {
	p := Process{PID: 7, StartTicks: 7, Release: "new"}
	alive := func(Process) bool { return true }
	for _, state := range []PersistedState{{Confirmed: "new", StartCount: 1}, {Confirmed: "old", StartCount: 2, Phase: Starting, Target: "new", Serving: &Process{PID: 3}}} {
		s, actions := Restore(state, testLimits, 0, alive, &p)
		if len(actions) > 0 || (s.Serving == nil || *s.Serving != p) && (s.Next == nil || *s.Next != p) {
			t.Errorf("%+v: %v, %v, %v", state, s.Serving, s.Next, actions)
		}
	}
}

// If an agent is killed while the old process terminates, it is unknown when SIGTERM was sent, or whether it was. The next agent
// sends SIGTERM again and gives the process the full time to answer its last requests.
func TestAnAgentKilledWhileTheOldProcessEnds(t *testing.T) {
	sim := newReleaseSimulation(t)
	sim.ignoresTERM = true
	sim.changeRelease(1, "new")
	for sim.sidecar.Phase != Ending {
		sim.advance(500 * time.Millisecond)
	}
	old, restored := *sim.sidecar.Serving, sim.now
	var actions []Action
	sim.sidecar, actions = Restore(cloneOf(t, sim.sidecar.PersistedState), testLimits, sim.now, func(p Process) bool { return slices.Contains(sim.alive, p) }, nil)
	if len(actions) != 1 || actions[0].Term == nil || *actions[0].Term != old {
		t.Fatalf("%+v", actions)
	}
	sim.carryOut(actions)
	for len(sim.alive) == 2 {
		sim.advance(500 * time.Millisecond)
	}
	if took := sim.now - restored; took != testLimits.TerminationTimeout {
		t.Errorf("killed %v after SIGTERM, want %v", took, testLimits.TerminationTimeout)
	}
	sim.ignoresTERM = false
	sim.advance(500 * time.Millisecond)
	sim.requireState("changed", "new", 1, "")
}

// cloneOf returns a persisted state as the next agent reads it from the disk.
func cloneOf(t *testing.T, state PersistedState) (clone PersistedState) {
	t.Helper()
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &clone); err != nil {
		t.Fatal(err)
	}
	return clone
}

// An isolated machine keeps a confirmed release, and replaces an unconfirmed one after the timeout.
func TestIsolation(t *testing.T) {
	sim := newReleaseSimulation(t)
	sim.changeRelease(1, "new")
	sim.advance(10 * time.Second)
	sim.sidecar.SetIsolated(sim.now, true)
	sim.advance(50 * time.Second)
	sim.requireState("before the timeout", "new", 1, "")
	sim.advance(25 * time.Second)
	sim.requireState("fallback after the timeout", "old", 1, "")
	if sim.sidecar.FallbackReason != rollout.MachineIsolated {
		t.Errorf("fell: %q", sim.sidecar.FallbackReason)
	}
	sim.sidecar.SetIsolated(sim.now, false)
	sim.changeRelease(2, "new")
	sim.advance(10 * time.Second)
	sim.sidecar.Confirm("new")
	sim.sidecar.SetIsolated(sim.now, true)
	sim.advance(2 * time.Minute)
	sim.requireState("confirmed", "new", 2, "")
}

// While the confirmed release is missing and no process runs, a confirmation of any release is accepted.
func TestMissingRelease(t *testing.T) {
	sim := newReleaseSimulation(t)
	sim.sidecar.ReleaseMissing("old")
	sim.sidecar.Confirm("x")
	sim.requireState("the release is missing, and its process runs", "old", 0, "")
	s := New("gone", sim.sidecar.limits)
	if actions := s.Tick(0); len(actions) != 1 || actions[0].Start != "gone" {
		t.Fatal(actions)
	}
	s.ReleaseMissing("another")
	s.Confirm("x")
	s.ReleaseMissing("gone")
	p := Process{PID: 7, StartTicks: 7, Release: "gone"}
	s.ProcessStarted(0, p) // the release was added again
	s.Confirm("x")
	if s.Confirmed != "gone" {
		t.Errorf("%q was confirmed while release gone runs", s.Confirmed)
	}
	s.ProcessExited(0, p, "")
	s.ReleaseMissing("gone")
	if s.Confirm("new"); s.Confirmed != "new" {
		t.Errorf("%q is confirmed", s.Confirmed)
	}
}

// The agent is killed at random moments and restored from the persisted state and the processes that are alive: there are never
// more than two processes, one of them serves, and each order completes once.
func TestKilledAgents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newReleaseSimulation(t)
		for order := uint64(1); order < 6; order++ {
			actions, err := sim.sidecar.ChangeRelease(sim.now, order, []string{"old", "new"}[order%2])
			if err != nil {
				r.Fatal(err)
			}
			sim.carryOut(actions)
			for range rapid.IntRange(0, 3).Draw(r, "kills") {
				sim.advance(time.Duration(rapid.IntRange(0, 16).Draw(r, "half seconds")) * 500 * time.Millisecond)
				persisted, err := json.Marshal(sim.sidecar.PersistedState)
				if err != nil {
					r.Fatal(err)
				}
				if rapid.IntRange(0, 3).Draw(r, "a process exits") == 0 && len(sim.alive) > 0 { // while no agent runs
					i := rapid.IntRange(0, len(sim.alive)-1).Draw(r, "which")
					sim.alive = slices.Delete(sim.alive, i, i+1)
				}
				var state PersistedState
				if err := json.Unmarshal(persisted, &state); err != nil {
					r.Fatal(err)
				}
				s, actions := Restore(state, testLimits, sim.now, func(p Process) bool { return slices.Contains(sim.alive, p) }, nil)
				sim.sidecar = s
				sim.carryOut(actions)
			}
			sim.advance(90 * time.Second)
			if sim.sidecar.CompletedOrder != order || len(sim.alive) != 1 || sim.sidecar.Phase != Idle {
				r.Fatalf("order %d: %d completed, %v, %v", order, sim.sidecar.CompletedOrder, sim.sidecar.Phase, sim.alive)
			}
			if release, _ := sim.sidecar.Serves(); sim.sidecar.FailureReason == "" && release != []string{"old", "new"}[order%2] && sim.sidecar.Confirmed == release {
				r.Logf("order %d succeeded, and its process exited afterwards", order)
			}
		}
		if sim.maxProcesses > 2 {
			r.Fatalf("%d processes at once", sim.maxProcesses)
		}
	})
}
