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

// machine carries out what a sidecar says, in a world of processes.
type machine struct {
	t     testing.TB
	s     *Sidecar
	now   time.Duration
	pid   int
	alive []Process
	deaf  bool            // TERM does nothing
	no    map[string]bool // releases that never say yes
	most  int             // processes at once
	unser int             // moments without a process that serves, after the first
}

func newMachine(t testing.TB) *machine {
	m := &machine{t: t, s: New("old", testLimits), no: map[string]bool{}}
	m.do(m.s.Tick(0))
	m.pass(time.Second)
	return m
}

func (m *machine) do(todo []Action) {
	for _, d := range todo {
		switch {
		case d.Start != "":
			m.pid++
			p := Process{PID: m.pid, StartTicks: uint64(m.pid), Release: d.Start}
			m.alive = append(m.alive, p)
			m.most = max(m.most, len(m.alive))
			m.do(m.s.ProcessStarted(m.now, p))
		case d.Term != nil && !m.deaf:
			m.die(*d.Term)
		case d.Kill != nil:
			m.die(*d.Kill)
		}
	}
}

func (m *machine) die(p Process) {
	if i := slices.Index(m.alive, p); i >= 0 {
		m.alive = slices.Delete(m.alive, i, i+1)
		m.do(m.s.ProcessExited(m.now, p, ""))
	}
}

// pass lets time pass, and has the doors answer.
func (m *machine) pass(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += 500 * time.Millisecond
		for _, p := range slices.Clone(m.alive) {
			m.do(m.s.ReadinessObserved(m.now, p, !m.no[p.Release]))
		}
		m.do(m.s.Tick(m.now))
		if len(m.alive) == 0 {
			m.unser++
		}
	}
}

func (m *machine) change(order uint64, release string) {
	m.t.Helper()
	todo, err := m.s.ChangeRelease(m.now, order, release)
	if err != nil {
		m.t.Fatal(err)
	}
	m.do(todo)
}

func (m *machine) check(what, release string, done uint64, failed string) {
	m.t.Helper()
	got, ready := m.s.Serves()
	if got != release || !ready || m.s.CompletedOrder != done || !strings.Contains(m.s.FailureReason, failed) || failed == "" && m.s.FailureReason != "" || m.s.Phase != Idle || len(m.alive) != 1 {
		m.t.Errorf("%s: %s, ready %v, order %d over (%s), %v, %d processes", what, got, ready, m.s.CompletedOrder, m.s.FailureReason, m.s.Phase, len(m.alive))
	}
}

// Changes that work, and those that fail in one way each: somebody serves all the time, and never more than two live.
func TestChanges(t *testing.T) {
	m := newMachine(t)
	m.change(1, "new")
	m.pass(2 * time.Second)
	if len(m.alive) != 2 || m.s.Phase != Trial {
		t.Fatalf("%v, %v", m.s.Phase, m.alive)
	}
	m.change(1, "new") // said again
	if _, err := m.s.ChangeRelease(m.now, 2, "other"); err == nil {
		t.Error("two changes at once")
	}
	m.pass(6 * time.Second)
	m.check("changed", "new", 1, "")
	m.change(1, "new") // and once more, late
	m.check("changed", "new", 1, "")

	m.no["bad"] = true
	m.change(2, "bad")
	m.pass(7 * time.Second)
	m.check("never ready", "new", 2, "not ready in 6s")

	m.change(3, "dies")
	m.pass(3 * time.Second)
	m.die(m.alive[1])
	m.check("dies in its trial", "new", 3, "in its trial")

	m.deaf = true
	m.change(4, "old")
	m.pass(11 * time.Second)
	m.check("the one before hears no TERM", "old", 4, "")
	m.deaf = false

	m.change(5, "new")
	m.pass(2 * time.Second)
	m.die(m.alive[0]) // the one in service dies: the next one is all there is
	m.pass(6 * time.Second)
	m.check("the one before died", "new", 5, "")
	if m.most != 2 || m.unser != 0 {
		t.Errorf("%d processes at once; %d moments with none", m.most, m.unser)
	}
}

// A change while nobody serves: the new release is started alone, and where it does not work the confirmed one is.
func TestAChangeWhileNobodyServes(t *testing.T) {
	m := newMachine(t)
	m.no["bad"] = true
	m.die(m.alive[0])
	m.change(1, "new")
	m.pass(12 * time.Second)
	m.check("changed", "new", 1, "")
	m.die(m.alive[0])
	m.change(2, "bad")
	m.pass(12 * time.Second)
	m.check("it did not work", "old", 2, "not ready in 6s")
}

// A process that crashes again and again is started after pauses that double; one that serves ends that.
func TestCrashes(t *testing.T) {
	m := newMachine(t)
	var starts []time.Duration
	m.no["old"] = true
	m.pass(time.Second)
	for range 8 {
		m.die(m.alive[0])
		for at := m.now; len(m.alive) == 0; {
			m.pass(500 * time.Millisecond)
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
	m.no["old"] = false
	m.pass(time.Second)
	m.die(m.alive[0])
	m.pass(time.Second)
	if len(m.alive) != 1 {
		t.Error("the pause is as long as before")
	}
	m.change(1, "new") // one that is not confirmed and ends is not started again
	m.pass(10 * time.Second)
	m.die(m.alive[0])
	m.pass(2 * time.Second)
	if m.check("back", "old", 1, ""); m.s.FallbackReason != rollout.ProcessEnded {
		t.Errorf("fell: %q", m.s.FallbackReason)
	}
}

// A process that was started by an agent that was killed before it could say so is found, whatever it was started for.
func TestFound(t *testing.T) {
	p := Process{PID: 7, StartTicks: 7, Release: "new"}
	alive := func(Process) bool { return true }
	for _, k := range []PersistedState{{Confirmed: "new", StartCount: 1}, {Confirmed: "old", StartCount: 2, Phase: Starting, Target: "new", Serving: &Process{PID: 3}}} {
		s, todo := Restore(k, testLimits, 0, alive, &p)
		if len(todo) > 0 || (s.Serving == nil || *s.Serving != p) && (s.Next == nil || *s.Next != p) {
			t.Errorf("%+v: %v, %v, %v", k, s.Serving, s.Next, todo)
		}
	}
}

// Cut off from the fleet: what is confirmed stays, what is not goes back after the stated time.
func TestCutOff(t *testing.T) {
	m := newMachine(t)
	m.change(1, "new")
	m.pass(10 * time.Second)
	m.s.SetIsolated(m.now, true)
	m.pass(50 * time.Second)
	m.check("not yet", "new", 1, "")
	m.pass(25 * time.Second)
	m.check("back", "old", 1, "")
	if m.s.FallbackReason != rollout.MachineIsolated {
		t.Errorf("fell: %q", m.s.FallbackReason)
	}
	m.s.SetIsolated(m.now, false)
	m.change(2, "new")
	m.pass(10 * time.Second)
	m.s.Confirm("new")
	m.s.SetIsolated(m.now, true)
	m.pass(2 * time.Minute)
	m.check("confirmed", "new", 2, "")
}

// What is confirmed is not to be had: the fleet's word counts, until something runs again.
func TestLost(t *testing.T) {
	m := newMachine(t)
	m.s.ReleaseMissing("old")
	m.s.Confirm("x")
	m.check("it runs", "old", 0, "")
	s := New("gone", m.s.limits)
	if todo := s.Tick(0); len(todo) != 1 || todo[0].Start != "gone" {
		t.Fatal(todo)
	}
	s.ReleaseMissing("another")
	s.Confirm("x")
	s.ReleaseMissing("gone")
	p := Process{PID: 7, StartTicks: 7, Release: "gone"}
	s.ProcessStarted(0, p) // somebody has put it there again
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

// The agent is killed after any step, and begins again with what it kept and what lives: never a third process, somebody serves, and
// an order is over once, with the same end.
func TestKilledAgents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newMachine(t)
		for order := uint64(1); order < 6; order++ {
			todo, err := m.s.ChangeRelease(m.now, order, []string{"old", "new"}[order%2])
			if err != nil {
				r.Fatal(err)
			}
			m.do(todo)
			for range rapid.IntRange(0, 3).Draw(r, "kills") {
				m.pass(time.Duration(rapid.IntRange(0, 16).Draw(r, "half seconds")) * 500 * time.Millisecond)
				kept, err := json.Marshal(m.s.PersistedState)
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
				m.s = s
				m.do(todo)
			}
			m.pass(90 * time.Second)
			if m.s.CompletedOrder != order || len(m.alive) != 1 || m.s.Phase != Idle {
				r.Fatalf("order %d: %d over, %v, %v", order, m.s.CompletedOrder, m.s.Phase, m.alive)
			}
			if release, _ := m.s.Serves(); m.s.FailureReason == "" && release != []string{"old", "new"}[order%2] && m.s.Confirmed == release {
				r.Logf("order %d was done, and its process died after it", order)
			}
		}
		if m.most > 2 {
			r.Fatalf("%d processes at once", m.most)
		}
	})
}
