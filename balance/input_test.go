package balance

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

// An event that cannot be is an error that says what was wrong, and leaves the balancer as it was.
func TestImpossibleEventsAreErrors(t *testing.T) {
	g := newHarness(t, baseConfig(), fleet(3)...)
	id, _ := g.request(safeClass)
	before, r := *g.b, *g.b.requests.byID[id]
	for _, c := range []struct {
		ev   Event
		says string
	}{
		{Request{ID: 50, Class: 99}, "unknown class 99"},
		{Request{ID: 50, Class: -1}, "unknown class -1"},
		{Request{ID: id, Class: unsafeClass, Remaining: 100}, "in use"},
		{Outcome{Request: 77}, "request 77, attempt 0"},
		{Outcome{Request: id, Attempt: -1}, "attempt -1"},
		{Outcome{Request: id, Attempt: 1}, "attempt 1"},
	} {
		acts, err := g.b.Handle(g.now, c.ev)
		if err == nil || !strings.Contains(err.Error(), c.says) || len(acts) > 0 {
			t.Errorf("%+v: error %v, actions %v", c.ev, err, acts)
		}
		after := *g.b
		after.actions = before.actions
		if !reflect.DeepEqual(after, before) || !reflect.DeepEqual(*g.b.requests.byID[id], r) {
			t.Errorf("%+v changed the balancer", c.ev)
		}
	}
}

func TestEventsForTheUnknownAreIgnored(t *testing.T) {
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

// Numbers that are not finite or below zero, in settings, lists, reports and times, reach no weight and no timer.
func TestOddNumbersDoNotSpread(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		cfg := probeConfig()
		cfg.BatchInterval, cfg.SlowStartFraction, cfg.SlowStartTime, cfg.OverloadMultiple, cfg.OverloadTime = odd, odd, odd, odd, odd
		cfg.MaxPollInterval, cfg.Penalties.CrossZone, cfg.Penalties.Probe, cfg.Goal.WorstClass = odd, odd, odd, odd
		cfg.Tenants = []Tenant{{Share: odd, Allowance: odd}}
		for i := range cfg.Classes {
			c := &cfg.Classes[i]
			c.LatencyTarget, c.Deadline, c.Value, c.LateValue, c.Window = odd, odd, odd, odd, odd
		}
		servers := fleet(4)
		for i := range servers {
			servers[i].Capacity, servers[i].StartedAt = odd, odd
		}
		g := newHarness(t, cfg, servers...)
		for i := range 40 {
			id, acts := g.request(i % len(cfg.Classes))
			if i%2 == 0 {
				acts = g.handle(Request{ID: RequestID(1000 + i), Class: i % len(cfg.Classes), Remaining: odd})
			}
			acts = append(acts, g.probes(acts, float32(odd), nil)...)
			if r := g.b.requests.byID[id]; r != nil && r.live > 0 {
				acts = append(acts, g.answer(id, 0, OK, odd)...)
			}
			for _, a := range acts {
				if !(a.After >= 0) || math.IsInf(a.After, 0) {
					t.Fatalf("%v: action %+v", odd, a)
				}
			}
			g.now += 10
		}
		if _, err := g.b.Handle(odd, Timer{}); err != nil || g.b.now != g.now-10 {
			t.Fatalf("%v as the time: now %v, error %v", odd, g.b.now, err)
		}
		for _, s := range g.b.servers.all {
			if w := g.b.weight(s); !(w > 0) || math.IsInf(w, 0) || math.IsNaN(s.currentWeight) {
				t.Errorf("%v: server %d has weight %v, current weight %v", odd, s.ID, w, s.currentWeight)
			}
		}
	}
}

// An empty list, one server, all draining: each request still gets one final answer in time.
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
				t.Errorf("%s, class %d: not refused at once", name, class)
			}
		}
	}
}
