package agent

import (
	"testing"
	"time"
)

// The process of a version has a trial period of its own, because it has to be in force within seconds; that of a release is longer.
func TestTrials(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		version bool
		trial   time.Duration
	}{"a version": {true, 2 * second}, "a release": {false, 50 * second}} {
		s := New("r", Limits{ReadyTimeout: 5 * second, TrialPeriod: 50 * second, VersionTrialPeriod: 2 * second, TerminationTimeout: 4 * second, InitialBackoff: second, MaxBackoff: second})
		first, next := Process{PID: 1, Release: "r", StartNumber: 1}, Process{PID: 2, Release: "r", StartNumber: 2}
		s.Tick(0)
		s.ProcessStarted(0, first)
		s.ReadinessObserved(0, first, true)
		s.DigestReported(first, "d")
		if c.version {
			s.SetNewestVersion(5)
			todo := s.Tick(second)
			if len(todo) != 1 || todo[0].Check == nil {
				t.Fatalf("%s: %+v", name, todo)
			}
			todo = s.CheckCompleted(second, *todo[0].Check, CheckResult{})
			if len(todo) != 1 || todo[0].Start != "r" || todo[0].Version != 5 {
				t.Fatalf("%s: %+v", name, todo)
			}
		} else if _, err := s.ChangeRelease(second, 1, "r"); err != nil {
			t.Fatal(err)
		}
		s.ProcessStarted(2*second, next)
		s.ReadinessObserved(3*second, next, true)
		if todo := s.Tick(3*second + c.trial - 1); len(todo) != 0 {
			t.Errorf("%s: within its trial: %+v", name, todo)
		}
		if todo := s.Tick(3*second + c.trial); len(todo) != 1 || todo[0].Term == nil || todo[0].Term.PID != 1 {
			t.Errorf("%s: after its trial: %+v", name, todo)
		}
	}
}

// An agent that was killed after it had noted a start and before it made it requests another start when it is restored: the order does
// not fail. The noted start was given up by then, so that it is not made twice.
func TestAStartThatWasNeverMade(t *testing.T) {
	now := Process{PID: 1, Release: "old"}
	k := PersistedState{Confirmed: "old", Serving: &now, Phase: Starting, Target: "new", Order: 3, StartCount: 2}
	s, todo := Restore(k, Limits{ReadyTimeout: time.Second, TrialPeriod: time.Second, TerminationTimeout: time.Second, InitialBackoff: time.Second, MaxBackoff: time.Second}, 0,
		func(Process) bool { return true }, nil)
	if len(todo) != 1 || todo[0].Start != "new" || s.Phase != Starting || s.Order != 3 || s.StartCount != 3 || s.FailureReason != "" {
		t.Errorf("%+v, %+v", todo, s.PersistedState)
	}
}

// The process of a change that failed is killed, and until it is gone nothing is started: neither for an order nor in place of the serving
// process. Otherwise there would be three, or two of which the agent knows one.
func TestNothingStartsBesideATerminatingProcess(t *testing.T) {
	const second = time.Second
	s := New("r", Limits{ReadyTimeout: 5 * second, TrialPeriod: 5 * second, TerminationTimeout: 4 * second, InitialBackoff: second, MaxBackoff: second})
	first, next := Process{PID: 1, Release: "r"}, Process{PID: 2, Release: "new"}
	s.Tick(0)
	s.ProcessStarted(0, first)
	s.ReadinessObserved(0, first, true)
	if _, err := s.ChangeRelease(0, 1, "new"); err != nil {
		t.Fatal(err)
	}
	s.ProcessStarted(0, next)
	if todo := s.Tick(6 * second); len(todo) != 1 || todo[0].Kill == nil || todo[0].Kill.PID != 2 { // not ready in time
		t.Fatalf("%+v", todo)
	}
	if todo, err := s.ChangeRelease(7*second, 2, "new"); err == nil || len(todo) != 0 {
		t.Errorf("an order while the one before it is not gone: %+v, %v", todo, err)
	}
	if todo := append(s.ProcessExited(8*second, first, ""), s.Tick(20*second)...); len(todo) != 0 {
		t.Errorf("started while one is not gone: %+v", todo)
	}
	if todo := append(s.ProcessExited(21*second, next, ""), s.Tick(30*second)...); len(todo) != 1 || todo[0].Start != "r" {
		t.Errorf("nothing serves, and all are gone: %+v", todo)
	}
}
