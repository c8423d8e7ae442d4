// Package deployment is a fleet as operators run it, in processes on loopback: coordinators, agents and the sidecars that agents start,
// for tests that change releases under load and break processes and the ways between them. A rehearsal sends the load and judges the
// rules; Deployment is its Starter.
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

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/driver"
	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/machine"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/rig/coordinator"
	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Application is the name of what is run.
const Application = "app"

// Deployment is one.
type Deployment struct {
	*coordinator.Group
	Agents   []*Agent
	Releases string // the store
	PerAgent int
	Zones    []string
	Limits   string // fields of the agents' limits
	Reserved func() string
	First    func(settings []byte) release.ID // the release to begin with, made of the first sidecar's settings

	// Discovery says what the release tells all sidecars of where servers are listed, given the first one's address, so
	// that a version of the configuration may say something else. nil: each is told its own, which no version changes.
	Discovery func(addr string) string
	Versions  bool // agents take versions of the configuration from the coordinators

	t       testing.TB
	bin     string
	first   release.ID
	waiting []string // sidecars of the next agent, in YAML
}

// Agent is one machine.
type Agent struct {
	*process.Process
	Link *link.Link // by which drivers reach it
	Dir  string
	d    *Deployment
}

var built string // the folder

// Built removes what was built, at the end of a test program.
func Built() { _ = os.RemoveAll(built) }

// build builds programs of this module once for all tests of a test program.
var build = sync.OnceValues(func() (dir string, err error) {
	if dir, err = os.MkdirTemp("", "deployment"); err != nil {
		return "", err
	}
	built = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "petrelhook/cmd/petrelhook", "petrelhook/cmd/petrelhook-coordinator", "petrelhook/cmd/petrelhook-agent", "petrelhook/cmd/petrelhookctl").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return dir, err
})

// New starts the coordinators of a deployment; Start starts sidecars, and with each PerAgent of them their agent.
func New(t testing.TB, coordinators int) *Deployment {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{t: t, bin: bin, Releases: filepath.Join(t.TempDir(), "releases"), PerAgent: 3, Zones: []string{""},
		Limits: "{ready: 10s, trial: 1s, end: 4s, look: 50ms, cut_off: 20s, heard: 4s, restart_pause: 200ms}"}
	d.Group = coordinator.NewGroupWith(t, coordinators, "drive: true\ndrive_every: 200ms\n", func(args ...string) *exec.Cmd {
		return exec.Command(filepath.Join(bin, "petrelhook-coordinator"), args...)
	})
	return d
}

// Program is the path of a program of this module.
func (d *Deployment) Program(name string) string { return filepath.Join(d.bin, name) }

// own are the fields that each sidecar has by itself.
var own = []string{"discovery", "known", "seed", "limits"}

// Start hands a sidecar to the next agent, as package rehearse asks.
func (d *Deployment) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", err
	}
	var numbered struct {
		MyNumber int `json:"my_number"`
	}
	_ = json.Unmarshal(fields["settings"], &numbered)
	addr = d.Reserved()
	var set strings.Builder
	if d.Discovery != nil && d.first == "" {
		var addr string
		if err := json.Unmarshal(fields["discovery"], &addr); err != nil {
			return "", err
		}
		fields["discovery"], _ = json.Marshal(d.Discovery(addr))
	}
	for _, name := range own {
		if name == "discovery" && d.Discovery != nil {
			continue
		}
		fmt.Fprintf(&set, "%s: %s, ", name, fields[name])
		delete(fields, name)
	}
	if d.first == "" {
		text, _ := json.Marshal(fields)
		d.first = d.First(text)
	}
	d.waiting = append(d.waiting, fmt.Sprintf("  - {name: n%02d, zone: %q, listen: %q, admin_addresses: [%q, %q], set: {%ssettings.my_number: %d}}\n", number,
		d.Zones[number%len(d.Zones)], addr, d.Reserved(), d.Reserved(), set.String(), numbered.MyNumber))
	if len(d.waiting) < d.PerAgent {
		return addr, nil
	}
	a := &Agent{Link: d.Link(), Dir: process.Dir(d.t), d: d}
	text := ""
	if d.Versions {
		coordinators, _ := json.Marshal(d.Addrs())
		text = fmt.Sprintf("configuration: {coordinators: %s}\n", coordinators)
	}
	text += fmt.Sprintf("application: %s\nlisten: %q\ndata: data\nreleases: %q\nrelease: %s\nlimits: %s\nsidecars:\n%s", Application, d.Reserved(), d.Releases,
		d.first, d.Limits, strings.Join(d.waiting, ""))
	d.waiting = nil
	if err := os.WriteFile(filepath.Join(a.Dir, "agent.yaml"), []byte(text), 0o600); err != nil {
		return "", err
	}
	d.Agents = append(d.Agents, a)
	a.Begin()
	d.t.Cleanup(a.end)
	return addr, nil
}

// Begin starts the agent's process, on its folder as it is.
func (a *Agent) Begin() {
	a.d.t.Helper()
	path := filepath.Join(a.Dir, "agent.yaml")
	a.Process = process.Start(a.d.t, exec.Command(a.d.Program("petrelhook-agent"), "--config", path))
	c, err := machine.Read(path)
	if err != nil {
		a.d.t.Fatal(err)
	}
	process.Until(a.d.t, "an agent serves", func() bool { return a.Log.Has("msg=serving") })
	a.Link.To(c.Listen)
}

// Kept is what an agent has kept of its sidecars.
func (a *Agent) Kept() (all []agent.PersistedState) {
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

// end kills what the agent has left.
func (a *Agent) end() {
	a.Die()
	for _, k := range a.Kept() {
		for _, p := range []*agent.Process{k.Serving, k.Next, k.Terminating} {
			if p != nil && machine.Lives(*p) {
				syscall.Kill(p.PID, syscall.SIGKILL)
			}
		}
	}
}

// Stop ends the sidecars as an operator would, and their agents before.
func (d *Deployment) Stop() error {
	var all []agent.Process
	for _, a := range d.Agents {
		a.Signal(syscall.SIGTERM)
		if err := a.Wait(); err != nil {
			return err
		}
		a.Ended <- nil // who waits again has it
		for _, k := range a.Kept() {
			for _, p := range []*agent.Process{k.Serving, k.Next} {
				if p != nil && machine.Lives(*p) {
					syscall.Kill(p.PID, syscall.SIGTERM)
					all = append(all, *p)
				}
			}
		}
	}
	process.Until(d.t, "the sidecars end", func() bool {
		for _, p := range all {
			if machine.Lives(p) {
				return false
			}
		}
		return true
	})
	return nil
}

// Add puts a release into the store.
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

// Script is a release whose program is a shell script; $REAL in it is the sidecar, and it checks settings as that does.
func (d *Deployment) Script(name, text string, settings []byte) release.ID {
	d.t.Helper()
	path := filepath.Join(d.t.TempDir(), name)
	text = fmt.Sprintf("#!/bin/sh\n# %s\nREAL=%s\ncase \"$1\" in --check) exec $REAL \"$@\";; esac\n%s\n", name, d.Program("petrelhook"), text)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		d.t.Fatal(err)
	}
	return d.Add(path, settings)
}

// Begin begins a change by a plan's text, whose agents are all.
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

// Changes is what the coordinators keep of the application.
func (d *Deployment) Changes() *rollout.Application {
	d.t.Helper()
	name := Application
	told, err := d.Ask(fleet.Request{Changes: &name})
	app := &rollout.Application{}
	if err == nil {
		err = json.Unmarshal(told.Changes, app)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	return app
}

// Say is an operator's word on the change that goes on.
func (d *Deployment) Say(e rollout.Event) {
	d.t.Helper()
	told, err := d.Ask(fleet.Request{Rollout: &rollout.Command{Application: Application, Change: d.Changes().Current.Name, Events: []rollout.Event{e}}})
	if err != nil || told.Rollout.Error != "" {
		d.t.Fatal(err, told)
	}
}

// Until waits for the change to come to something, within a time.
func (d *Deployment) Until(within time.Duration, what string, ok func(*rollout.Change) bool) *rollout.Change {
	d.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		c := d.Changes().Current
		if ok(c) {
			return c
		}
		if time.Now().After(end) {
			text, _ := json.Marshal(c.State)
			d.t.Fatalf("never: %s: %v, stage %d, %s: %s", what, c.State.Phase, c.State.Stage, c.State.Reason, text)
		}
	}
}

// Over waits until the change has ended.
func (d *Deployment) Over(within time.Duration) *rollout.Change {
	d.t.Helper()
	return d.Until(within, "over", func(c *rollout.Change) bool { return c.State.Phase.Over() })
}

// Drives is the coordinator that drives; -1: none does.
func (d *Deployment) Drives() int {
	best, at := uint64(0), -1
	for i, m := range d.All {
		log := m.Log.String()
		last := strings.LastIndex(log, "msg=drives token=")
		if last < 0 || strings.LastIndex(log, `msg="drives no more"`) > last {
			continue
		}
		var token uint64
		_, _ = fmt.Sscanf(log[last:], "msg=drives token=%d", &token)
		if token > best {
			best, at = token, i
		}
	}
	return at
}

// Most is the largest number of processes that one sidecar of an agent has now, as the starts' files say.
func (a *Agent) Most() (n int) {
	files, _ := filepath.Glob(filepath.Join(a.Dir, "data", "start-*"))
	by := map[string]int{}
	for _, f := range files {
		var p agent.Process
		text, _ := os.ReadFile(f)
		if got, _ := fmt.Sscan(string(text), &p.PID, &p.StartTicks); got == 2 && machine.Lives(p) {
			name := strings.Split(filepath.Base(f), "-")[1]
			by[name]++
			n = max(n, by[name])
		}
	}
	return n
}
