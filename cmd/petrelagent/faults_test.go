package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"petrelhook/internal/agent"
	"petrelhook/internal/machine"
	"petrelhook/internal/peertest"
	"petrelhook/internal/rig/deployment"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rollout"
	"petrelhook/internal/rpc"
)

const twoStages = "at_once: 2\nunavailable: 3\npatience: 3m\njudge: {effect: 0.2}\nstages:\n  - {count: 2, control: 1}\n  - {share: 1}\n"

// drives is the coordinator that drives; -1: none does.
func (s *site) drives() int {
	best, at := uint64(0), -1
	for i, m := range s.All {
		log := m.Log.String()
		last := strings.LastIndex(log, "msg=drives token=")
		if last < 0 || strings.LastIndex(log, `msg="drives no more"`) > last {
			continue
		}
		var token uint64
		fmt.Sscanf(log[last:], "msg=drives token=%d", &token)
		if token > best {
			best, at = token, i
		}
	}
	return at
}

// most is the largest number of processes that one sidecar of an agent has now, as the starts' files say.
func most(a *deployment.Agent) (n int) {
	files, _ := filepath.Glob(filepath.Join(a.Dir, "data", "start-*"))
	by := map[string]int{}
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if got, _ := fmt.Sscan(string(text), &p.PID, &p.Began); got == 2 && machine.Lives(p) {
			name := strings.Split(filepath.Base(f), "-")[1]
			by[name]++
			n = max(n, by[name])
		}
	}
	return n
}

// The coordinator that drives a change is killed, again and again, and one is stopped and goes on with what it had in hand: the change
// comes to its end, each sidecar is changed once, and what the one that was stopped says is refused.
func TestDriversThatDie(t *testing.T) {
	s := newSite(t, 6, 200, "", nil)
	good := s.Script("another-name", `exec $REAL "$@"`, s.settings)
	if _, err := s.Begin(plan(s.old, good, twoStages)); err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		peertest.Eventually(t, "one drives", func() bool { return s.drives() >= 0 })
		was := s.Changes().Now.Events
		s.Until(30*time.Second, "it moves", func(c *rollout.Change) bool { return c.Events > was || c.State.Phase.Over() })
		i := s.drives()
		if i < 0 {
			continue
		}
		if round == 1 {
			m := s.All[i]
			m.Stop()
			peertest.Eventually(t, "another drives", func() bool { return s.drives() != i })
			m.Continue()
			continue
		}
		s.All[i].Die()
		peertest.Eventually(t, "another drives", func() bool { return s.drives() != i && s.drives() >= 0 })
		s.All[i].Start()
	}
	c := s.Over(2 * time.Minute)
	if c.State.Phase != rollout.Done || running(c, good) != 6 {
		t.Errorf("%v: %s", c.State.Phase, c.State.Why)
	}
	starts := 0
	for _, a := range s.Agents {
		starts += strings.Count(a.Log.String(), "msg=started")
	}
	if starts != 6+6+1 { // first, changed, and the control
		t.Errorf("%d starts", starts)
	}
	for _, token := range []uint64{1, 1 << 40} { // an older driver; a newer one that says an order once more
		order := machine.Order{Version: machine.Version, Application: deployment.Application, Token: token, Order: rollout.Order{Number: 1, Sidecar: "n00", Release: string(s.old)}}
		res, err := rpc.Client[machine.Order, machine.Taken](http.DefaultClient, s.Agents[0].Link.Addr, machine.PathOrder, 1<<20).CallUnary(t.Context(), connect.NewRequest(&order))
		if token == 1 && connect.CodeOf(err) != connect.CodeAborted || token > 1 && (err != nil || !res.Msg.Known) {
			t.Errorf("token %d: %v, %v", token, res, err)
		}
	}
	s.check()
}

// An agent is killed at any moment of a change, and started again: no sidecar ever has a third process or none, and the change comes to
// its end.
func TestAgentsThatDie(t *testing.T) {
	s := newSite(t, 6, 200, "", func(d *deployment.Deployment) { // a trial begins anew with the agent
		d.Limits = "{ready: 15s, trial: 300ms, end: 4s, look: 50ms, cut_off: 20s, heard: 4s, restart_pause: 200ms}"
	})
	good := s.Script("another-name", `exec $REAL "$@"`, s.settings)
	if _, err := s.Begin(plan(s.old, good, twoStages)); err != nil {
		t.Fatal(err)
	}
	stop, killed := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		defer func() { killed <- n }()
		for {
			for _, a := range s.Agents {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(1200 * time.Millisecond)): // at any moment: which one it is must not matter
				}
				a.Die()
				n++
				a.Begin()
				if got := most(a); got > 2 {
					t.Errorf("%d processes of one sidecar", got)
				}
			}
		}
	}()
	c := s.Until(2*time.Minute, "over", func(c *rollout.Change) bool { return c.State.Phase.Over() || c.State.Phase == rollout.Paused })
	close(stop)
	t.Logf("%d kills of agents; %v: %s", <-killed, c.State.Phase, c.State.Why)
	if c.State.Phase != rollout.Done || running(c, good) != 6 {
		text, _ := json.Marshal(c.State)
		t.Errorf("%v: %s", c.State.Phase, text)
	}
	s.check()
}

// A third of the agents is cut off in the middle of a stage, and the change is aborted meanwhile: what is in reach is taken back at once;
// those that are cut off go back by themselves, and are found so.
func TestAgentsThatAreCutOff(t *testing.T) {
	s := newSite(t, 6, 200, "", func(d *deployment.Deployment) {
		d.PerAgent = 2
		d.Limits = "{ready: 15s, trial: 1s, end: 4s, look: 50ms, cut_off: 4s, heard: 2s, restart_pause: 200ms}"
	})
	good := s.Script("another-name", `exec $REAL "$@"`, s.settings)
	if _, err := s.Begin(plan(s.old, good, "at_once: 3\nunavailable: 6\npatience: 3m\njudge: {effect: 0.02}\nstages:\n  - {names: [n00, n02, n04], control: 1}\n  - {share: 1}\n")); err != nil {
		t.Fatal(err)
	}
	s.Until(time.Minute, "three are changed", func(c *rollout.Change) bool { return running(c, good) == 3 })
	cut := s.Agents[0]
	cut.Link.Hold(link.Forth, true)
	s.Until(time.Minute, "it is seen", func(c *rollout.Change) bool { return !c.State.Sidecars()[0].Ready })
	s.Say(rollout.Event{Abort: "by hand"})
	s.Until(time.Minute, "the others are back", func(c *rollout.Change) bool { return running(c, s.old) >= 5 })
	if c := s.Changes().Now; c.State.Phase != rollout.TakingBack || len(c.State.Orders()) != 1 {
		t.Errorf("%v: %v", c.State.Phase, c.State.Orders())
	}
	peertest.Eventually(t, "it goes back by itself", func() bool {
		k := cut.Kept()
		return k[0].Fell == rollout.CutOff && k[0].Now != nil && k[0].Now.Release == string(s.old) && k[0].Phase == agent.Idle
	})
	cut.Link.Hold(link.Forth, false)
	if c := s.Over(time.Minute); c.State.Phase != rollout.Stopped || running(c, s.old) != 6 || c.State.Why != "by hand" {
		text, _ := json.Marshal(c.State)
		t.Errorf("%s", text)
	}
	s.check()
}
