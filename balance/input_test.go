package balance

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

// An impossible event is an error that names the cause, and does not change the balancer.
func TestImpossibleEventsAreErrors(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	id, _ := g.request(safeClass)
	before, r := *g.b, *g.b.requests.byID[id]
	for _, c := range []struct {
		ev      Event
		message string
	}{
		{Request{ID: 50, Class: 99}, "unknown class 99"},
		{Request{ID: 50, Class: -1}, "unknown class -1"},
		{Request{ID: id, Class: unsafeClass, Remaining: 100}, "in use"},
		{Outcome{Request: 77}, "request 77, attempt 0"},
		{Outcome{Request: id, Attempt: -1}, "attempt -1"},
		{Outcome{Request: id, Attempt: 1}, "attempt 1"},
	} {
		acts, err := g.b.Handle(g.now, c.ev)
		if err == nil || !strings.Contains(err.Error(), c.message) || len(acts) > 0 {
			t.Errorf("%+v: error %v, actions %v", c.ev, err, acts)
		}
		after := *g.b
		after.actions = before.actions
		if !reflect.DeepEqual(after, before) || !reflect.DeepEqual(*g.b.requests.byID[id], r) {
			t.Errorf("%+v changed the balancer", c.ev)
		}
	}
}

func TestEventsForUnknownIDsAreIgnored(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	for _, ev := range []Event{
		ClientGone{Request: 9}, Timer{Token: 9}, ProbeResult{Server: 99, Result: TimedOut}, ResponseStarted{Request: 9},
		Message{From: 7, Data: []byte("\x01wrong")}, Message{From: -1},
		ServerList{Kind: ListDelta, Servers: []Server{{ID: 99, State: Removed}}},
	} {
		if acts := g.handle(ev); len(acts) > 0 {
			t.Errorf("%+v: %+v", ev, acts)
		}
	}
	acts := g.handle(Request{ID: 1, Tenant: 50, Remaining: 100}) // an unknown tenant counts as none
	if !has(acts, Send) || g.b.traffic.tenants[len(g.b.traffic.tenants)-1].requests != 2 {
		t.Fatalf("a request of an unknown tenant: %+v", acts)
	}
}

// NaN, infinite and negative numbers in settings, lists, reports and times reach no weight and no timer.
func TestInvalidNumbersDoNotSpread(t *testing.T) {
	for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		cfg := probeConfig()
		cfg.BatchInterval, cfg.SlowStartFraction, cfg.SlowStartTime, cfg.OverloadMultiple, cfg.OverloadTime = invalid, invalid, invalid, invalid, invalid
		cfg.MaxPollInterval, cfg.Penalties.CrossZone, cfg.Penalties.Probe, cfg.Goal.WorstClass = invalid, invalid, invalid, invalid
		cfg.Tenants = []Tenant{{Share: invalid, Allowance: invalid}}
		for i := range cfg.Classes {
			c := &cfg.Classes[i]
			c.LatencyTarget, c.Deadline, c.Value, c.LateValue, c.Window = invalid, invalid, invalid, invalid, invalid
		}
		servers := fleet(4)
		for i := range servers {
			servers[i].Capacity, servers[i].StartedAt = invalid, invalid
		}
		g := newHarness(t, cfg, servers...)
		for i := range 40 {
			id, acts := g.request(i % len(cfg.Classes))
			if i%2 == 0 {
				acts = g.handle(Request{ID: RequestID(1000 + i), Class: i % len(cfg.Classes), Remaining: invalid})
			}
			acts = append(acts, g.answerProbes(acts, float32(invalid), nil)...)
			if r := g.b.requests.byID[id]; r != nil && r.live > 0 {
				acts = append(acts, g.answer(id, 0, OK, invalid)...)
			}
			for _, a := range acts {
				if !(a.After >= 0) || math.IsInf(a.After, 0) {
					t.Fatalf("%v: action %+v", invalid, a)
				}
			}
			g.now += 10
		}
		if _, err := g.b.Handle(invalid, Timer{}); err != nil || g.b.now != g.now-10 {
			t.Fatalf("%v as the time: now %v, error %v", invalid, g.b.now, err)
		}
		for _, s := range g.b.servers.all {
			if w := g.b.weight(s); !(w > 0) || math.IsInf(w, 0) || math.IsNaN(s.currentWeight) {
				t.Errorf("%v: server %d has weight %v, current weight %v", invalid, s.ID, w, s.currentWeight)
			}
		}
	}
}

// With an empty list, a single server, or all servers draining, each request still gets a final answer in time.
func TestEveryRequestIsAnsweredWhateverTheList(t *testing.T) {
	draining := fleet(3)
	for i := range draining {
		draining[i].State = Draining
	}
	for name, servers := range map[string][]Server{"empty": nil, "one": fleet(1), "all draining": draining} {
		g := newHarness(t, baseConfig(), servers...)
		for class := range g.b.cfg.Classes {
			id, acts := g.request(class)
			r := g.b.requests.byID[id]
			for r != nil && !r.done && g.now <= r.deadline {
				acts = append(acts, g.handle(Timer{Token: uint64(id)})...)
				g.now += 5
			}
			if !has(acts, Reject) && !has(acts, Fail) {
				t.Errorf("%s, class %d: no answer in time", name, class)
			}
			if name != "one" && (!has(acts, Reject) || g.now > 0 && r != nil) {
				t.Errorf("%s, class %d: not rejected at once", name, class)
			}
		}
	}
}
