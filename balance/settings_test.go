package balance

import (
	"fmt"
	"math/rand"
	"testing"
)

// Settings other than the base configuration; workload checks the first three rules of doc.go in each run.
func TestOtherSettings(t *testing.T) {
	for name, change := range map[string]func(*Config, *int){
		"one server":  func(_ *Config, serverCount *int) { *serverCount = 1 },
		"hundreds":    func(_ *Config, serverCount *int) { *serverCount = 300 },
		"one attempt": func(c *Config, _ *int) { c.MaxAttempts = 1 },
		"no cancels":  func(c *Config, _ *int) { c.Cancel, c.Parallel = false, false },
		"streams":     func(c *Config, _ *int) { c.Classes[safeClass].Stream = true },
		"tenants":     func(c *Config, _ *int) { c.Tenants = []Tenant{{Share: 0.9}, {Share: 0.1}, {}} },
		"no slow start": func(c *Config, _ *int) {
			c.SlowStartTime, c.OverloadTime, c.OverloadMultiple, c.SlowStartFraction = 0, 0, 0, 0
		},
		"probes, free": func(c *Config, _ *int) {
			c.Probes, c.Reports, c.Fields = true, ReportProbe, []ReportField{FieldInFlight}
		},
		"probes, dear": func(c *Config, _ *int) { c.Probes, c.Reports, c.Penalties.Probe = true, ReportProbe, 10 },
		"probes, no field": func(c *Config, _ *int) {
			c.Probes, c.Reports, c.Fields = true, ReportProbe, []ReportField{FieldUnknown}
		},
		"piggyback":       func(c *Config, _ *int) { c.Reports, c.Fields = ReportPiggyback, []ReportField{FieldUtil, FieldRate} },
		"key affinity":    func(c *Config, _ *int) { c.KeyAffinity, c.Penalties.Waste = true, 0.3 },
		"targets of zero": func(c *Config, _ *int) { c.Classes[safeClass].LatencyTarget, c.Classes[unsafeClass].Value = 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg, serverCount := baseConfig(), 6
			change(&cfg, &serverCount)
			w := newWorkload(t, rand.New(rand.NewSource(7)), cfg)
			list := fleet(serverCount)
			for i := range list {
				w.servers[list[i].ID], w.ready[list[i].ID] = &list[i], true
			}
			w.handle(ServerList{Kind: ListFull, Servers: list})
			sent := 0
			for id := RequestID(1); id <= 400; id++ {
				w.now += 9
				w.fireTimers()
				class := int(id) % len(cfg.Classes)
				w.open[id] = &openRequest{class: class, deadline: w.now + 300}
				w.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Remaining: 300, Key: uint64(id % 9), ClientRetry: id%2 == 0})
				for len(w.probes) > 0 {
					s := w.probes[0]
					w.probes = w.probes[1:]
					w.handle(ProbeResult{Server: s, LoadReport: []float32{1}})
				}
				sent += len(w.open[id].attempts)
				if id > 2 {
					w.answerOpenAttempt(id - 2)
				}
			}
			for w.now += 1000; w.anyUnanswered() && len(w.timers) > 0; w.now += 1000 {
				w.fireTimers()
			}
			if w.anyUnanswered() || sent < 300 {
				t.Fatalf("unanswered requests: %v; %d of 400 sent", w.anyUnanswered(), sent)
			}
		})
	}
}

// answerOpenAttempt answers the attempts of a request that are in flight.
func (w *workload) answerOpenAttempt(id RequestID) {
	o := w.open[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.live {
			a.live, o.answered = false, true
			w.handle(Outcome{Request: id, Attempt: i, Server: a.server.ID, Latency: w.now - a.sentAt, Finished: true})
		}
	}
}

// The balancer keeps no requests that have ended, no removed servers and no probes that are over.
func TestMemoryDoesNotGrow(t *testing.T) {
	g := newHarness(t, probeConfig(), fleet(5)...)
	for i := range 20000 {
		g.actions = g.actions[:0]
		g.now += 5
		id, acts := g.request(safeClass)
		acts = append(acts, g.answerProbes(acts, 0, nil)...)
		if _, ok := sentTo(acts); ok {
			g.answer(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling deployment, in which all servers get new IDs
			list := fleet(5)
			for k := range list {
				list[k].ID = ServerID(i + k + 1)
			}
			g.handle(ServerList{Kind: ListFull, Servers: list})
		}
	}
	b := g.b
	if len(b.requests.byID) > 1 || len(b.servers.all) != 5 || len(b.servers.byID) != 5 || len(b.requests.awaitingProbes) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, %d servers, %d by ID, %d waiting, room for %d actions",
			len(b.requests.byID), len(b.servers.all), len(b.servers.byID), len(b.requests.awaitingProbes), cap(b.actions))
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} { // to be compared with each other: with a subset the time hardly grows
		b.Run(fmt.Sprintf("%d-servers", n), func(b *testing.B) {
			cfg := baseConfig()
			cfg.SidecarCount = 10 * n
			bal := New(cfg)
			bal.Start(0)
			if _, err := bal.Handle(0, ServerList{Kind: ListFull, Servers: fleet(n)}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := 0.0
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				acts, err := bal.Handle(now, Request{ID: id, Remaining: 1500})
				if err != nil || len(acts) == 0 {
					b.Fatal(err, acts)
				}
				if acts[0].Kind != Send {
					continue
				}
				if _, err := bal.Handle(now+4, Outcome{Request: id, Server: acts[0].Server, Latency: 4, Finished: true}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
