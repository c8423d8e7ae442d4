package deployment

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/rig/link"
)

const twoStages = "max_concurrent: 2\nmax_unavailable: 3\nprogress_timeout: 3m\njudge: {min_effect: 0.2}\nstages:\n  - {count: 2, control: 1}\n  - {share: 1}\n"

// The coordinator that drives a change is killed again and again: the change completes, each sidecar is changed once, and calls of an older
// driver are refused. cmd/petrelhook-agent has the case of one that is paused and continues.
func TestDriversThatDie(t *testing.T) { simulate(t, testDriversThatDie) }

func testDriversThatDie(t *testing.T) {
	s := newLoadTest(t, 6, 200, "", nil)
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, twoStages)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		await.Eventually(t, "one drives", func() bool { return s.Driver() >= 0 })
		was := s.Application().Current.EventCount
		s.AwaitChange(30*time.Second, "it moves", func(c *rollout.Change) bool { return c.EventCount > was || c.State.Phase.Over() })
		i := s.Driver()
		if i < 0 {
			continue
		}
		s.Members[i].KillAndWait()
		died := time.Now()
		await.Eventually(t, "another drives", func() bool { return s.Driver() != i && s.Driver() >= 0 })
		events := s.Application().Current.EventCount
		s.AwaitChange(30*time.Second, "its word is taken", func(c *rollout.Change) bool { return c.EventCount > events || c.State.Phase.Over() })
		t.Logf("%v from a driver's death to the word of the next", time.Since(died).Round(10*time.Millisecond))
		s.Members[i].Start()
	}
	c := s.AwaitEnd(2 * time.Minute)
	if c.State.Phase != rollout.Done || CountRunning(c, good) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Reason)
	}
	starts := 0
	for _, a := range s.Agents {
		starts += strings.Count(a.Log.String(), "msg=started")
	}
	if starts != 6+6+1 { // at first, changed, and the control
		t.Errorf("%d starts", starts)
	}
	for _, token := range []uint64{1, 1 << 40} { // an older driver; a newer one that repeats an order
		order := machine.Order{Version: machine.Version, Application: Application, Token: token, Order: rollout.Order{Number: 1, Sidecar: "n00", Release: string(s.Initial)}}
		res, err := rpc.Client[machine.Order, machine.OrderResponse](s.Client(), s.Agents[0].Link.Addr, machine.PathOrder, 1<<20).CallUnary(t.Context(), connect.NewRequest(&order))
		if token == 1 && connect.CodeOf(err) != connect.CodeAborted || token > 1 && (err != nil || !res.Msg.Known) {
			t.Errorf("token %d: %v, %v", token, res, err)
		}
	}
	s.Check()
}

// kill kills one agent after the other, each after a random time up to within, and starts it again, until the function that it returns is
// called or the test ends. That function returns the number of kills.
func kill(t *testing.T, s *LoadTest, within time.Duration) (end func() int) {
	stop, ended := make(chan struct{}), make(chan struct{})
	kills := 0
	go func() {
		defer close(ended)
		for {
			for _, a := range s.Agents {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(within)): // at any moment: which one it is must not matter
				}
				a.KillAndWait()
				kills++
				a.StartProcess()
				if got := a.MaxProcesses(); got > 2 {
					t.Errorf("%d processes of one sidecar", got)
				}
			}
		}
	}()
	enough := sync.OnceFunc(func() { close(stop); <-ended })
	t.Cleanup(enough)
	return func() int { enough(); return kills }
}

// Agents are killed at random moments of a change and started again: no sidecar ever has a third process or none, and the change
// completes.
func TestAgentsThatDie(t *testing.T) { simulate(t, testAgentsThatDie) }

func testAgentsThatDie(t *testing.T) {
	s := newLoadTest(t, 6, 200, "", func(d *Deployment) { // a trial starts over with the agent
		d.Limits = "{ready_timeout: 15s, trial_period: 300ms, termination_timeout: 4s, poll_interval: 50ms, isolation_timeout: 20s, contact_timeout: 4s, initial_restart_backoff: 200ms}"
	})
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, twoStages)); err != nil {
		t.Fatal(err)
	}
	end := kill(t, s, 1200*time.Millisecond)
	c := s.AwaitChange(2*time.Minute, "over", func(c *rollout.Change) bool { return c.State.Phase.Over() || c.State.Phase == rollout.Paused })
	t.Logf("%d kills of agents; %v: %s", end(), c.State.Phase, c.State.Reason)
	if c.State.Phase != rollout.Done || CountRunning(c, good) != 6 {
		text, _ := json.Marshal(c.State)
		t.Errorf("%v: %s", c.State.Phase, text)
	}
	s.Check()
}

// A third of the agents is isolated in the middle of a stage, and the change is aborted meanwhile: the sidecars in reach are rolled back at
// once; those that are isolated fall back by themselves, and their status says so later.
func TestIsolatedAgents(t *testing.T) { simulate(t, testIsolatedAgents) }

func testIsolatedAgents(t *testing.T) {
	s := newLoadTest(t, 6, 200, "", func(d *Deployment) {
		d.PerAgent = 2
		d.Limits = "{ready_timeout: 15s, trial_period: 1s, termination_timeout: 4s, poll_interval: 50ms, isolation_timeout: 4s, contact_timeout: 2s, initial_restart_backoff: 200ms}"
	})
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, "max_concurrent: 3\nmax_unavailable: 6\nprogress_timeout: 3m\njudge: {min_effect: 0.02}\nstages:\n  - {names: [n00, n02, n04], control: 1}\n  - {share: 1}\n")); err != nil {
		t.Fatal(err)
	}
	s.AwaitChange(time.Minute, "three are changed", func(c *rollout.Change) bool { return CountRunning(c, good) == 3 })
	cut := s.Agents[0]
	cut.Link.Block(link.Forward, true)
	s.AwaitChange(time.Minute, "it is seen", func(c *rollout.Change) bool { return !c.State.Sidecars()[0].Ready })
	s.SendEvent(rollout.Event{Abort: "by hand"})
	s.AwaitChange(time.Minute, "the others are back", func(c *rollout.Change) bool { return CountRunning(c, s.Initial) >= 5 })
	if c := s.Application().Current; c.State.Phase != rollout.RollingBack || len(c.State.OpenOrders()) != 1 {
		t.Errorf("%v: %v", c.State.Phase, c.State.OpenOrders())
	}
	await.Eventually(t, "it goes back by itself", func() bool {
		k := cut.PersistedStates()
		return k[0].FallbackReason == rollout.MachineIsolated && k[0].Serving != nil && k[0].Serving.Release == string(s.Initial) && k[0].Phase == agent.Idle
	})
	cut.Link.Block(link.Forward, false)
	if c := s.AwaitEnd(time.Minute); c.State.Phase != rollout.Stopped || CountRunning(c, s.Initial) != 6 || c.State.Reason != "by hand" {
		text, _ := json.Marshal(c.State)
		t.Errorf("%s", text)
	}
	s.Check()
}

// A machine comes back after weeks, and the release of its sidecars is no longer there. It starts nothing until a driver says which
// release is confirmed.
func TestAMachineThatReturnsAfterWeeks(t *testing.T) { simulate(t, testAMachineThatReturnsAfterWeeks) }

func testAMachineThatReturnsAfterWeeks(t *testing.T) {
	s := newLoadTest(t, 4, 60, "", func(d *Deployment) { d.PerAgent = 2 })
	good := s.Renamed("another-name")
	if _, err := s.Begin(PlanText(s.Initial, good, "max_concurrent: 4\njudge: none\nstages: [{share: 1}]\n")); err != nil {
		t.Fatal(err)
	}
	s.AwaitEnd(time.Minute)
	a := s.Agents[0]
	a.Link.Block(link.Forward, true)
	a.KillAndWait()
	for i := range a.PersistedStates() {
		a.SignalSidecar(i, syscall.SIGKILL)
	}
	for _, name := range []string{"n00", "n01"} {
		text := `{"confirmed": "0123456789abcdef0123456789abcdef", "starts": 9}`
		if err := os.WriteFile(filepath.Join(a.Dir, "data", "sidecar-"+name+".json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a.StartProcess()
	await.Eventually(t, "it finds nothing to start", func() bool { return strings.Count(a.Log.String(), "no such release here") > 2 })
	a.Link.Block(link.Forward, false)
	await.Eventually(t, "it runs what is confirmed", func() bool {
		k := a.PersistedStates()
		return k[0].Confirmed == string(good) && k[1].Confirmed == string(good) && k[0].Serving != nil && k[1].Serving != nil && k[0].Serving.Release == string(good)
	})
	s.AwaitChange(time.Minute, "all are ready", func(c *rollout.Change) bool {
		for _, one := range c.State.Sidecars() {
			if !one.Ready || one.Release != string(good) {
				return false
			}
		}
		return true
	})
	s.End()
}
