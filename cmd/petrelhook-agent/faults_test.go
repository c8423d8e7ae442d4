package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/rig/deployment"
)

// planWithoutJudge is a plan with two stages and no judge. Tests in virtual time cover the judge's verdicts.
const planWithoutJudge = "max_concurrent: 2\nmax_unavailable: 3\nprogress_timeout: 10m\njudge: none\nstages:\n  - {count: 2}\n  - {share: 1}\n"

const changeTimeout = 2 * time.Minute

// beginChange begins a change to a release that behaves like the initial one, and returns that release.
func beginChange(t *testing.T, s *deployment.LoadTest, plan string) (release string) {
	t.Helper()
	good := s.Renamed("another-name")
	if _, err := s.Begin(deployment.PlanText(s.Initial, good, plan)); err != nil {
		t.Fatal(err)
	}
	return string(good)
}

// awaitDone waits for the end of a change, and fails the test unless the change is done and all sidecars run the given release.
func awaitDone(t *testing.T, s *deployment.LoadTest, release string) {
	t.Helper()
	c := s.AwaitEnd(changeTimeout)
	for _, sidecar := range c.State.Sidecars() {
		if c.State.Phase != rollout.Done || sidecar.Release != release {
			text, _ := json.Marshal(c.State)
			t.Fatalf("%v: %s", c.State.Phase, text)
		}
	}
}

// The coordinator that drives a change is suspended, and resumed with calls in flight after another one has taken over. The change must
// complete, each sidecar must be changed exactly once, and agents must refuse the calls of the former driver.
func TestADriverThatIsPaused(t *testing.T) {
	s := startProcesses(t, 6, 60, nil)
	good := beginChange(t, s, planWithoutJudge)
	peertest.Eventually(t, "a coordinator drives the change", func() bool { return s.Driver() >= 0 })
	s.AwaitChange(changeTimeout, "an order is open or the change is over", func(c *rollout.Change) bool { return len(c.State.OpenOrders()) > 0 || c.State.Phase.Over() })
	paused := s.Driver()
	s.Members[paused].Pause()
	peertest.Eventually(t, "another coordinator drives the change", func() bool { return s.Driver() != paused })
	s.Members[paused].Resume()
	awaitDone(t, s, good)
	starts := 0
	for _, a := range s.Agents {
		starts += strings.Count(a.Log.String(), "msg=started")
	}
	if starts != 6+6 { // the initial starts, and one start by the change for each sidecar
		t.Errorf("%d starts", starts)
	}
	for _, token := range []uint64{1, 1 << 40} { // of an older driver, which is refused; of a newer driver that repeats an order
		order := machine.Order{Version: machine.Version, Application: deployment.Application, Token: token, Order: rollout.Order{Number: 1, Sidecar: "n00", Release: string(s.Initial)}}
		res, err := rpc.Client[machine.Order, machine.OrderResponse](http.DefaultClient, s.Agents[0].Link.Addr, machine.PathOrder, 1<<20).CallUnary(t.Context(), connect.NewRequest(&order))
		if token == 1 && connect.CodeOf(err) != connect.CodeAborted || token > 1 && (err != nil || !res.Msg.Known) {
			t.Errorf("token %d: %v, %v", token, res, err)
		}
	}
	s.Check()
}

// Agents are killed at random moments of a change and restarted. A sidecar must never have a third process or none at all, and the change
// must complete.
func TestAgentsThatDie(t *testing.T) {
	s := startProcesses(t, 6, 60, nil)
	good := beginChange(t, s, planWithoutJudge)
	killAgentsInTurn(t, s, 12, 700*time.Millisecond)
	awaitDone(t, s, good)
	s.Check()
}

// A sidecar is suspended in the middle of a stage: the change must wait for it and then pause. After that its agent is suspended while the
// change is aborted. The order to roll back is repeated at every poll, and the agent must carry it out exactly once when it is resumed.
func TestStoppedProcesses(t *testing.T) {
	s := startProcesses(t, 4, 40, func(d *deployment.Deployment) { d.PerAgent = 2 })
	good := beginChange(t, s, "progress_timeout: 15s\njudge: {min_effect: 0.001}\nstages:\n  - {names: [n00]}\n  - {share: 1}\n")
	s.AwaitChange(changeTimeout, "n00 runs the new release", func(c *rollout.Change) bool { return c.State.Sidecars()[0].Release == good })
	a := s.Agents[0]
	a.SignalSidecar(0, syscall.SIGSTOP)
	c := s.AwaitChange(changeTimeout, "the change is paused", func(c *rollout.Change) bool { return c.State.Phase == rollout.Paused })
	if !strings.Contains(c.State.Reason, "nothing came of it") || !strings.HasSuffix(c.State.Reason, ": n00") {
		t.Errorf("%s", c.State.Reason)
	}
	a.SignalSidecar(0, syscall.SIGCONT)
	s.AwaitChange(changeTimeout, "n00 is ready", func(c *rollout.Change) bool { return c.State.Sidecars()[0].Ready })
	a.Pause()
	s.SendEvent(rollout.Event{Abort: "by hand"})
	c = s.AwaitChange(changeTimeout, "n00 is not ready", func(c *rollout.Change) bool { return !c.State.Sidecars()[0].Ready })
	if c.State.Phase != rollout.RollingBack || len(c.State.OpenOrders()) != 1 {
		t.Errorf("%v: %v", c.State.Phase, c.State.OpenOrders())
	}
	a.Resume()
	if c := s.AwaitEnd(changeTimeout); deployment.CountRunning(c, s.Initial) != 4 || strings.Count(a.Log.String(), "msg=started sidecar=n00") != 3 {
		t.Errorf("%d sidecars run the initial release again; %s", deployment.CountRunning(c, s.Initial), a.Log)
	}
}

// Releases whose processes exit by themselves, and one whose sidecar fails a class of requests, must be stopped in the first stage and
// rolled back. The requests that such a process had accepted are lost when it exits.
func TestReleasesThatEnd(t *testing.T) {
	s := startProcesses(t, 6, 120, nil)
	const plan = "max_concurrent: 2\nprogress_timeout: 10m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2}\n  - {share: 1}\n"
	s.CheckWorseReleases(s.Initial, []deployment.WorseRelease{
		{Program: deployment.Program{Name: "dies at start", ExitsAtStart: true}, Reason: "ended before it was ready", Plan: plan},
		{Program: deployment.Program{Name: "dies later", KilledAfter: 4 * time.Second}, Reason: "it ended", Plan: plan},
		{Program: deployment.Program{Name: deployment.FaultOneClass, Fault: deployment.FaultOneClass}, Reason: "worse", Plan: plan},
	})
}
