// Package deployment runs a fleet as operators do: coordinators, agents and the sidecars that agents start. They are processes on loopback
// (Processes), or the same code in the test's own process, on a network in memory and in virtual time (Simulate). Tests use it to change
// releases under load and to break processes and the links between them. A rehearsal sends the load and audits the rules; Deployment is its
// Starter. Failures of the set-up end the test.
package deployment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"petrelhook/internal/common/await"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/rig/coordinator"
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
	InitialRelease func(settings []byte) release.ID // makes the release to start with from the first sidecar's settings

	// Discovery returns the address of discovery that the release gives all sidecars, given that of the first sidecar; a version of
	// the configuration may then change it. nil: each sidecar has an address of its own, which no version changes.
	Discovery         func(addr string) string
	SubscribeVersions bool // agents subscribe to versions of the configuration at the coordinators

	t               testing.TB
	platform        Platform
	initial         release.ID
	pendingSidecars []string // of the next agent, in YAML
}

// New starts the coordinators of a deployment on a platform. Start adds sidecars, and an agent for each PerAgent of them.
func New(t testing.TB, platform Platform, coordinators int) *Deployment {
	t.Helper()
	d := &Deployment{t: t, platform: platform, Releases: filepath.Join(t.TempDir(), "releases"), PerAgent: 3, Zones: []string{""},
		Limits: "{ready_timeout: 10s, trial_period: 1s, termination_timeout: 4s, poll_interval: 50ms, isolation_timeout: 20s, contact_timeout: 4s, initial_restart_backoff: 200ms}"}
	d.Group = coordinator.NewGroupOn(t, coordinators, "drive: true\ndrive_interval: 200ms\n", platform.coordinators())
	return d
}

// sidecarFields are the fields of settings that differ from sidecar to sidecar.
var sidecarFields = []string{"discovery", "known", "seed", "limits"}

// Start implements rehearse.Starter: it adds a sidecar to the next agent, and starts that agent once it has PerAgent sidecars. addr is
// where the sidecar will serve.
func (d *Deployment) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", fmt.Errorf("settings of sidecar %d: %w", number, err)
	}
	var numbered struct {
		MyNumber int `json:"my_number"`
	}
	_ = json.Unmarshal(fields["settings"], &numbered)
	addr = d.platform.reserveAddr()
	if d.Discovery != nil && d.initial == "" {
		if err := d.replaceDiscovery(fields); err != nil {
			return "", fmt.Errorf("settings of sidecar %d: discovery: %w", number, err)
		}
	}
	overrides := d.cutSidecarFields(fields)
	if d.initial == "" {
		text, err := json.Marshal(fields)
		if err != nil {
			return "", err
		}
		d.initial = d.InitialRelease(text)
	}
	d.pendingSidecars = append(d.pendingSidecars, fmt.Sprintf(
		"  - {name: n%02d, zone: %q, listen: %q, admin_addresses: [%q, %q], set: {%ssettings.my_number: %d}}\n",
		number, d.Zones[number%len(d.Zones)], addr, d.platform.reserveAddr(), d.platform.reserveAddr(), overrides, numbered.MyNumber))
	if len(d.pendingSidecars) < d.PerAgent {
		return addr, nil
	}
	return addr, d.startAgent()
}

// replaceDiscovery gives the settings the address of discovery that all sidecars have.
func (d *Deployment) replaceDiscovery(fields map[string]json.RawMessage) error {
	var addr string
	if err := json.Unmarshal(fields["discovery"], &addr); err != nil {
		return err
	}
	common, err := json.Marshal(d.Discovery(addr))
	fields["discovery"] = common
	return err
}

// cutSidecarFields removes from the settings the fields that differ from sidecar to sidecar, and returns them as overrides in YAML.
func (d *Deployment) cutSidecarFields(fields map[string]json.RawMessage) (overrides string) {
	for _, name := range sidecarFields {
		if name == "discovery" && d.Discovery != nil {
			continue
		}
		overrides += fmt.Sprintf("%s: %s, ", name, fields[name])
		delete(fields, name)
	}
	return overrides
}

// startAgent starts an agent with the pending sidecars.
func (d *Deployment) startAgent() error {
	a := &Agent{Link: d.NewLink(), Dir: process.DataDir(d.t), deployment: d}
	text := ""
	if d.SubscribeVersions {
		coordinators, err := json.Marshal(d.Addrs())
		if err != nil {
			return err
		}
		text = fmt.Sprintf("configuration: {coordinators: %s}\n", coordinators)
	}
	text += fmt.Sprintf("application: %s\nlisten: %q\ndata: data\nreleases: %q\nrelease: %s\nlimits: %s\nsidecars:\n%s",
		Application, d.platform.reserveAddr(), d.Releases, d.initial, d.Limits, strings.Join(d.pendingSidecars, ""))
	d.pendingSidecars = nil
	if err := os.WriteFile(filepath.Join(a.Dir, "agent.yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	d.Agents = append(d.Agents, a)
	a.StartProcess()
	d.t.Cleanup(a.killAll)
	return nil
}

// Stop implements rehearse.Starter: it ends the agents, then the sidecars, with SIGTERM.
func (d *Deployment) Stop() error {
	var sidecars []agent.Process
	for i, a := range d.Agents {
		_ = a.Signal(syscall.SIGTERM) // one that has ended is waited for next
		if err := a.Wait(); err != nil {
			return fmt.Errorf("agent %d: %w", i, err)
		}
		a.Ended <- nil // so that another Wait returns
		for _, p := range a.running() {
			d.platform.signal(p, syscall.SIGTERM)
			sidecars = append(sidecars, p)
		}
	}
	await.Eventually(d.t, "the sidecars end", func() bool { return !slices.ContainsFunc(sidecars, d.platform.lives) })
	return nil
}
