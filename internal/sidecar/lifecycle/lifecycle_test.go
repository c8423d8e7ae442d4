package lifecycle

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Each row has events and the status after them: the state, the answers to health checks and to operators, whether connections stay open,
// and whether new ones are accepted.
func TestStatusAfterEvents(t *testing.T) {
	all := func(e ...Event) []Event { return e }
	for _, c := range []struct {
		events []Event
		want   string
	}{
		{nil, "starting no no keeps accepts"},
		{all(ServersKnown), "ready yes yes keeps accepts"},
		{all(ServersKnown, Evacuate), "evacuating no yes closes accepts"},
		{all(ServersKnown, Evacuate, Evacuate), "evacuating no yes closes accepts"},
		{all(ServersKnown, Evacuate, EvacuationDone), "away no yes closes accepts"},
		{all(ServersKnown, Evacuate, EvacuationDone, Evacuate), "away no yes closes accepts"},
		{all(ServersKnown, EvacuationDone), "ready yes yes keeps accepts"},
		{all(ServersKnown, Evacuate, Rejoin), "ready yes yes keeps accepts"},
		{all(ServersKnown, Evacuate, EvacuationDone, Rejoin, Rejoin), "ready yes yes keeps accepts"},
		{all(ServersKnown, Evacuate, EvacuationDone, Rejoin, Evacuate), "evacuating no yes closes accepts"},
		{all(Evacuate), "evacuating no no closes accepts"}, // during a start
		{all(Evacuate, ServersKnown), "evacuating no yes closes accepts"},
		{all(Evacuate, Rejoin), "rejoining no no keeps accepts"},
		{all(Evacuate, Rejoin, ServersKnown), "ready yes yes keeps accepts"},
		{all(Rejoin), "starting no no keeps accepts"},
		{all(ServersKnown, Succeeded), "handing over yes yes keeps accepts"},
		{all(ServersKnown, Succeeded, SuccessorLost), "ready yes yes keeps accepts"},
		{all(ServersKnown, Succeeded, Terminate), "stopping yes no closes leaves"},
		{all(ServersKnown, Succeeded, Terminate, SuccessorLost), "stopping yes no closes leaves"},
		{all(ServersKnown, Terminate), "stopping no no closes accepts"},
		{all(ServersKnown, Terminate, Succeeded), "stopping yes no closes leaves"}, // the signal came first
		{all(ServersKnown, Terminate, Rejoin), "stopping no no closes accepts"},
		{all(ServersKnown, Evacuate, Terminate, Rejoin), "stopping no no closes accepts"},
		{all(ServersKnown, Succeeded, Evacuate), "evacuating no yes closes accepts"},
		{all(ServersKnown, Succeeded, Evacuate, Terminate), "stopping no no closes leaves"},
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

// In any order of events: each may come twice, nothing leads out of Stopping, and no process is healthy that would close the connections of
// the clients that it invites.
func TestAnyOrder(t *testing.T) {
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
				t.Fatalf("%v after %v", e, before)
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

// The channel of Watch is closed by each event that changes the status, and by no other.
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
			t.Errorf("%v: reported %v, changed %v", e, closed, changed)
		}
		changes = append(changes, changed)
	}
	if !slices.Equal(changes, []bool{true, false, false, true, false, true, true, false}) {
		t.Error(changes)
	}
}

// However many connections are in use: the two shares are the total together, and the process in service keeps what it uses.
func TestDivide(t *testing.T) {
	for inUse, want := range map[ConnectionShare][2]ConnectionShare{
		{0, 0}: {{50, 20}, {50, 20}}, {80, 10}: {{80, 20}, {20, 20}}, {100, 40}: {{100, 40}, {0, 0}}, {120, 41}: {{100, 40}, {0, 0}},
	} {
		if own, next := (ConnectionShare{100, 40}).Divide(inUse); own != want[0] || next != want[1] {
			t.Errorf("%v in use: %v and %v", inUse, own, next)
		}
	}
}
