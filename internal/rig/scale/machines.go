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
	realService = "real"     // of all real machines
	machinesDir = "machines" // of a run's folder
)

// machines are a run's real ones: an agent each (petrelhook-agent), with one sidecar (petrelhook) that it starts. Agents
// have the settings that operators' files have where nothing else is said. They reach the coordinators by relays,
// which count for all of them. As a rehearse.Starter they are handed their sidecars by a rehearsal, which sends the
// load and judges the rules.
type machines struct {
	o            *Options
	family       *family
	dir          string
	ways         []*relay // to each coordinator, in the order that hollow members have
	coordinators []string
	lists        [2]*relay  // both lead to the one list of servers
	own          []string   // fields that each sidecar has by itself
	minder       *child     // ends sidecars that nobody else is left to end
	input        *os.File   // the minder's: it waits for the end of it
	first        release.ID // that all sidecars run
	store        *release.Store
	held         []int // sockets that keep addresses

	settings json.RawMessage // of the release: what requests are like

	mu      sync.Mutex
	all     []*oneMachine
	changed chan struct{} // closed when a version has come into force at one
	bad     error         // the first thing that must not be
}

// oneMachine is one; takes are machines.mu's.
type oneMachine struct {
	agent *child
	data  string // the agent's folder
	name  string // of the sidecar
	takes []take // versions that came into force, as the agent kept it
}

// newMachines are none yet. coordinators are the addresses, as members have them.
func newMachines(o *Options, f *family, dir string, coordinators []string) (_ *machines, err error) {
	m := &machines{o: o, family: f, dir: filepath.Join(dir, machinesDir), coordinators: coordinators,
		own:     []string{"known", "seed", "limits"},
		changed: make(chan struct{})}
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
		m.ways = append(m.ways, way)
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
	m.minder, err = f.startApart("minder", exec.Command(o.program("petrelhookctl"), "scale", "minder", m.dir), theirs)
	return m, err
}

// Start implements rehearse.Starter.
func (m *machines) Start(number int, config []byte) (addr string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(config, &fields); err != nil {
		return "", err
	}
	if m.first == "" {
		if err := m.release(fields); err != nil {
			return "", err
		}
	}
	var addrs [4]string // of the sidecar, its two operators' endpoints and the agent
	for i := range addrs {
		addr, fd, err := reserve()
		if err != nil {
			return "", err
		}
		addrs[i], m.held = addr, append(m.held, fd)
	}
	var settings struct {
		MyNumber int `json:"my_number"`
	}
	if err := json.Unmarshal(fields["settings"], &settings); err != nil {
		return "", err
	}
	set := map[string]any{"settings.my_number": settings.MyNumber}
	for _, name := range m.own {
		set[name] = fields[name]
	}
	one := &oneMachine{name: fmt.Sprintf("r%02d", number)}
	dir := filepath.Join(m.dir, one.name)
	one.data = filepath.Join(dir, "data")
	var ways []string
	for _, w := range m.ways {
		ways = append(ways, w.addr)
	}
	text, err := json.Marshal(map[string]any{ // which is YAML
		"application": realService, "listen": addrs[3], "data": one.data, "releases": filepath.Join(m.dir, "releases"),
		"release":       m.first,
		"configuration": map[string]any{"coordinators": ways, "member": one.name},
		"sidecars": []any{map[string]any{"name": one.name, "zone": "a", "listen": addrs[0],
			"admin_addresses": []string{addrs[1], addrs[2]}, "set": set}},
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "agent.yaml")
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(path, text, 0o600)); err != nil {
		return "", err
	}
	one.agent, err = m.family.start("petrelhook-agent-"+one.name, exec.Command(m.o.program("petrelhook-agent"), "--config", path),
		nil, nil)
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = append(m.all, one)
	return addrs[0], nil
}

// release makes the release that all sidecars run, of the first one's settings.
func (m *machines) release(fields map[string]json.RawMessage) error {
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
	for _, name := range m.own {
		delete(all, name)
	}
	m.settings = fields["settings"]
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	program, err := os.Open(m.o.program("petrelhook"))
	if err != nil {
		return err
	}
	defer func() { _ = program.Close() }()
	r, err := m.store.Add(program, strings.NewReader(string(text)))
	m.first = r.ID
	return err
}

// content is that of a version, in which the same settings stand each time: the list of servers is elsewhere, which a
// sidecar takes as it runs; and, where the quantum is another, what takes a hand-over.
func (m *machines) content(number, quantum int) ([]byte, error) {
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(m.settings, &settings); err != nil {
		return nil, err
	}
	if quantum != 0 {
		settings["quantum_ms"] = fmt.Append(nil, quantum)
	}
	return json.Marshal(map[string]any{"discovery": m.lists[number%2].addr, "settings": settings})
}

// kept is what an agent has kept of its sidecar.
func (one *oneMachine) kept() (k agent.PersistedState, err error) {
	text, err := os.ReadFile(filepath.Join(one.data, "sidecar-"+one.name+".json"))
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	return k, err
}

// keptEvery is how often that is looked at: by so much a time may be too long.
const keptEvery = 10 * time.Millisecond

// follow notes which versions come into force, until ctx ends.
func (m *machines) follow(ctx context.Context) {
	look := time.NewTicker(keptEvery)
	defer look.Stop()
	for {
		m.mu.Lock()
		all := m.all
		m.mu.Unlock()
		for i, one := range all {
			if k, err := one.kept(); err == nil { // none, at first
				m.inForce(i, k.InForce)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}

// inForce takes in what was seen of one.
func (m *machines) inForce(i int, revision distribute.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := m.all[i]
	was := distribute.Revision(0)
	if n := len(one.takes); n > 0 {
		was = one.takes[n-1].Revision
	}
	switch {
	case revision < was && m.bad == nil:
		m.bad = fmt.Errorf("%s: revision %d is in force after %d", one.name, revision, was)
	case revision > was:
		one.takes = append(one.takes, take{i, revision, int64(monotonic.Now())})
	default:
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// await waits until a version, or a newer one, is in force at all, and gives what came into force since a revision.
func (m *machines) await(ctx context.Context, holds, from distribute.Revision) (all []take, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, takenWithin,
		fmt.Errorf("revision %d is not in force at all real machines within %v", holds, takenWithin))
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for {
		all = nil
		done := 0
		for _, one := range m.all {
			if n := len(one.takes); n > 0 && one.takes[n-1].Revision >= holds {
				done++
			}
			for _, t := range one.takes {
				if t.Revision >= from {
					all = append(all, t)
				}
			}
		}
		if m.bad != nil || done == len(m.all) {
			return all, m.bad
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

// usages are those of the agents and of the sidecars that serve.
func (m *machines) usages() (agents, sidecars []usage.Usage, err error) {
	for _, one := range m.all {
		k, err := one.kept()
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

// carried is what went between all agents and a coordinator, as that one has it.
func (m *machines) carried() (all []traffic) {
	for _, w := range m.ways {
		all = append(all, w.carried())
	}
	return all
}

// stopWithin is how long sidecars may take to end.
const stopWithin = 10 * time.Second

// Stop implements rehearse.Starter: agents end first, so that they start nothing anew.
func (m *machines) Stop() error {
	var agents []*child
	for _, one := range m.all {
		agents = append(agents, one.agent)
	}
	err := m.family.end(agents...)
	ctx, cancel := context.WithTimeoutCause(context.Background(), stopWithin,
		fmt.Errorf("sidecars did not end within %v of TERM", stopWithin))
	defer cancel()
	for _, p := range processes(m.dir) {
		syscall.Kill(p.PID, syscall.SIGTERM)
	}
	return errors.Join(err, until(ctx, "all sidecars have ended", func() bool { return len(processes(m.dir)) == 0 }))
}

// close ends all that is left, once the agents have ended.
func (m *machines) close() error {
	if m.input != nil {
		if m.minder != nil {
			m.minder.ask()
		}
		_ = m.input.Close()
		if m.minder != nil {
			<-m.minder.ended
		}
	}
	for _, w := range append(m.ways, m.lists[:]...) {
		if w != nil {
			w.close()
		}
	}
	for _, fd := range m.held {
		_ = syscall.Close(fd)
	}
	if m.minder == nil {
		return nil
	}
	return m.minder.err
}
