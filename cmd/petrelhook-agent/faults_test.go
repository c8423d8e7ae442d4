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

// unjudged is a plan with two stages without a judge: its verdicts are shown in virtual time.
const unjudged = "max_concurrent: 2\nmax_unavailable: 3\nprogress_timeout: 10m\njudge: none\nstages:\n  - {count: 2}\n  - {share: 1}\n"

const changeTimeout = 2 * time.Minute

// begin begins a change to a release that does the same as the initial one.
func begin(t *testing.T, s *deployment.LoadTest, plan string) (release string) {
	t.Helper()
	good := s.Renamed("another-name")
	if _, err := s.Begin(deployment.PlanText(s.Initial, good, plan)); err != nil {
		t.Fatal(err)
	}
	return string(good)
}

// checkDone waits for the end of a change of all sidecars to a release.
func checkDone(t *testing.T, s *deployment.LoadTest, release string) {
	t.Helper()
	c := s.AwaitEnd(changeTimeout)
	for _, one := range c.State.Sidecars() {
		if c.State.Phase != rollout.Done || one.Release != release {
			text, _ := json.Marshal(c.State)
			t.Fatalf("%v: %s", c.State.Phase, text)
		}
	}
}

// The coordinator that drives a change is paused and continues with calls in flight: the change completes, each sidecar is changed once, and
// the calls of the one that was paused are refused.
func TestADriverThatIsPaused(t *testing.T) {
	s := startProcesses(t, 6, 60, nil)
	good := begin(t, s, unjudged)
	peertest.Eventually(t, "one drives", func() bool { return s.Driver() >= 0 })
	s.AwaitChange(changeTimeout, "it moves", func(c *rollout.Change) bool { return len(c.State.OpenOrders()) > 0 || c.State.Phase.Over() })
	paused := s.Driver()
	s.Members[paused].Pause()
	peertest.Eventually(t, "another drives", func() bool { return s.Driver() != paused })
	s.Members[paused].Resume()
	checkDone(t, s, good)
	starts := 0
	for _, a := range s.Agents {
		starts += strings.Count(a.Log.String(), "msg=started")
	}
	if starts != 6+6 { // at first, and changed
		t.Errorf("%d starts", starts)
	}
	for _, token := range []uint64{1, 1 << 40} { // an older driver; a newer one that repeats an order
		order := machine.Order{Version: machine.Version, Application: deployment.Application, Token: token, Order: rollout.Order{Number: 1, Sidecar: "n00", Release: string(s.Initial)}}
		res, err := rpc.Client[machine.Order, machine.OrderResponse](http.DefaultClient, s.Agents[0].Link.Addr, machine.PathOrder, 1<<20).CallUnary(t.Context(), connect.NewRequest(&order))
		if token == 1 && connect.CodeOf(err) != connect.CodeAborted || token > 1 && (err != nil || !res.Msg.Known) {
			t.Errorf("token %d: %v, %v", token, res, err)
		}
	}
	s.Check()
}

// Agents are killed at random moments of a change and started again: no sidecar ever has a third process or none, and the change
// completes.
func TestAgentsThatDie(t *testing.T) {
	s := startProcesses(t, 6, 60, nil)
	good := begin(t, s, unjudged)
	kill(t, s, 12, 700*time.Millisecond)
	checkDone(t, s, good)
	s.Check()
}

// A sidecar is suspended in the middle of a stage: the change waits for it, and pauses. Then its agent is suspended, and the change is
// aborted meanwhile: the order to roll back, repeated at every poll, is carried out once when the agent continues.
func TestStoppedProcesses(t *testing.T) {
	s := startProcesses(t, 4, 40, func(d *deployment.Deployment) { d.PerAgent = 2 })
	good := begin(t, s, "progress_timeout: 15s\njudge: {min_effect: 0.001}\nstages:\n  - {names: [n00]}\n  - {share: 1}\n")
	s.AwaitChange(changeTimeout, "it is changed", func(c *rollout.Change) bool { return c.State.Sidecars()[0].Release == good })
	a := s.Agents[0]
	a.SignalSidecar(0, syscall.SIGSTOP)
	c := s.AwaitChange(changeTimeout, "it pauses", func(c *rollout.Change) bool { return c.State.Phase == rollout.Paused })
	if !strings.Contains(c.State.Reason, "nothing came of it") || !strings.HasSuffix(c.State.Reason, ": n00") {
		t.Errorf("%s", c.State.Reason)
	}
	a.SignalSidecar(0, syscall.SIGCONT)
	s.AwaitChange(changeTimeout, "it is ready", func(c *rollout.Change) bool { return c.State.Sidecars()[0].Ready })
	a.Pause()
	s.SendEvent(rollout.Event{Abort: "by hand"})
	c = s.AwaitChange(changeTimeout, "it is out of reach", func(c *rollout.Change) bool { return !c.State.Sidecars()[0].Ready })
	if c.State.Phase != rollout.RollingBack || len(c.State.OpenOrders()) != 1 {
		t.Errorf("%v: %v", c.State.Phase, c.State.OpenOrders())
	}
	a.Resume()
	if c := s.AwaitEnd(changeTimeout); deployment.CountRunning(c, s.Initial) != 4 || strings.Count(a.Log.String(), "msg=started sidecar=n00") != 3 {
		t.Errorf("%d are back; %s", deployment.CountRunning(c, s.Initial), a.Log)
	}
}

// Releases whose processes end by themselves, and one whose sidecar fails a class of requests, are stopped in the first stage and rolled
// back. The requests that the processes had accepted end with them.
func TestReleasesThatEnd(t *testing.T) {
	s := startProcesses(t, 6, 120, nil)
	const plan = "max_concurrent: 2\nprogress_timeout: 10m\njudge: {min_effect: 0.15}\nstages:\n  - {count: 2, control: 2}\n  - {share: 1}\n"
	s.CheckWorseReleases(s.Initial, []deployment.WorseRelease{
		{Program: deployment.Program{Name: "dies at start", ExitsAtStart: true}, Reason: "ended before it was ready", Plan: plan},
		{Program: deployment.Program{Name: "dies later", KilledAfter: 4 * time.Second}, Reason: "it ended", Plan: plan},
		{Program: deployment.Program{Name: deployment.FaultOneClass, Fault: deployment.FaultOneClass}, Reason: "worse", Plan: plan},
	})
}
