package agent

import (
	"testing"
	"time"
)

// A process that applies a version has a separate, shorter trial period than one of a new release, because a version has to be in
// force within seconds.
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
			actions := s.Tick(second)
			if len(actions) != 1 || actions[0].Check == nil {
				t.Fatalf("%s: %+v", name, actions)
			}
			actions = s.CheckCompleted(second, *actions[0].Check, CheckResult{})
			if len(actions) != 1 || actions[0].Start != "r" || actions[0].Version != 5 {
				t.Fatalf("%s: %+v", name, actions)
			}
		} else if _, err := s.ChangeRelease(second, 1, "r"); err != nil {
			t.Fatal(err)
		}
		s.ProcessStarted(2*second, next)
		s.ReadinessObserved(3*second, next, true)
		if actions := s.Tick(3*second + c.trial - 1); len(actions) != 0 {
			t.Errorf("%s: within its trial: %+v", name, actions)
		}
		if actions := s.Tick(3*second + c.trial); len(actions) != 1 || actions[0].Term == nil || actions[0].Term.PID != 1 {
			t.Errorf("%s: after its trial: %+v", name, actions)
		}
	}
}

// An agent may be killed after it has persisted a requested start and before it makes it. The restored sidecar then requests
// another start, and the order does not fail. The caller of Restore has made sure that the first start is not made any more, so
// there is only one.
func TestAStartThatWasNeverMade(t *testing.T) {
	serving := Process{PID: 1, Release: "old"}
	state := PersistedState{Confirmed: "old", Serving: &serving, Phase: Starting, Target: "new", Order: 3, StartCount: 2}
	s, actions := Restore(state, Limits{ReadyTimeout: time.Second, TrialPeriod: time.Second, TerminationTimeout: time.Second, InitialBackoff: time.Second, MaxBackoff: time.Second}, 0,
		func(Process) bool { return true }, nil)
	if len(actions) != 1 || actions[0].Start != "new" || s.Phase != Starting || s.Order != 3 || s.StartCount != 3 || s.FailureReason != "" {
		t.Errorf("%+v, %+v", actions, s.PersistedState)
	}
}

// The new process of a failed change is killed, and nothing is started until it has exited, neither for an order nor to replace
// the serving process. Otherwise there could be three processes, or two of which the agent knows only one.
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
	if actions := s.Tick(6 * second); len(actions) != 1 || actions[0].Kill == nil || actions[0].Kill.PID != 2 { // not ready in time
		t.Fatalf("%+v", actions)
	}
	if actions, err := s.ChangeRelease(7*second, 2, "new"); err == nil || len(actions) != 0 {
		t.Errorf("an order was accepted while a process is terminating: %+v, %v", actions, err)
	}
	if actions := append(s.ProcessExited(8*second, first, ""), s.Tick(20*second)...); len(actions) != 0 {
		t.Errorf("started while a process is terminating: %+v", actions)
	}
	if actions := append(s.ProcessExited(21*second, next, ""), s.Tick(30*second)...); len(actions) != 1 || actions[0].Start != "r" {
		t.Errorf("not restarted after all processes have exited: %+v", actions)
	}
}
