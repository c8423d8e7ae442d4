package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func members(n int) (all []Member, reports []Report) {
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		all = append(all, Member{Name: name, Zone: string(rune('a' + i%3))})
		reports = append(reports, Report{Sidecar: name, Release: "old", Ready: true})
	}
	return all, reports
}

func plan() Plan {
	return Plan{Application: "app", From: "old", To: "new", MaxConcurrent: 2, MaxUnavailable: 3, ProgressTimeout: time.Hour, Stages: []Stage{
		{Selector: Selector{Count: 1}, ControlCount: 1, MinBakeTime: time.Minute}, {Selector: Selector{Share: 0.25}, ControlCount: 2}, {Selector: Selector{Share: 1}}}}
}

// fleet simulates agents that execute the orders of a state.
type fleet struct {
	t        testing.TB
	state    *State
	releases map[string]string // the release of each sidecar
}

func newFleet(t testing.TB, p Plan, n int) *fleet {
	all, reports := members(n)
	s, err := New(p, all, reports)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, state: s, releases: map[string]string{}}
	for _, m := range all {
		f.releases[m.Name] = "old"
	}
	return f
}

// apply applies an event and executes all orders that follow; fails returns why an order fails, or "" if it succeeds.
func (f *fleet) apply(e Event, fails func(Order) string) {
	orders := f.state.Apply(e)
	for len(orders) > 0 {
		if len(f.state.OpenOrders()) > f.state.Plan.MaxConcurrent {
			f.t.Errorf("%d change at once", len(f.state.OpenOrders()))
		}
		order := orders[0]
		orders = orders[1:]
		report := Report{Sidecar: order.Sidecar, Ready: true, CompletedOrder: order.Number}
		if report.FailureReason = fails(order); report.FailureReason == "" {
			f.releases[order.Sidecar] = order.Release
		}
		report.Release = f.releases[order.Sidecar]
		orders = append(orders, f.state.Apply(Event{Report: &report})...)
	}
}

func noFailure(Order) string { return "" }

// running returns how many sidecars run a release.
func (f *fleet) running(release string) (n int) {
	for _, r := range f.releases {
		if r == release {
			n++
		}
	}
	return n
}

// A good change passes its stages, each after its minimum time has passed and the judge has found it to be no worse.
func TestAGoodChange(t *testing.T) {
	f := newFleet(t, plan(), 12)
	f.apply(Event{Elapsed: time.Second}, noFailure)
	if c, control := f.state.Groups(); f.running("new") != 1 || len(c) != 1 || len(control) != 1 || control[0] != "n09" { // the control is the last sidecar of the same zone
		t.Fatalf("%d changed; %v, %v", f.running("new"), c, control)
	}
	f.apply(Event{Verdict: &Verdict{Stage: 1, NoWorse: true}}, noFailure)
	if f.state.Stage != 1 {
		t.Error("the stage ended before its minimum time")
	}
	f.apply(Event{Elapsed: time.Minute}, noFailure)
	if f.state.Stage != 2 || f.running("new") != 4 {
		t.Fatalf("stage %d, %d changed", f.state.Stage, f.running("new"))
	}
	f.apply(Event{Verdict: &Verdict{Stage: 1, Worse: true}}, noFailure) // late
	f.apply(Event{Verdict: &Verdict{Stage: 2, NoWorse: true}}, noFailure)
	f.apply(Event{Verdict: &Verdict{Stage: 3, NoWorse: true}}, noFailure)
	if f.state.Phase != Done || f.running("new") != 12 {
		t.Errorf("%v, %d changed", f.state.Phase, f.running("new"))
	}
}

// Nothing is changed before the baseline period is over.
func TestBaselinePeriod(t *testing.T) {
	p := plan()
	p.BaselinePeriod = time.Minute
	f := newFleet(t, p, 12)
	f.apply(Event{Elapsed: 59 * time.Second}, noFailure)
	if f.running("new") != 0 || f.state.WaitingFor() != "baseline period: 59s of 1m0s" {
		t.Errorf("%d are changed; waits for %s", f.running("new"), f.state.WaitingFor())
	}
	if f.apply(Event{Elapsed: time.Second}, noFailure); f.running("new") != 1 {
		t.Errorf("%d are changed", f.running("new"))
	}
}

// noReports stands for agents that execute no orders: all reports are among the test's events.
var noReports func(Order) string

// fallback is the report that the first sidecar runs the old release again, without an order.
func fallback(why FallbackReason) Event {
	return Event{Report: &Report{Sidecar: "n00", Release: "old", Ready: true, CompletedOrder: 1, FallbackReason: why}}
}

// Each cause of a stop or a pause leads to the expected phase and reason, and to the expected number of changed sidecars.
func TestStopsAndPauses(t *testing.T) {
	failsTo := func(release string, n int) func(Order) string {
		return func(o Order) string {
			if n--; o.Release == release && n < 0 {
				return "not ready in time"
			}
			return ""
		}
	}
	for name, c := range map[string]struct {
		disableRollback bool
		events          []Event
		fails           func(Order) string
		phase           Phase
		new             int
		reason          string
		abandoned       int
	}{
		"worse":                       {false, []Event{{Elapsed: 1}, {Verdict: &Verdict{Stage: 1, Worse: true, Reason: "failed"}}}, noFailure, Stopped, 0, "failed", 0},
		"worse, rollback disabled":    {true, []Event{{Elapsed: 1}, {Verdict: &Verdict{Stage: 1, Worse: true, Reason: "failed"}}}, noFailure, Stopped, 1, "failed", 0},
		"never ready":                 {false, []Event{{Elapsed: 1}}, failsTo("new", 0), Stopped, 0, "not ready in time", 0},
		"a control fails":             {false, []Event{{Elapsed: 1}}, failsTo("old", 1), Paused, 1, "restarted as it was", 1},
		"no evidence":                 {false, []Event{{Elapsed: 1}, {Elapsed: time.Hour}, {Elapsed: time.Hour}}, noFailure, Paused, 1, "not enough evidence", 0},
		"falls back without an order": {false, []Event{{Elapsed: 1}, fallback(ProcessEnded)}, noFailure, Stopped, 1, "without an order: it ended", 0},
		"machine isolated":            {false, []Event{{Elapsed: 1}, fallback(MachineIsolated)}, noFailure, Paused, 1, "cut off", 0},
		"no progress":                 {false, []Event{{Elapsed: 1}, {Report: &Report{Sidecar: "n00", Release: "new"}}, {Elapsed: 59 * time.Minute}, {Elapsed: time.Minute}}, noFailure, Paused, 1, "nothing came of it in 1h0m0s: n00", 0},
		"accepted":                    {false, []Event{{Elapsed: 1}, {Elapsed: time.Hour}, {Resume: true, Accept: true}, {Elapsed: time.Minute}}, noFailure, Running, 4, "", 0},
		"fails while paused":          {false, []Event{{Pause: "lunch"}, {Report: &Report{Sidecar: "n00", Release: "old", Ready: true, CompletedOrder: 1, FailureReason: "not ready"}}}, noReports, Stopped, 0, "not ready", 0},
		"ends while paused":           {false, []Event{{Elapsed: 1}, {Pause: "lunch"}, fallback(ProcessEnded)}, noFailure, Stopped, 1, "it ended", 0},
		"fails after the stop":        {false, []Event{{Abort: "by hand"}, {Report: &Report{Sidecar: "n00", Release: "old", Ready: true, CompletedOrder: 1, FailureReason: "not ready"}}}, noReports, Stopped, 0, "by hand", 0},
		"baseline worse":              {false, []Event{{Elapsed: 1}, {Verdict: &Verdict{Stage: 1, BaselineWorse: true, Reason: "old"}}}, noFailure, Paused, 1, "old", 0},
		"aborted":                     {false, []Event{{Elapsed: 1}, {Abort: "by hand"}}, noFailure, Stopped, 0, "by hand", 0},
		"paused, then aborted":        {false, []Event{{Elapsed: 1}, {Pause: "lunch"}, {Abort: "by hand"}, {Resume: true}}, noFailure, Stopped, 0, "by hand", 0},
		"rollback fails":              {false, []Event{{Elapsed: 1}, {Verdict: &Verdict{Stage: 1, Worse: true, Reason: "w"}}, {Abort: "again"}, {Elapsed: 1}}, failsTo("old", 2), Stopped, 1, "w", 1},
	} {
		p := plan()
		p.DisableRollback = c.disableRollback
		f := newFleet(t, p, 12)
		if c.fails == nil { // the agents have not executed any order yet
			f.state.Plan.Stages[0].ControlCount = 0
			f.state.Apply(Event{})
		}
		for _, e := range c.events {
			if c.fails == nil {
				f.state.Apply(e)
				continue
			}
			f.apply(e, c.fails)
		}
		abandoned := 0
		for _, s := range f.state.Sidecars() {
			if s.AbandonedReason != "" {
				abandoned++
			}
		}
		if f.state.Phase != c.phase || f.running("new") != c.new || !strings.Contains(f.state.Reason, c.reason) || abandoned != c.abandoned || len(f.state.OpenOrders()) > 0 {
			t.Errorf("%s: %v (%s), %d new, %d abandoned, open %v", name, f.state.Phase, f.state.Reason, f.running("new"), abandoned, f.state.OpenOrders())
		}
	}
}

// A changed sidecar that is out of service is rolled back even if more sidecars are out of service than the plan allows.
func TestRollingBackSidecarsOutOfService(t *testing.T) {
	p := plan()
	p.MaxConcurrent, p.MaxUnavailable = 1, 1
	p.Stages = []Stage{{Selector: Selector{Count: 3}}, {Selector: Selector{Share: 1}}}
	f := newFleet(t, p, 6)
	f.apply(Event{Elapsed: 1}, noFailure)
	for _, name := range []string{"n00", "n01", "n02"} {
		f.apply(Event{Report: &Report{Sidecar: name, Release: "new", CompletedOrder: 9}}, noFailure)
	}
	f.apply(Event{Abort: "a"}, noFailure)
	if f.state.Phase != Stopped || f.running("old") != 6 {
		t.Errorf("%v: %d are rolled back", f.state.Phase, f.running("old"))
	}
}

// For any sequence of reports (late, duplicated, lost or wrong), verdicts, elapsed times and commands of operators, the plan's limits
// hold, no sidecar is ordered to the new release after a stop, an agent executes an order once, and a replayed or restored state returns
// the same orders.
func TestAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := plan()
		p.MaxConcurrent = rapid.IntRange(1, 3).Draw(t, "at once")
		p.MaxUnavailable = p.MaxConcurrent + rapid.IntRange(0, 2).Draw(t, "unavailable")
		all, reports := members(9)
		s, err := New(p, all, reports)
		if err != nil {
			t.Fatal(err)
		}
		replayed, _ := New(p, all, reports)
		ready := map[string]bool{}
		for _, m := range all {
			ready[m.Name] = true
		}
		fences, executions := map[string]*Fence{}, map[uint64]int{}
		var known []Order
		stopped := false
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			var e Event
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				e.Verdict = &Verdict{Stage: rapid.IntRange(1, 3).Draw(t, "stage"), Worse: rapid.IntRange(0, 9).Draw(t, "worse") == 0, NoWorse: rapid.Bool().Draw(t, "fine"), Reason: "w"}
			case 1:
				e.Elapsed = time.Minute
			case 2:
				e.Pause = "p"
			case 3:
				e.Resume = true
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "abort") == 0 {
					e.Abort = "a"
				} else {
					e.Elapsed = time.Second
				}
			default:
				r := Report{Sidecar: rapid.SampledFrom(all).Draw(t, "sidecar").Name, Release: rapid.SampledFrom([]string{"old", "new"}).Draw(t, "release"), Ready: rapid.IntRange(0, 4).Draw(t, "ready") > 0}
				if len(known) > 0 && rapid.IntRange(0, 3).Draw(t, "done") > 0 {
					o := rapid.SampledFrom(known).Draw(t, "order")
					r.Sidecar, r.CompletedOrder = o.Sidecar, o.Number
					if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
						r.FailureReason = "f"
					} else {
						r.Release = o.Release
					}
				}
				ready[r.Sidecar] = r.Ready
				e.Report = &r
			}
			orders := s.Apply(e)
			if replayedOrders := replayed.Apply(e); !slices.Equal(orders, replayedOrders) || !reflect.DeepEqual(s.Sidecars(), replayed.Sidecars()) || s.Phase != replayed.Phase {
				t.Fatalf("orders %v, but %v when replayed", orders, replayedOrders)
			}
			if rapid.IntRange(0, 3).Draw(t, "kept") == 0 { // restored from a snapshot by another coordinator
				text, err := json.Marshal(replayed)
				if replayed = new(State); err != nil || json.Unmarshal(text, replayed) != nil {
					t.Fatalf("%v: %s", err, text)
				}
			}
			open := s.OpenOrders()
			if len(open) > p.MaxConcurrent {
				t.Fatalf("%d change at once, of %d", len(open), p.MaxConcurrent)
			}
			if len(orders) > 0 {
				unavailable, repairs := map[string]bool{}, s.Phase == RollingBack // sidecars that are out of service already may always be rolled back
				for _, o := range open {
					unavailable[o.Sidecar] = true
				}
				for name, r := range ready {
					if !r {
						unavailable[name] = true
					}
				}
				for _, o := range orders {
					repairs = repairs && !ready[o.Sidecar]
				}
				if len(unavailable) > p.MaxUnavailable && !repairs {
					t.Fatalf("%d are out of service, of %d, and one more was ordered", len(unavailable), p.MaxUnavailable)
				}
			}
			for _, o := range orders {
				if stopped && o.Release == p.To {
					t.Fatalf("%v after the stop", o)
				}
				known = append(known, o)
			}
			stopped = stopped || s.Phase == RollingBack || s.Phase == Stopped
			for _, o := range append(orders, open...) { // the open orders are sent again, by this driver or the next
				if fences[o.Sidecar] == nil {
					fences[o.Sidecar] = &Fence{}
				}
				known, err := fences[o.Sidecar].Admit(1, o)
				if err != nil {
					t.Fatal(err)
				}
				if !known {
					executions[o.Number]++
				}
				if executions[o.Number] != 1 {
					t.Fatalf("order %d is executed %d times", o.Number, executions[o.Number])
				}
			}
		}
	})
}

// A fence refuses orders of an older driver and orders older than the last one, and a refused order changes nothing.
func TestFence(t *testing.T) {
	var f Fence
	admit := func(token, number uint64, want string, known bool) {
		t.Helper()
		got, err := f.Admit(token, Order{number, "n", "new"})
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) || got != known {
			t.Errorf("%d/%d: %v, %v", token, number, got, err)
		}
	}
	admit(5, 1, "", false)
	admit(5, 1, "", true)
	admit(4, 2, "one with 5 was heard", false)
	admit(6, 2, "", false)
	admit(5, 3, "one with 6 was heard", false)
	admit(6, 1, "order 2 came after it", false)

	var staleToken *StaleTokenError
	if _, err := f.Admit(5, Order{3, "n", "new"}); !errors.As(err, &staleToken) || *staleToken != (StaleTokenError{5, 6}) || err.Error() != "order 3 of the driver with token 5: one with 6 was heard" {
		t.Errorf("%v", err)
	}
	if err := f.ObserveToken(4); err == nil || err.Error() != "the driver with token 4: one with 6 was heard" {
		t.Errorf("%v", err)
	}
	var staleOrder *StaleOrderError
	if _, err := f.Admit(6, Order{1, "n", "new"}); !errors.As(err, &staleOrder) || *staleOrder != (StaleOrderError{1, 2}) || err.Error() != "order 1: order 2 came after it" {
		t.Errorf("%v", err)
	}
}

// New rejects plans that are invalid or do not fit the sidecars, and its error names the field.
func TestBadPlans(t *testing.T) {
	all, reports := members(6)
	for want, change := range map[string]func(*Plan){
		"from, to: write both":                   func(p *Plan) { p.To = "" },
		"to: old is what is there":               func(p *Plan) { p.To = "old" },
		"stages: write one":                      func(p *Plan) { p.Stages = nil },
		"max_concurrent: 0":                      func(p *Plan) { p.MaxConcurrent = 0 },
		"max_unavailable: 1":                     func(p *Plan) { p.MaxUnavailable = 1 },
		"progress_timeout: 0s":                   func(p *Plan) { p.ProgressTimeout = 0 },
		"stages[0]: write one of":                func(p *Plan) { p.Stages[0].Selector = Selector{Count: 1, Zone: "a"} },
		"stages[0]: share: 2":                    func(p *Plan) { p.Stages[0].Selector = Selector{Share: 2} },
		"stages[0]: count: 9, and 6":             func(p *Plan) { p.Stages[0].Selector = Selector{Count: 9} },
		"stages[0]: names: x is no":              func(p *Plan) { p.Stages[0].Selector = Selector{Names: []string{"x"}} },
		"stages[0]: it takes nobody":             func(p *Plan) { p.Stages[0].Selector = Selector{Zone: "z"} },
		"stages[2].control: 1, and 0":            func(p *Plan) { p.Stages[2].ControlCount = 1 },
		"stages[0].min_bake_time: 2h0m0s":        func(p *Plan) { p.Stages[0].MinBakeTime = 2 * time.Hour },
		"stages: 3 of 6 sidecars are in none":    func(p *Plan) { p.Stages = p.Stages[:2] },
		`n00 runs "old", and the change is from`: func(p *Plan) { p.From = "older" },
	} {
		p := plan()
		change(&p)
		if _, err := New(p, all, reports); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
