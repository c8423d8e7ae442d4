package deployment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Agent is the agent of one machine.
type Agent struct {
	*process.Process
	Link       *link.Link // through which drivers reach it
	Dir        string
	deployment *Deployment
}

// StartProcess starts the agent's process on its folder as it is, and waits until it serves. It is called from the test's goroutine.
func (a *Agent) StartProcess() {
	a.deployment.t.Helper()
	path := filepath.Join(a.Dir, "agent.yaml")
	a.Process = a.deployment.platform.startAgent(path)
	c, err := machine.Read(path)
	if err != nil {
		a.deployment.t.Fatal(err)
	}
	await.Eventually(a.deployment.t, "an agent serves", func() bool { return a.Log.Has("msg=serving") })
	a.Link.SetTarget(c.Listen)
}

// PersistedStates are the states of its sidecars in the agent's files.
func (a *Agent) PersistedStates() (all []agent.PersistedState) {
	files, _ := filepath.Glob(filepath.Join(a.Dir, "data", "sidecar-*.json"))
	for _, f := range files {
		var state agent.PersistedState
		text, _ := os.ReadFile(f) // a file that is being replaced is read the next time
		if json.Unmarshal(text, &state) == nil {
			all = append(all, state)
		}
	}
	return all
}

// killAll kills the agent and the sidecars that it leaves running, terminating ones too.
func (a *Agent) killAll() {
	a.KillAndWait()
	running := a.running()
	for _, state := range a.PersistedStates() {
		if p := state.Terminating; p != nil && a.deployment.platform.lives(*p) {
			running = append(running, *p)
		}
	}
	for _, p := range running {
		a.deployment.platform.signal(p, syscall.SIGKILL)
	}
}

// running are the processes of its sidecars that live and were not asked to end, by its files.
func (a *Agent) running() (all []agent.Process) {
	for _, state := range a.PersistedStates() {
		for _, p := range []*agent.Process{state.Serving, state.Next} {
			if p != nil && a.deployment.platform.lives(*p) {
				all = append(all, *p)
			}
		}
	}
	return all
}

// MaxProcesses is the largest number of processes that any one sidecar of the agent has at present, by the files of their starts.
func (a *Agent) MaxProcesses() (n int) {
	files, _ := filepath.Glob(filepath.Join(a.Dir, "data", "start-*"))
	count := map[string]int{}
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if got, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); got == 2 && a.deployment.platform.lives(p) {
			name := strings.Split(filepath.Base(f), "-")[1]
			count[name]++
			n = max(n, count[name])
		}
	}
	return n
}

// SignalSidecar sends a signal to the serving process of one of its sidecars, by its index.
func (a *Agent) SignalSidecar(index int, s syscall.Signal) {
	a.deployment.platform.signal(*a.PersistedStates()[index].Serving, s)
}
