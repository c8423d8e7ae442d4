// Package deployment runs a fleet as operators do, in processes on loopback: coordinators, agents and the sidecars that agents start.
// Tests use it to change releases under load and to break processes and the links between them. A rehearsal sends the load and audits
// the rules; Deployment is its Starter. Failures of the set-up end the test.
package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/driverlog"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Application is the name of the application that is deployed.
const Application = "app"

// Deployment is a fleet of one application. The fields are set before Start and not changed later.
type Deployment struct {
	*coordinator.Group
	Agents         []*Agent
	Releases       string                           // folder of the store of releases
	PerAgent       int                              // sidecars of an agent
	Zones          []string                         // sidecar number n is in zone n modulo their count
	Limits         string                           // of the agents, in YAML
	ReserveAddr    func() string                    // returns a free address on loopback
	InitialRelease func(settings []byte) release.ID // makes the release to start with from the first sidecar's settings

	// Discovery returns the address of discovery that the release gives all sidecars, given that of the first sidecar; a version of
	// the configuration may then change it. nil: each sidecar has an address of its own, which no version changes.
	Discovery         func(addr string) string
	SubscribeVersions bool // agents subscribe to versions of the configuration at the coordinators

	t               testing.TB
	programDir      string
	initial         release.ID
	pendingSidecars []string // of the next agent, in YAML
}

// Agent is the agent of one machine.
type Agent struct {
	*process.Process
	Link       *link.Link // through which drivers reach it
	Dir        string
	deployment *Deployment
}

// buildDir is the folder with the programs of build.
var buildDir string

// RemoveBuilt removes the programs that were built. A TestMain calls it at its end.
func RemoveBuilt() { _ = os.RemoveAll(buildDir) }

// build builds this module's programs once for all tests of a test program.
var build = sync.OnceValues(func() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "deployment"); err != nil {
		return "", err
	}
	buildDir = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "petrelhook/cmd/petrelhook", "petrelhook/cmd/petrelhook-coordinator", "petrelhook/cmd/petrelhook-agent", "petrelhook/cmd/petrelhookctl").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return dir, err
})

// New starts the coordinators of a deployment. Start adds sidecars, and an agent for each PerAgent of them.
func New(t testing.TB, coordinators int) *Deployment {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{t: t, programDir: bin, Releases: filepath.Join(t.TempDir(), "releases"), PerAgent: 3, Zones: []string{""},
		Limits: "{ready: 10s, trial: 1s, end: 4s, look: 50ms, cut_off: 20s, heard: 4s, restart_pause: 200ms}"}
	d.Group = coordinator.NewGroupWith(t, coordinators, "drive: true\ndrive_every: 200ms\n", func(args ...string) *exec.Cmd {
		return exec.Command(filepath.Join(bin, "petrelhook-coordinator"), args...)
	})
	return d
}

// Program is the path of a program of this module.
func (d *Deployment) Program(name string) string { return filepath.Join(d.programDir, name) }

// sidecarFields are the fields of settings that differ from sidecar to sidecar.
var sidecarFields = []string{"discovery", "known", "seed", "limits"}

// Start implements rehearse.Starter: it adds a sidecar to the next agent, and starts that agent once it has PerAgent sidecars.
func (d *Deployment) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", err
	}
	var numbered struct {
		MyNumber int `json:"my_number"`
	}
	_ = json.Unmarshal(fields["settings"], &numbered)
	addr = d.ReserveAddr()
	var overrides strings.Builder
	if d.Discovery != nil && d.initial == "" {
		var addr string
		if err := json.Unmarshal(fields["discovery"], &addr); err != nil {
			return "", err
		}
		fields["discovery"], _ = json.Marshal(d.Discovery(addr))
	}
	for _, name := range sidecarFields {
		if name == "discovery" && d.Discovery != nil {
			continue
		}
		fmt.Fprintf(&overrides, "%s: %s, ", name, fields[name])
		delete(fields, name)
	}
	if d.initial == "" {
		text, _ := json.Marshal(fields)
		d.initial = d.InitialRelease(text)
	}
	d.pendingSidecars = append(d.pendingSidecars, fmt.Sprintf("  - {name: n%02d, zone: %q, listen: %q, admin_addresses: [%q, %q], set: {%ssettings.my_number: %d}}\n", number,
		d.Zones[number%len(d.Zones)], addr, d.ReserveAddr(), d.ReserveAddr(), overrides.String(), numbered.MyNumber))
	if len(d.pendingSidecars) < d.PerAgent {
		return addr, nil
	}
	a := &Agent{Link: d.NewLink(), Dir: process.DataDir(d.t), deployment: d}
	text := ""
	if d.SubscribeVersions {
		coordinators, _ := json.Marshal(d.Addrs())
		text = fmt.Sprintf("configuration: {coordinators: %s}\n", coordinators)
	}
	text += fmt.Sprintf("application: %s\nlisten: %q\ndata: data\nreleases: %q\nrelease: %s\nlimits: %s\nsidecars:\n%s", Application, d.ReserveAddr(), d.Releases,
		d.initial, d.Limits, strings.Join(d.pendingSidecars, ""))
	d.pendingSidecars = nil
	if err := os.WriteFile(filepath.Join(a.Dir, "agent.yaml"), []byte(text), 0o600); err != nil {
		return "", err
	}
	d.Agents = append(d.Agents, a)
	a.StartProcess()
	d.t.Cleanup(a.killAll)
	return addr, nil
}

// StartProcess starts the agent's process on its folder as it is.
func (a *Agent) StartProcess() {
	a.deployment.t.Helper()
	path := filepath.Join(a.Dir, "agent.yaml")
	a.Process = process.Start(a.deployment.t, exec.Command(a.deployment.Program("petrelhook-agent"), "--config", path))
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
		var k agent.PersistedState
		text, _ := os.ReadFile(f)
		if json.Unmarshal(text, &k) == nil {
			all = append(all, k)
		}
	}
	return all
}

// killAll kills the agent and the sidecars that it leaves running.
func (a *Agent) killAll() {
	a.KillAndWait()
	for _, k := range a.PersistedStates() {
		for _, p := range []*agent.Process{k.Serving, k.Next, k.Terminating} {
			if p != nil && machine.Lives(*p) {
				syscall.Kill(p.PID, syscall.SIGKILL)
			}
		}
	}
}

// Stop implements rehearse.Starter: it ends the agents, then the sidecars, with SIGTERM.
func (d *Deployment) Stop() error {
	var all []agent.Process
	for _, a := range d.Agents {
		a.Signal(syscall.SIGTERM)
		if err := a.Wait(); err != nil {
			return err
		}
		a.Ended <- nil // so that another Wait returns
		for _, k := range a.PersistedStates() {
			for _, p := range []*agent.Process{k.Serving, k.Next} {
				if p != nil && machine.Lives(*p) {
					syscall.Kill(p.PID, syscall.SIGTERM)
					all = append(all, *p)
				}
			}
		}
	}
	await.Eventually(d.t, "the sidecars end", func() bool {
		for _, p := range all {
			if machine.Lives(p) {
				return false
			}
		}
		return true
	})
	return nil
}

// Add adds a release to the store.
func (d *Deployment) Add(program string, settings []byte) release.ID {
	d.t.Helper()
	store, err := release.NewStore(d.Releases)
	if err != nil {
		d.t.Fatal(err)
	}
	p, err := os.Open(program)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = p.Close() }()
	r, err := store.Add(p, strings.NewReader(string(settings)))
	if err != nil {
		d.t.Fatal(err)
	}
	return r.ID
}

// Script adds a release whose program is a shell script. $REAL in it is the sidecar's program, which also checks settings (--check).
func (d *Deployment) Script(name, text string, settings []byte) release.ID {
	d.t.Helper()
	path := filepath.Join(d.t.TempDir(), name)
	text = fmt.Sprintf("#!/bin/sh\n# %s\nREAL=%s\ncase \"$1\" in --check) exec $REAL \"$@\";; esac\n%s\n", name, d.Program("petrelhook"), text)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		d.t.Fatal(err)
	}
	return d.Add(path, settings)
}

// Begin starts a rolling change with a plan's text, over all agents.
func (d *Deployment) Begin(plan string) (*driver.BeginResult, error) {
	var agents []string
	for _, a := range d.Agents {
		agents = append(agents, a.Link.Addr)
	}
	f, err := driver.ParsePlan("plan.yaml", fmt.Appendf(nil, "application: %s\nagents: [%s]\n%s", Application, strings.Join(agents, ", "), plan))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(d.t.Context(), 20*time.Second)
	defer cancel()
	return driver.Begin(ctx, &fleet.Operator{Addrs: d.Addrs()}, &http.Client{}, f, false)
}

// Application returns what the coordinators store of the application's rolling changes.
func (d *Deployment) Application() *rollout.Application {
	d.t.Helper()
	name := Application
	reply, err := d.Call(fleet.Request{Changes: &name})
	app := &rollout.Application{}
	if err == nil {
		err = json.Unmarshal(reply.Changes, app)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return app
}

// SendEvent sends an operator's event for the current change.
func (d *Deployment) SendEvent(event rollout.Event) {
	d.t.Helper()
	reply, err := d.Call(fleet.Request{Rollout: &rollout.Command{Application: Application, Change: d.Application().Current.Name, Events: []rollout.Event{event}}})
	if err != nil || reply.Rollout.Error != "" {
		d.t.Fatal(err, reply)
	}
}

// AwaitChange waits until ok returns true for the current change, and returns the change. what names the state in the failure.
func (d *Deployment) AwaitChange(timeout time.Duration, what string, ok func(*rollout.Change) bool) *rollout.Change {
	d.t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		c := d.Application().Current
		if ok(c) {
			return c
		}
		if time.Now().After(end) {
			text, _ := json.Marshal(c.State)
			d.t.Fatalf("never: %s: %v, stage %d, %s: %s", what, c.State.Phase, c.State.Stage, c.State.Reason, text)
		}
	}
}

// AwaitEnd waits until the current change has ended, and returns it.
func (d *Deployment) AwaitEnd(timeout time.Duration) *rollout.Change {
	d.t.Helper()
	return d.AwaitChange(timeout, "over", func(c *rollout.Change) bool { return c.State.Phase.Over() })
}

// Driver is the index of the coordinator that drives rolling changes; -1: none. It is read from their logs.
func (d *Deployment) Driver() int {
	var logs []string
	for _, m := range d.Members {
		logs = append(logs, m.Log.String())
	}
	return driverlog.Driver(logs)
}

// MaxProcesses is the largest number of processes that any one sidecar of the agent has at present, by the files of their starts.
func (a *Agent) MaxProcesses() (n int) {
	files, _ := filepath.Glob(filepath.Join(a.Dir, "data", "start-*"))
	count := map[string]int{}
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if got, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); got == 2 && machine.Lives(p) {
			name := strings.Split(filepath.Base(f), "-")[1]
			count[name]++
			n = max(n, count[name])
		}
	}
	return n
}
