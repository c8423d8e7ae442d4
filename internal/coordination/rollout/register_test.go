package rollout

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A sequence of commands of drivers and operators gets the expected responses, although the register is replaced after each command by one
// that is restored from its snapshot.
func TestRegister(t *testing.T) {
	all, reports := members(4)
	begin := func(change, from, to string) Command {
		p := plan()
		p.From, p.To, p.Stages = from, to, []Stage{{Selector: Selector{Count: 1}}, {Selector: Selector{Share: 1}}}
		return Command{Application: "app", Change: change, Start: &Start{Plan: p, Members: all, Reports: reports}}
	}
	driver := func(change string, token, after uint64, e ...Event) Command {
		return Command{Application: "app", Change: change, Token: token, KnownEvents: after, Events: e}
	}
	done := func(name string, order uint64) Event {
		return Event{Report: &Report{Sidecar: name, Release: "new", Ready: true, CompletedOrder: order}}
	}
	r := NewRegister()
	for i, c := range []struct {
		Command
		err    string
		events uint64
	}{
		{driver("one", 5, 0, Event{Elapsed: 1}), "no such change", 0},
		{begin("one", "old", "old"), "to: old is what is there", 0},
		{begin("one", "old", "new"), "", 0},
		{begin("one", "old", "new"), "", 0}, // repeated
		{begin("two", "old", "new"), "change one of app is running", 0},
		{driver("one", 5, 0, done("n00", 1), Event{Elapsed: 1}), "", 2},
		{driver("one", 5, 0, done("n00", 1), Event{Elapsed: 1}), "other events", 2}, // repeated
		{driver("one", 4, 2, Event{Elapsed: time.Hour}), "a newer driver", 2},
		{driver("one", 6, 2, Event{Elapsed: 1}), "", 3},
		{driver("one", 5, 3, Event{Elapsed: 1}), "a newer driver", 3},
		{driver("one", 0, 0, Event{Pause: "lunch"}), "", 4},
		{driver("one", 6, 3, Event{Elapsed: 1}), "other events", 4}, // the driver did not know of the pause
		{driver("one", 0, 0, Event{Abort: "enough"}), "", 5},
		{begin("two", "old", "new"), "taking back", 0}, // a new change while the last one is rolled back
		{driver("one", 6, 5, Event{Report: &Report{Sidecar: "n00", Release: "old", Ready: true, CompletedOrder: 2}}), "", 6},
		{begin("two", "old", "new"), "", 0},
		{driver("one", 6, 6, Event{Elapsed: 1}), "no such change", 0},
	} {
		if err := c.Check(); err != nil {
			t.Fatal(i, err)
		}
		if response := r.Apply(c.Command); (response.Error == "") != (c.err == "") || !strings.Contains(response.Error, c.err) || response.EventCount != c.events {
			t.Errorf("%d: %+v, want %q, %d", i, response, c.err, c.events)
		}
		kept := r.Snapshot()
		var err error
		if r, err = RestoreRegister(kept); err != nil || !bytes.Equal(kept, r.Snapshot()) {
			t.Fatalf("%d: %v: %s", i, err, kept)
		}
	}
	two := r.applications["app"].Current
	if orders := two.State.OpenOrders(); len(orders) != 1 || orders[0].Number <= 2 { // agents have seen orders 1 and 2
		t.Errorf("%v", orders)
	}
	if past := r.applications["app"].Past; len(past) != 1 || past[0].Phase != "stopped" || past[0].Reason != "enough" || len(past[0].Transitions) != 4 {
		t.Errorf("%+v", past)
	}
	if got := r.Applications(); fmt.Sprint(got) != "[app]" {
		t.Error(got)
	}
}

// Invalid commands are refused before they enter the log.
func TestCheck(t *testing.T) {
	good := Command{Application: "a", Change: "c", Token: 1, Events: []Event{{Elapsed: 1}}}
	for want, change := range map[string]func(*Command){
		"application":      func(c *Command) { c.Application = "" },
		"change":           func(c *Command) { c.Change = strings.Repeat("x", 200) },
		"a start, or":      func(c *Command) { c.Events = nil },
		"513 events":       func(c *Command) { c.Events = make([]Event, 513) },
		"without a token":  func(c *Command) { c.Events[0] = Event{Abort: "a"} },
		"all else is a dr": func(c *Command) { c.Token = 0 },
	} {
		c := good
		c.Events = []Event{{Elapsed: 1}}
		change(&c)
		if err := c.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// The tracker returns events for changed reports and completed orders only, and reports sidecars as not ready once their agent has missed
// maxMissedPolls polls.
func TestReachability(t *testing.T) {
	all, initialReports := members(3)
	for i := range all {
		all[i].Agent = "of " + all[i].Name
	}
	s, err := New(plan3(), all, initialReports)
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(Event{})
	c, tracker := &Change{State: s, Members: all}, ReachabilityTracker{}
	reports := map[string]Report{"n00": {Sidecar: "n00", Release: "old", Ready: true, CompletedOrder: 1, FailureReason: "f"}, "n02": initialReports[2], "stranger": {Sidecar: "stranger"}}
	for poll := 1; poll <= 4; poll++ {
		got, unreachable := tracker.Observe(c, reports, func(agent string) bool { return agent == "of n01" })
		if len(got) < 1 || got[0].Report.FailureReason != "f" || len(got) > 1 != (poll >= maxMissedPolls) || (poll == maxMissedPolls) != (len(unreachable) == 1) {
			t.Errorf("look %d: %+v, %v", poll, got, unreachable)
		}
		if poll >= maxMissedPolls && (got[1].Report.Release != "old" || got[1].Report.Ready || got[1].Report.Sidecar != "n01") {
			t.Errorf("%+v", got[1].Report)
		}
	}
	reports["n01"] = initialReports[1]
	if got, _ := tracker.Observe(c, reports, func(string) bool { return false }); len(got) != 1 {
		t.Errorf("%+v", got)
	}
}

func plan3() Plan {
	p := plan()
	p.Stages = []Stage{{Selector: Selector{Count: 1}}, {Selector: Selector{Share: 1}}}
	return p
}
