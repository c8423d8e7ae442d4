package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/agent"
	"petrelhook/internal/counts"
	"petrelhook/internal/fleet"
	"petrelhook/internal/machine"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rollout"
	"petrelhook/internal/rpc"
)

// played is an agent with one sidecar that changes at once, and counts as time goes by.
type played struct {
	mu     sync.Mutex
	fence  rollout.Fence
	r      rollout.Report
	starts uint64
	began  time.Time
}

var looks, orders atomic.Int64

func (p *played) look(_ context.Context, in *machine.Look) (*machine.Seen, error) {
	looks.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.fence.Hear(max(in.Token, p.fence.Token)); err != nil || in.Token != 0 && in.Token < p.fence.Token {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	c := counts.Class{Name: "look", Served: uint64(time.Since(p.began) / (20 * time.Millisecond))}
	c.Took[10] = c.Served
	text, _ := json.Marshal([]counts.Class{c})
	return &machine.Seen{Sidecars: []Seen{{Report: p.r, Process: agent.Process{PID: 1, Began: p.starts, Release: p.r.Release}, Counts: text}}}, nil
}

func (p *played) order(_ context.Context, in *machine.Order) (*machine.Taken, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := p.fence.Admit(in.Token, in.Order)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	if !known {
		orders.Add(1)
		p.r.Release, p.r.Done, p.began = in.Order.Release, in.Order.Number, time.Now()
		p.starts++
	}
	return &machine.Taken{Known: known}, nil
}

// A whole change of many agents, with the driver in this process: each is ordered once, and what the log and the agents are asked grows
// with the agents that change, not with the time. FIGURES=1 has 2,000 of them.
func TestManyAgents(t *testing.T) {
	sizes := []int{20}
	if os.Getenv("FIGURES") != "" {
		sizes = []int{20, 200, 2000}
	}
	for _, n := range sizes {
		addr, stop := coordinator.For(t)
		start := &rollout.Start{Plan: rollout.Plan{Application: "a", From: "old", To: "new", AtOnce: max(1, n/20), Unavailable: max(1, n/20), Patience: time.Minute,
			Judge:  rollout.Judgement{FalseStops: 0.01, MissedStops: 0.05, Effect: 0.2},
			Stages: []rollout.Stage{{Select: rollout.Select{Share: 0.05}, Control: max(1, n/20)}, {Select: rollout.Select{Share: 0.25}, Control: max(1, n/20)}, {Select: rollout.Select{Share: 1}}}}}
		var listeners []net.Listener
		for i := range n {
			p := &played{r: rollout.Report{Sidecar: fmt.Sprintf("n%04d", i), Release: "old", Ready: true}, began: time.Now()}
			mux := http.NewServeMux()
			rpc.Handle(mux, machine.PathLook, 1<<20, p.look)
			rpc.Handle(mux, machine.PathOrder, 1<<20, p.order)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listeners = append(listeners, ln)
			go http.Serve(ln, mux)
			start.Members = append(start.Members, rollout.Member{Name: p.r.Sidecar, Agent: ln.Addr().String()})
			start.Now = append(start.Now, p.r)
		}
		ctx, cancel := context.WithCancel(t.Context())
		d := &Driver{Addrs: []string{addr}, TTL: 3 * time.Second, Every: 200 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		o := &fleet.Operator{Addrs: []string{addr}}
		before, err := o.Status(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		looks.Store(0)
		orders.Store(0)
		began := time.Now()
		told, err := o.Ask(ctx, fleet.Ask{Rollout: &rollout.Command{Application: "a", Change: "c", Start: start}})
		if err != nil || told.Rollout.Err != "" {
			t.Fatal(err, told)
		}
		var app rollout.Application
		name := "a"
		for end := time.Now().Add(2 * time.Minute); app.Now == nil || !app.Now.State.Phase.Over(); {
			told, err := o.Ask(ctx, fleet.Ask{Changes: &name})
			if err != nil || json.Unmarshal(told.Changes, &app) != nil || time.Now().After(end) {
				t.Fatal(err, app.Now.State.Phase, app.Now.State.Waits())
			}
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		after, err := o.Status(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d agents: %v after %v; %d entries of the log (%.1f a second), %d events, %d looks at agents (%.0f a second), %d orders; state of %d bytes", n, app.Now.State.Phase,
			took.Round(100*time.Millisecond), after.Applied-before.Applied, float64(after.Applied-before.Applied)/took.Seconds(), app.Now.Events, looks.Load(), float64(looks.Load())/took.Seconds(),
			orders.Load(), len(must(json.Marshal(app.Now))))
		if want := int64(n + 2*max(1, n/20)); app.Now.State.Phase != rollout.Done || orders.Load() != want {
			t.Errorf("%v (%s), %d orders, want %d", app.Now.State.Phase, app.Now.State.Why, orders.Load(), want)
		}
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the driver does not end")
		}
		for _, ln := range listeners {
			ln.Close()
		}
		stop()
	}
}

func must(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}
