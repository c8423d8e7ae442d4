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

// simpleWorld carries out the actions of a sidecar on simulated processes, without versions.
type simpleWorld struct {
	t                     testing.TB
	sidecar               *Sidecar
	now                   time.Duration
	lastPID               int
	alive                 []Process
	ignoresTERM           bool            // SIGTERM has no effect
	neverReady            map[string]bool // releases whose processes never become ready
	maxProcesses          int             // at the same time
	momentsWithoutProcess int             // polls that found no process
}

func newSimpleWorld(t testing.TB) *simpleWorld {
	m := &simpleWorld{t: t, sidecar: New("old", testLimits), neverReady: map[string]bool{}}
	m.carryOut(m.sidecar.Tick(0))
	m.advance(time.Second)
	return m
}

func (m *simpleWorld) carryOut(actions []Action) {
	for _, action := range actions {
		switch {
		case action.Start != "":
			m.lastPID++
			p := Process{PID: m.lastPID, StartTicks: uint64(m.lastPID), Release: action.Start}
			m.alive = append(m.alive, p)
			m.maxProcesses = max(m.maxProcesses, len(m.alive))
			m.carryOut(m.sidecar.ProcessStarted(m.now, p))
		case action.Term != nil && !m.ignoresTERM:
			m.exit(*action.Term)
		case action.Kill != nil:
			m.exit(*action.Kill)
		}
	}
}

func (m *simpleWorld) exit(p Process) {
	if i := slices.Index(m.alive, p); i >= 0 {
		m.alive = slices.Delete(m.alive, i, i+1)
		m.carryOut(m.sidecar.ProcessExited(m.now, p, ""))
	}
}

// advance lets time pass and probes the processes.
func (m *simpleWorld) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += 500 * time.Millisecond
		for _, p := range slices.Clone(m.alive) {
			m.carryOut(m.sidecar.ReadinessObserved(m.now, p, !m.neverReady[p.Release]))
		}
		m.carryOut(m.sidecar.Tick(m.now))
		if len(m.alive) == 0 {
			m.momentsWithoutProcess++
		}
	}
}

func (m *simpleWorld) changeRelease(order uint64, release string) {
	m.t.Helper()
	todo, err := m.sidecar.ChangeRelease(m.now, order, release)
	if err != nil {
		m.t.Fatal(err)
	}
	m.carryOut(todo)
}

func (m *simpleWorld) requireState(what, release string, done uint64, failed string) {
	m.t.Helper()
	got, ready := m.sidecar.Serves()
	if got != release || !ready || m.sidecar.CompletedOrder != done || !strings.Contains(m.sidecar.FailureReason, failed) || failed == "" && m.sidecar.FailureReason != "" || m.sidecar.Phase != Idle || len(m.alive) != 1 {
		m.t.Errorf("%s: %s, ready %v, order %d over (%s), %v, %d processes", what, got, ready, m.sidecar.CompletedOrder, m.sidecar.FailureReason, m.sidecar.Phase, len(m.alive))
	}
}

// Changes that succeed, and others that fail in one way each: a process serves all the time, and there are never more than two.
func TestChanges(t *testing.T) {
	m := newSimpleWorld(t)
	m.changeRelease(1, "new")
	m.advance(2 * time.Second)
	if len(m.alive) != 2 || m.sidecar.Phase != Trial {
		t.Fatalf("%v, %v", m.sidecar.Phase, m.alive)
	}
	m.changeRelease(1, "new") // repeated
	if _, err := m.sidecar.ChangeRelease(m.now, 2, "other"); err == nil {
		t.Error("two changes at once")
	}
	m.advance(6 * time.Second)
	m.requireState("changed", "new", 1, "")
	m.changeRelease(1, "new") // and again, late
	m.requireState("changed", "new", 1, "")

	m.neverReady["bad"] = true
	m.changeRelease(2, "bad")
	m.advance(7 * time.Second)
	m.requireState("never ready", "new", 2, "not ready in 6s")

	m.changeRelease(3, "dies")
	m.advance(3 * time.Second)
	m.exit(m.alive[1])
	m.requireState("dies in its trial", "new", 3, "in its trial")

	m.ignoresTERM = true
	m.changeRelease(4, "old")
	m.advance(11 * time.Second)
	m.requireState("the one before hears no TERM", "old", 4, "")
	m.ignoresTERM = false

	m.changeRelease(5, "new")
	m.advance(2 * time.Second)
	m.exit(m.alive[0]) // the serving process ends: the next one is left
	m.advance(6 * time.Second)
	m.requireState("the one before died", "new", 5, "")
	if m.maxProcesses != 2 || m.momentsWithoutProcess != 0 {
		t.Errorf("%d processes at once; %d moments with none", m.maxProcesses, m.momentsWithoutProcess)
	}
}

// A change while no process serves: the new release is started alone, and if it fails the confirmed one.
func TestAChangeWhileNobodyServes(t *testing.T) {
	m := newSimpleWorld(t)
	m.neverReady["bad"] = true
	m.exit(m.alive[0])
	m.changeRelease(1, "new")
	m.advance(12 * time.Second)
	m.requireState("changed", "new", 1, "")
	m.exit(m.alive[0])
	m.changeRelease(2, "bad")
	m.advance(12 * time.Second)
	m.requireState("it did not work", "old", 2, "not ready in 6s")
}

// A process that crashes again and again is restarted with a backoff that doubles; readiness resets it.
func TestCrashes(t *testing.T) {
	m := newSimpleWorld(t)
	var starts []time.Duration
	m.neverReady["old"] = true
	m.advance(time.Second)
	for range 8 {
		m.exit(m.alive[0])
		for at := m.now; len(m.alive) == 0; {
			m.advance(500 * time.Millisecond)
			if len(m.alive) > 0 {
				starts = append(starts, m.now-at)
			}
		}
	}
	want := []time.Duration{1, 2, 4, 8, 16, 30, 30, 30}
	for i := range want {
		if starts[i] != want[i]*time.Second {
			t.Fatalf("%v", starts)
		}
	}
	m.neverReady["old"] = false
	m.advance(time.Second)
	m.exit(m.alive[0])
	m.advance(time.Second)
	if len(m.alive) != 1 {
		t.Error("the pause is as long as before")
	}
	m.changeRelease(1, "new") // an unconfirmed release that ends is not restarted
	m.advance(10 * time.Second)
	m.exit(m.alive[0])
	m.advance(2 * time.Second)
	if m.requireState("back", "old", 1, ""); m.sidecar.FallbackReason != rollout.ProcessEnded {
		t.Errorf("fell: %q", m.sidecar.FallbackReason)
	}
}

// A process is found that was started by an agent that was killed before it could note so, whatever it was started for.
func TestUnnotedStartIsFound(t *testing.T) {
	p := Process{PID: 7, StartTicks: 7, Release: "new"}
	alive := func(Process) bool { return true }
	for _, k := range []PersistedState{{Confirmed: "new", StartCount: 1}, {Confirmed: "old", StartCount: 2, Phase: Starting, Target: "new", Serving: &Process{PID: 3}}} {
		s, todo := Restore(k, testLimits, 0, alive, &p)
		if len(todo) > 0 || (s.Serving == nil || *s.Serving != p) && (s.Next == nil || *s.Next != p) {
			t.Errorf("%+v: %v, %v, %v", k, s.Serving, s.Next, todo)
		}
	}
}

// An agent that is killed while the old process ends does not know when SIGTERM was sent, or whether it was. The one after it sends
// SIGTERM again and leaves the process the same time as always to answer its last requests.
func TestAnAgentKilledWhileTheOldProcessEnds(t *testing.T) {
	m := newSimpleWorld(t)
	m.ignoresTERM = true
	m.changeRelease(1, "new")
	for m.sidecar.Phase != Ending {
		m.advance(500 * time.Millisecond)
	}
	old, restored := *m.sidecar.Serving, m.now
	var actions []Action
	m.sidecar, actions = Restore(cloneOf(t, m.sidecar.PersistedState), testLimits, m.now, func(p Process) bool { return slices.Contains(m.alive, p) }, nil)
	if len(actions) != 1 || actions[0].Term == nil || *actions[0].Term != old {
		t.Fatalf("%+v", actions)
	}
	m.carryOut(actions)
	for len(m.alive) == 2 {
		m.advance(500 * time.Millisecond)
	}
	if took := m.now - restored; took != testLimits.TerminationTimeout {
		t.Errorf("killed %v after SIGTERM, want %v", took, testLimits.TerminationTimeout)
	}
	m.ignoresTERM = false
	m.advance(500 * time.Millisecond)
	m.requireState("changed", "new", 1, "")
}

// cloneOf returns a persisted state as the next agent reads it.
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

// On an isolated machine a confirmed release stays, and an unconfirmed one is replaced after the time-out.
func TestIsolation(t *testing.T) {
	m := newSimpleWorld(t)
	m.changeRelease(1, "new")
	m.advance(10 * time.Second)
	m.sidecar.SetIsolated(m.now, true)
	m.advance(50 * time.Second)
	m.requireState("not yet", "new", 1, "")
	m.advance(25 * time.Second)
	m.requireState("back", "old", 1, "")
	if m.sidecar.FallbackReason != rollout.MachineIsolated {
		t.Errorf("fell: %q", m.sidecar.FallbackReason)
	}
	m.sidecar.SetIsolated(m.now, false)
	m.changeRelease(2, "new")
	m.advance(10 * time.Second)
	m.sidecar.Confirm("new")
	m.sidecar.SetIsolated(m.now, true)
	m.advance(2 * time.Minute)
	m.requireState("confirmed", "new", 2, "")
}

// If the confirmed release is missing, the next confirmation is accepted, until a process runs again.
func TestMissingRelease(t *testing.T) {
	m := newSimpleWorld(t)
	m.sidecar.ReleaseMissing("old")
	m.sidecar.Confirm("x")
	m.requireState("it runs", "old", 0, "")
	s := New("gone", m.sidecar.limits)
	if todo := s.Tick(0); len(todo) != 1 || todo[0].Start != "gone" {
		t.Fatal(todo)
	}
	s.ReleaseMissing("another")
	s.Confirm("x")
	s.ReleaseMissing("gone")
	p := Process{PID: 7, StartTicks: 7, Release: "gone"}
	s.ProcessStarted(0, p) // the release was added again
	s.Confirm("x")
	if s.Confirmed != "gone" {
		t.Errorf("%q is confirmed, and gone runs", s.Confirmed)
	}
	s.ProcessExited(0, p, "")
	s.ReleaseMissing("gone")
	if s.Confirm("new"); s.Confirmed != "new" {
		t.Errorf("%q is confirmed", s.Confirmed)
	}
}

// The agent is killed after any step and restored from the persisted state and the processes that live: there is never a third process,
// one serves, and an order completes once, with the same result.
func TestKilledAgents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newSimpleWorld(t)
		for order := uint64(1); order < 6; order++ {
			todo, err := m.sidecar.ChangeRelease(m.now, order, []string{"old", "new"}[order%2])
			if err != nil {
				r.Fatal(err)
			}
			m.carryOut(todo)
			for range rapid.IntRange(0, 3).Draw(r, "kills") {
				m.advance(time.Duration(rapid.IntRange(0, 16).Draw(r, "half seconds")) * 500 * time.Millisecond)
				kept, err := json.Marshal(m.sidecar.PersistedState)
				if err != nil {
					r.Fatal(err)
				}
				if rapid.IntRange(0, 3).Draw(r, "one dies") == 0 && len(m.alive) > 0 { // meanwhile
					i := rapid.IntRange(0, len(m.alive)-1).Draw(r, "which")
					m.alive = slices.Delete(m.alive, i, i+1)
				}
				var k PersistedState
				if err := json.Unmarshal(kept, &k); err != nil {
					r.Fatal(err)
				}
				s, todo := Restore(k, testLimits, m.now, func(p Process) bool { return slices.Contains(m.alive, p) }, nil)
				m.sidecar = s
				m.carryOut(todo)
			}
			m.advance(90 * time.Second)
			if m.sidecar.CompletedOrder != order || len(m.alive) != 1 || m.sidecar.Phase != Idle {
				r.Fatalf("order %d: %d over, %v, %v", order, m.sidecar.CompletedOrder, m.sidecar.Phase, m.alive)
			}
			if release, _ := m.sidecar.Serves(); m.sidecar.FailureReason == "" && release != []string{"old", "new"}[order%2] && m.sidecar.Confirmed == release {
				r.Logf("order %d was done, and its process died after it", order)
			}
		}
		if m.maxProcesses > 2 {
			r.Fatalf("%d processes at once", m.maxProcesses)
		}
	})
}
