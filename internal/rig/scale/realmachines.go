package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/rig/usage"
)

const (
	realService = "real"     // the service of all real machines
	machinesDir = "machines" // folder in that of the run
)

// realMachines are a run's machines with a real agent (petrelhook-agent) and one sidecar (petrelhook) each, which the agent starts.
// Agents have the default settings. They reach the coordinators through relays, which count the traffic of all of them. They are
// the rehearse.Starter of a rehearsal, which configures the sidecars, sends their load and audits the rules.
type realMachines struct {
	options       *Options
	processes     *processGroup
	dir           string
	relays        []*relay // one to each coordinator, in the order that hollow members have
	coordinators  []string
	lists         [2]*relay  // both lead to the one discovery
	sidecarFields []string   // settings that differ from sidecar to sidecar
	minder        *child     // the process that ends sidecars left over (MindSidecars)
	input         *os.File   // the minder's standard input, whose end it waits for
	release       release.ID // that all sidecars start with; "": none is made yet
	store         *release.Store
	releaseAddrs  []func() // release the reserved addresses

	settings json.RawMessage // of the release

	mu        sync.Mutex
	all       []*realMachine
	changed   chan struct{} // closed, and made anew, when a version has come into force at a machine
	violation error         // of the first version that came into force after a newer one
}

// realMachine is one machine; realMachines.mu guards adoptions.
type realMachine struct {
	agent     *child
	dataDir   string     // the agent's folder
	name      string     // of the sidecar
	adoptions []adoption // versions that came into force, as the agent's file had them
}

// newRealMachines prepares relays, the store of releases and the minder; Start adds the machines. coordinators are addresses in
// the order that hollow members have.
func newRealMachines(o *Options, processes *processGroup, dir string, coordinators []string) (_ *realMachines, err error) {
	m := &realMachines{options: o, processes: processes, dir: filepath.Join(dir, machinesDir), coordinators: coordinators,
		sidecarFields: []string{"known", "seed", "limits"},
		changed:       make(chan struct{})}
	defer func() {
		if err != nil {
			err = errors.Join(err, m.close())
		}
	}()
	for _, addr := range coordinators {
		r, err := newRelay(addr)
		if err != nil {
			return nil, err
		}
		m.relays = append(m.relays, r)
	}
	if m.store, err = release.NewStore(filepath.Join(m.dir, "releases")); err != nil {
		return nil, err
	}
	minderInput, input, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = minderInput.Close() }()
	m.input = input
	m.minder, err = processes.startDetached("minder", exec.Command(o.program("petrelhookctl"), "scale", "minder", m.dir), minderInput)
	return m, err
}

// Start implements rehearse.Starter: it starts a machine's agent, which starts the sidecar.
func (m *realMachines) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", fmt.Errorf("settings of sidecar %d: %w", number, err)
	}
	if m.release == "" {
		if err := m.createRelease(fields); err != nil {
			return "", fmt.Errorf("release: %w", err)
		}
	}
	machine := &realMachine{name: fmt.Sprintf("r%02d", number)}
	dir := filepath.Join(m.dir, machine.name)
	machine.dataDir = filepath.Join(dir, "data")
	addr, text, err := m.agentConfig(machine, fields)
	if err != nil {
		return "", fmt.Errorf("configuration of agent %d: %w", number, err)
	}
	path := filepath.Join(dir, "agent.yaml")
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path, text, 0o600)); err != nil {
		return "", err
	}
	machine.agent, err = m.processes.start("petrelhook-agent-"+machine.name, exec.Command(m.options.program("petrelhook-agent"), "--config", path),
		nil, nil)
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, machine)
	return addr, nil
}

// agentConfig is the configuration of a machine's agent, as JSON, which is YAML too; addr is where its sidecar will serve. fields are the
// sidecar's settings.
func (m *realMachines) agentConfig(machine *realMachine, fields map[string]json.RawMessage) (addr string, text []byte, err error) {
	var addrs [4]string // of the sidecar, its two admin endpoints and the agent
	for i := range addrs {
		addr, release, err := sock.ReserveAddr()
		if err != nil {
			return "", nil, err
		}
		addrs[i], m.releaseAddrs = addr, append(m.releaseAddrs, release)
	}
	var settings struct {
		MyNumber int `json:"my_number"`
	}
	if err := json.Unmarshal(fields["settings"], &settings); err != nil {
		return "", nil, err
	}
	overrides := map[string]any{"settings.my_number": settings.MyNumber}
	for _, name := range m.sidecarFields {
		overrides[name] = fields[name]
	}
	var relays []string
	for _, r := range m.relays {
		relays = append(relays, r.addr)
	}
	text, err = json.Marshal(map[string]any{
		"application": realService, "listen": addrs[3], "data": machine.dataDir, "releases": filepath.Join(m.dir, "releases"),
		"release":       m.release,
		"configuration": map[string]any{"coordinators": relays, "member": machine.name},
		"sidecars": []any{map[string]any{"name": machine.name, "zone": "a", "listen": addrs[0],
			"admin_addresses": []string{addrs[1], addrs[2]}, "set": overrides}},
	})
	return addrs[0], text, err
}

// createRelease makes the release that all sidecars start with, from the settings of the first one.
func (m *realMachines) createRelease(fields map[string]json.RawMessage) error {
	var list string
	if err := json.Unmarshal(fields["discovery"], &list); err != nil {
		return err
	}
	for i := range m.lists {
		var err error
		if m.lists[i], err = newRelay(list); err != nil {
			return err
		}
	}
	all := map[string]any{"discovery": m.lists[0].addr}
	for name, v := range fields {
		if all[name] == nil {
			all[name] = v
		}
	}
	for _, name := range m.sidecarFields {
		delete(all, name)
	}
	m.settings = fields["settings"]
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	program, err := os.Open(m.options.program("petrelhook"))
	if err != nil {
		return err
	}
	defer func() { _ = program.Close() }()
	r, err := m.store.Add(program, strings.NewReader(string(text)))
	m.release = r.ID
	return err
}

// content is the content of a version. Its settings are the same each time but for the address of discovery, which a sidecar adopts
// as it runs, and, if quantum is not 0, the quantum, which takes a hand-over.
func (m *realMachines) content(number, quantum int) ([]byte, error) {
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(m.settings, &settings); err != nil {
		return nil, err
	}
	if quantum != 0 {
		settings["quantum_ms"] = fmt.Append(nil, quantum)
	}
	return json.Marshal(map[string]any{"discovery": m.lists[number%2].addr, "settings": settings})
}

// persistedState reads the agent's file about its sidecar.
func (m *realMachine) persistedState() (state agent.PersistedState, err error) {
	text, err := os.ReadFile(filepath.Join(m.dataDir, "sidecar-"+m.name+".json"))
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	return state, err
}

// statePollInterval is how often that file is read: measured times may be too long by this.
const statePollInterval = 10 * time.Millisecond

// pollStates records which versions come into force, until ctx ends.
func (m *realMachines) pollStates(ctx context.Context) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for {
		m.mu.Lock()
		all := m.all
		m.mu.Unlock()
		for i, machine := range all {
			if state, err := machine.persistedState(); err == nil { // at first there is no file
				m.observe(i, state.InForce)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe records the revision in force at machine i.
func (m *realMachines) observe(index int, revision distribute.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := m.all[index]
	previous := distribute.Revision(0)
	if n := len(machine.adoptions); n > 0 {
		previous = machine.adoptions[n-1].Revision
	}
	switch {
	case revision < previous && m.violation == nil:
		m.violation = fmt.Errorf("%s: revision %d is in force after %d", machine.name, revision, previous)
	case revision > previous:
		machine.adoptions = append(machine.adoptions, adoption{index, revision, int64(monotonic.Now())})
	default:
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits until a version, or a newer one, is in force at all machines, and returns what came into force from a revision on.
func (m *realMachines) await(ctx context.Context, revision, from distribute.Revision) (all []adoption, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, adoptionTimeout,
		fmt.Errorf("revision %d is not in force at all real machines within %v", revision, adoptionTimeout))
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		all = nil
		done := 0
		for _, machine := range m.all {
			if n := len(machine.adoptions); n > 0 && machine.adoptions[n-1].Revision >= revision {
				done++
			}
			for _, t := range machine.adoptions {
				if t.Revision >= from {
					all = append(all, t)
				}
			}
		}
		if m.violation != nil || done == len(m.all) {
			return all, m.violation
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			err = fmt.Errorf("%d of %d: %w", done, len(m.all), context.Cause(ctx))
		}
		m.mu.Lock()
		if err != nil {
			return nil, err
		}
	}
}

// usages are the usages of the agents and of the sidecars that serve.
func (m *realMachines) usages() (agents, sidecars []usage.Usage, err error) {
	for _, machine := range m.all {
		state, err := machine.persistedState()
		if err == nil && state.Serving == nil {
			err = fmt.Errorf("%s: no sidecar serves", machine.name)
		}
		if err != nil {
			return nil, nil, err
		}
		a, err := usage.Of(machine.agent.Pid)
		if err != nil {
			return nil, nil, err
		}
		s, err := usage.Of(state.Serving.PID)
		if err != nil {
			return nil, nil, err
		}
		agents, sidecars = append(agents, a), append(sidecars, s)
	}
	return agents, sidecars, nil
}

// traffic is what all agents exchanged with each coordinator, in the order of relays.
func (m *realMachines) traffic() (all []traffic) {
	for _, r := range m.relays {
		all = append(all, r.traffic())
	}
	return all
}

// stopTimeout bounds the time that sidecars take to end after SIGTERM.
const stopTimeout = 10 * time.Second

// Stop implements rehearse.Starter: agents end first, so that they do not restart sidecars.
func (m *realMachines) Stop() error {
	var agents []*child
	for _, machine := range m.all {
		agents = append(agents, machine.agent)
	}
	err := m.processes.terminate(agents...)
	ctx, cancel := context.WithTimeoutCause(context.Background(), stopTimeout,
		fmt.Errorf("sidecars did not end within %v of TERM", stopTimeout))
	defer cancel()
	for _, p := range runningSidecars(m.dir) {
		syscall.Kill(p.PID, syscall.SIGTERM)
	}
	return errors.Join(err, pollUntil(ctx, "all sidecars have ended", func() bool { return len(runningSidecars(m.dir)) == 0 }))
}

// close ends the minder, which ends sidecars that are left, and the relays. The agents have ended before.
func (m *realMachines) close() error {
	if m.input != nil {
		if m.minder != nil {
			m.minder.expectExit()
		}
		_ = m.input.Close()
		if m.minder != nil {
			<-m.minder.ended
		}
	}
	for _, r := range append(m.relays, m.lists[:]...) {
		if r != nil {
			r.close()
		}
	}
	for _, release := range m.releaseAddrs {
		release()
	}
	if m.minder == nil {
		return nil
	}
	return m.minder.err
}
