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
	reserved      []int // sockets that reserve addresses

	settings json.RawMessage // of the release

	mu        sync.Mutex
	all       []*realMachine
	changed   chan struct{} // closed, and made anew, when a version has come into force at a machine
	violation error         // the first version that came into force after a newer one
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
		way, err := newRelay(addr)
		if err != nil {
			return nil, err
		}
		m.relays = append(m.relays, way)
	}
	if m.store, err = release.NewStore(filepath.Join(m.dir, "releases")); err != nil {
		return nil, err
	}
	theirs, input, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = theirs.Close() }()
	m.input = input
	m.minder, err = processes.startDetached("minder", exec.Command(o.program("petrelhookctl"), "scale", "minder", m.dir), theirs)
	return m, err
}

// Start implements rehearse.Starter.
func (m *realMachines) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", err
	}
	if m.release == "" {
		if err := m.createRelease(fields); err != nil {
			return "", err
		}
	}
	var addrs [4]string // of the sidecar, its two admin endpoints and the agent
	for i := range addrs {
		addr, fd, err := reserve()
		if err != nil {
			return "", err
		}
		addrs[i], m.reserved = addr, append(m.reserved, fd)
	}
	var settings struct {
		MyNumber int `json:"my_number"`
	}
	if err := json.Unmarshal(fields["settings"], &settings); err != nil {
		return "", err
	}
	overrides := map[string]any{"settings.my_number": settings.MyNumber}
	for _, name := range m.sidecarFields {
		overrides[name] = fields[name]
	}
	machine := &realMachine{name: fmt.Sprintf("r%02d", number)}
	dir := filepath.Join(m.dir, machine.name)
	machine.dataDir = filepath.Join(dir, "data")
	var relays []string
	for _, w := range m.relays {
		relays = append(relays, w.addr)
	}
	text, err := json.Marshal(map[string]any{ // JSON is YAML
		"application": realService, "listen": addrs[3], "data": machine.dataDir, "releases": filepath.Join(m.dir, "releases"),
		"release":       m.release,
		"configuration": map[string]any{"coordinators": relays, "member": machine.name},
		"sidecars": []any{map[string]any{"name": machine.name, "zone": "a", "listen": addrs[0],
			"admin_addresses": []string{addrs[1], addrs[2]}, "set": overrides}},
	})
	if err != nil {
		return "", err
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
	return addrs[0], nil
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
func (one *realMachine) persistedState() (k agent.PersistedState, err error) {
	text, err := os.ReadFile(filepath.Join(one.dataDir, "sidecar-"+one.name+".json"))
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	return k, err
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
		for i, one := range all {
			if k, err := one.persistedState(); err == nil { // at first there is no file
				m.observe(i, k.InForce)
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
		for _, one := range m.all {
			if n := len(one.adoptions); n > 0 && one.adoptions[n-1].Revision >= revision {
				done++
			}
			for _, t := range one.adoptions {
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
	for _, one := range m.all {
		k, err := one.persistedState()
		if err == nil && k.Serving == nil {
			err = fmt.Errorf("%s: no sidecar serves", one.name)
		}
		if err != nil {
			return nil, nil, err
		}
		a, err := usage.Of(one.agent.Pid)
		if err != nil {
			return nil, nil, err
		}
		s, err := usage.Of(k.Serving.PID)
		if err != nil {
			return nil, nil, err
		}
		agents, sidecars = append(agents, a), append(sidecars, s)
	}
	return agents, sidecars, nil
}

// traffic is what all agents exchanged with each coordinator, in the order of relays.
func (m *realMachines) traffic() (all []traffic) {
	for _, w := range m.relays {
		all = append(all, w.traffic())
	}
	return all
}

// stopTimeout bounds the time that sidecars take to end after SIGTERM.
const stopTimeout = 10 * time.Second

// Stop implements rehearse.Starter: agents end first, so that they do not restart sidecars.
func (m *realMachines) Stop() error {
	var agents []*child
	for _, one := range m.all {
		agents = append(agents, one.agent)
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
	for _, w := range append(m.relays, m.lists[:]...) {
		if w != nil {
			w.close()
		}
	}
	for _, fd := range m.reserved {
		_ = syscall.Close(fd)
	}
	if m.minder == nil {
		return nil
	}
	return m.minder.err
}
