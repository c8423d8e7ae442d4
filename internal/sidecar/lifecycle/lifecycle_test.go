package lifecycle

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each row lists events and the status after them: the state, the answers to health checks and to operators, whether connections
// stay open, and whether new ones are accepted.
func TestStatusAfterEvents(t *testing.T) {
	eventsOf := func(e ...Event) []Event { return e }
	for _, c := range []struct {
		events []Event
		want   string
	}{
		{nil, "starting no no keeps accepts"},
		{eventsOf(ServersKnown), "ready yes yes keeps accepts"},
		{eventsOf(ServersKnown, Evacuate), "evacuating no yes closes accepts"},
		{eventsOf(ServersKnown, Evacuate, Evacuate), "evacuating no yes closes accepts"},
		{eventsOf(ServersKnown, Evacuate, EvacuationDone), "away no yes closes accepts"},
		{eventsOf(ServersKnown, Evacuate, EvacuationDone, Evacuate), "away no yes closes accepts"},
		{eventsOf(ServersKnown, EvacuationDone), "ready yes yes keeps accepts"},
		{eventsOf(ServersKnown, Evacuate, Rejoin), "ready yes yes keeps accepts"},
		{eventsOf(ServersKnown, Evacuate, EvacuationDone, Rejoin, Rejoin), "ready yes yes keeps accepts"},
		{eventsOf(ServersKnown, Evacuate, EvacuationDone, Rejoin, Evacuate), "evacuating no yes closes accepts"},
		{eventsOf(Evacuate), "evacuating no no closes accepts"}, // during a start
		{eventsOf(Evacuate, ServersKnown), "evacuating no yes closes accepts"},
		{eventsOf(Evacuate, Rejoin), "rejoining no no keeps accepts"},
		{eventsOf(Evacuate, Rejoin, ServersKnown), "ready yes yes keeps accepts"},
		{eventsOf(Rejoin), "starting no no keeps accepts"},
		{eventsOf(ServersKnown, SuccessorStarted), "handing over yes yes keeps accepts"},
		{eventsOf(ServersKnown, SuccessorStarted, SuccessorLost), "ready yes yes keeps accepts"},
		{eventsOf(ServersKnown, SuccessorStarted, Terminate), "stopping yes no closes leaves"},
		{eventsOf(ServersKnown, SuccessorStarted, Terminate, SuccessorLost), "stopping yes no closes leaves"},
		{eventsOf(ServersKnown, Terminate), "stopping no no closes accepts"},
		{eventsOf(ServersKnown, Terminate, SuccessorStarted), "stopping yes no closes leaves"}, // the signal came first
		{eventsOf(ServersKnown, Terminate, Rejoin), "stopping no no closes accepts"},
		{eventsOf(ServersKnown, Evacuate, Terminate, Rejoin), "stopping no no closes accepts"},
		{eventsOf(ServersKnown, SuccessorStarted, Evacuate), "evacuating no yes closes accepts"},
		{eventsOf(ServersKnown, SuccessorStarted, Evacuate, Terminate), "stopping no no closes leaves"},
	} {
		var s Status
		for _, e := range c.events {
			s = s.After(e)
		}
		word := func(holds bool, yes, no string) string {
			if holds {
				return yes
			}
			return no
		}
		got := fmt.Sprint(s.State(), " ", word(s.Healthy(), "yes", "no"), " ", word(s.Ready(), "yes", "no"), " ",
			word(s.KeepsConnections(), "keeps", "closes"), " ", word(s.Accepts(), "accepts", "leaves"))
		if got != c.want {
			t.Errorf("%v: %s, want %s", c.events, got, c.want)
		}
	}
}

// In any order of events, a repeated event changes nothing and Stopping is final. A process without a successor is healthy only
// if it keeps the connections of its clients open.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Status
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			e := Event(rapid.IntRange(int(ServersKnown), int(Terminate)).Draw(t, "event"))
			before := s
			s = s.After(e)
			if s != s.After(e) {
				t.Fatalf("%v twice: %v, then %v", e, s, s.After(e))
			}
			if before.State() == Stopping && s.State() != Stopping {
				t.Fatalf("event %v leads out of Stopping: %v", e, before)
			}
			if s.Healthy() && !s.KeepsConnections() && !s.HasSuccessor() {
				t.Fatalf("%v is healthy and closes its clients' connections", s)
			}
			if s.State() == Ready && !(s.Healthy() && s.Ready() && s.KeepsConnections() && s.Accepts()) {
				t.Fatalf("%v is ready, but not in all respects", s)
			}
		}
	})
}

// The channel of Watch is closed by each event that changes the status, and by no other event.
func TestWatchReportsChanges(t *testing.T) {
	m := New()
	var changes []bool
	for _, e := range []Event{ServersKnown, ServersKnown, EvacuationDone, Evacuate, Evacuate, Rejoin, Terminate, Rejoin} {
		_, watched := m.Watch()
		now, changed := m.Apply(e)
		closed := false
		select {
		case <-watched:
			closed = true
		default:
		}
		if closed != changed || now != m.Status() {
			t.Errorf("%v: channel closed %v, changed %v", e, closed, changed)
		}
		changes = append(changes, changed)
	}
	if !slices.Equal(changes, []bool{true, false, false, true, false, true, true, false}) {
		t.Error(changes)
	}
}

// The two shares add up to the total however many connections are in use, and the process in service keeps as many as it uses, up
// to the total.
func TestDivide(t *testing.T) {
	for inUse, want := range map[ConnectionShare][2]ConnectionShare{
		{0, 0}: {{50, 20}, {50, 20}}, {80, 10}: {{80, 20}, {20, 20}}, {100, 40}: {{100, 40}, {0, 0}}, {120, 41}: {{100, 40}, {0, 0}},
	} {
		if own, next := (ConnectionShare{100, 40}).Divide(inUse); own != want[0] || next != want[1] {
			t.Errorf("%v in use: %v and %v", inUse, own, next)
		}
	}
}
