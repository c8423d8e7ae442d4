package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"time"

	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/deployment"
)

// A driver completes a change of many simulated agents with one order for each sidecar that changes or is restarted as a control. With
// the environment variable FIGURES set, the test also runs with 200 and 2,000 agents. Its log shows that the numbers of log entries and
// polls grow with the agents that change, not with the time.
func TestManyAgents(t *testing.T) {
	sizes := []int{20}
	if os.Getenv("FIGURES") != "" {
		sizes = []int{20, 200, 2000}
	}
	for _, n := range sizes {
		addr, stop := coordinator.StartForTest(t)
		start := &rollout.Start{Plan: rollout.Plan{Application: "a", From: "old", To: "new", MaxConcurrent: max(1, n/20), MaxUnavailable: max(1, n/20), ProgressTimeout: time.Minute,
			Judge:  rollout.JudgeConfig{FalseStopRate: 0.01, MissedStopRate: 0.05, MinEffect: 0.2},
			Stages: []rollout.Stage{{Selector: rollout.Selector{Share: 0.05}, ControlCount: max(1, n/20)}, {Selector: rollout.Selector{Share: 0.25}, ControlCount: max(1, n/20)}, {Selector: rollout.Selector{Share: 1}}}}}
		var agents []*deployment.SimulatedAgent
		for i := range n {
			agent, err := deployment.StartSimulatedAgent(fmt.Sprintf("n%04d", i), "old")
			if err != nil {
				t.Fatal(err)
			}
			agents = append(agents, agent)
			start.Members = append(start.Members, rollout.Member{Name: agent.Name, Agent: agent.Addr})
			start.Reports = append(start.Reports, agent.Report())
		}
		ctx, cancel := context.WithCancel(t.Context())
		d := &driver.Driver{Coordinators: []string{addr}, TTL: 3 * time.Second, Interval: 200 * time.Millisecond, Log: slog.New(slog.DiscardHandler)}
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		o := &fleet.Operator{Addrs: []string{addr}}
		before, err := o.Status(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		startedAt := time.Now()
		response, err := o.Call(ctx, fleet.Request{Rollout: &rollout.Command{Application: "a", Change: "c", Start: start}})
		if err != nil || response.Rollout.Error != "" {
			t.Fatal(err, response)
		}
		var app rollout.Application
		name := "a"
		for deadline := time.Now().Add(2 * time.Minute); app.Current == nil || !app.Current.State.Phase.Over(); {
			response, err := o.Call(ctx, fleet.Request{Changes: &name})
			if err != nil || json.Unmarshal(response.Changes, &app) != nil || time.Now().After(deadline) {
				t.Fatal(err, app.Current.State.Phase, app.Current.State.WaitingFor())
			}
			time.Sleep(100 * time.Millisecond)
		}
		elapsed := time.Since(startedAt)
		polls, orders := 0, 0
		for _, agent := range agents {
			polls, orders = polls+agent.Polls(), orders+agent.Orders()
		}
		after, err := o.Status(ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d agents: %v after %v; %d entries of the log (%.1f a second), %d events, %d polls of agents (%.0f a second), %d orders; state of %d bytes", n, app.Current.State.Phase,
			elapsed.Round(100*time.Millisecond), after.Applied-before.Applied, float64(after.Applied-before.Applied)/elapsed.Seconds(), app.Current.EventCount, polls, float64(polls)/elapsed.Seconds(),
			orders, len(mustMarshal(json.Marshal(app.Current))))
		if want := n + 2*max(1, n/20); app.Current.State.Phase != rollout.Done || orders != want {
			t.Errorf("%v (%s), %d orders, want %d", app.Current.State.Phase, app.Current.State.Reason, orders, want)
		}
		agents[0].SwitchRelease("old") // after the end of the change the driver still reports this, but issues no order
		for deadline := time.Now().Add(20 * time.Second); app.Current.State.Sidecars()[0].Release != "old"; time.Sleep(50 * time.Millisecond) {
			response, err := o.Call(ctx, fleet.Request{Changes: &name})
			if err != nil || json.Unmarshal(response.Changes, &app) != nil || time.Now().After(deadline) {
				t.Fatal("the fallback is not reported", err)
			}
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
		for _, agent := range agents {
			agent.Close()
		}
		stop()
	}
}

func mustMarshal(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}
