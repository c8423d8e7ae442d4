// Package machine is the shell of package agent: the processes of one machine's sidecars, started, asked, ended and found again. What is
// to be done it is told by agent.Sidecar and, of orders, by rollout.Fence; it decides nothing about them.
//
// Invariants: one goroutine owns all of it; what is kept is on the disk before anything that rests on it is done or answered; a signal
// goes to the process that is meant or to nobody; a start is made once, also if the agent is killed in the middle of it; an agent that
// ends leaves its sidecars as they are.
package machine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/release"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/subscribe"
)

// Machine is the agent's process.
type Machine struct {
	config      *Config
	log         *slog.Logger
	store       *release.Store
	lockFile    *os.File
	startedAt   time.Time
	sidecars    []*managedSidecar
	fence       rollout.Fence
	savedFence  rollout.Fence // as it is on the disk
	lastContact time.Duration // when a driver spoke last
	posted      chan func() error
	ended       chan struct{}

	runContext    context.Context // of Run, for what is begun beside
	background    sync.WaitGroup
	checkSlots    chan struct{} // one for each check that runs
	versions      map[distribute.Revision]distribute.Version
	newestVersion distribute.Revision // the newest of them
	subscription  versionSubscription // nil: nobody does
}

// versionSubscription tells of newer versions; a subscribe.Client is one.
type versionSubscription interface {
	Run(context.Context)
	Report(distribute.Report)
}

// managedSidecar is one sidecar.
type managedSidecar struct {
	*agent.Sidecar
	config     *SidecarConfig
	savedState agent.PersistedState
	probing    map[agent.Process]bool // its endpoint is being asked
	counts     map[agent.Process]json.RawMessage

	lastReport distribute.Report
}

// Open takes up the machine as it was left: what is kept, and what lives.
func Open(config *Config, log *slog.Logger) (*Machine, error) {
	return open(config, log, func(newest distribute.Revision, accept func(distribute.Version) error) versionSubscription {
		if len(config.Coordinators) == 0 {
			return nil
		}
		return subscribe.New(subscribe.Options{
			Addrs: config.Coordinators, Service: config.Application, Member: config.Member, Holds: newest, Take: accept, Log: log,
		})
	})
}

func open(
	config *Config, log *slog.Logger, newSubscription func(distribute.Revision, func(distribute.Version) error) versionSubscription,
) (*Machine, error) {
	if err := os.MkdirAll(filepath.Join(config.Data, "tmp"), 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(config.Data, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another agent is in charge of it: %w", config.Data, err)
	}
	m := &Machine{config: config, log: log, lockFile: lock, startedAt: time.Now(),
		posted: make(chan func() error, 256), ended: make(chan struct{}),
		checkSlots: make(chan struct{}, maxConcurrentChecks), versions: map[distribute.Revision]distribute.Version{}}
	if m.store, err = release.NewStore(config.Releases); err == nil {
		_, err = m.readState("fence", &m.fence)
	}
	if err == nil {
		_, err = m.readState("fence", &m.savedFence)
	}
	if err == nil {
		err = m.readVersions()
	}
	m.subscription = newSubscription(m.newestVersion, m.acceptVersion)
	for i := range config.Sidecars {
		if err == nil {
			err = m.restoreSidecar(&config.Sidecars[i])
		}
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return m, nil
}

func (m *Machine) now() time.Duration { return time.Since(m.startedAt) }

// restoreSidecar takes up one sidecar.
func (m *Machine) restoreSidecar(conf *SidecarConfig) error {
	u := &managedSidecar{config: conf, probing: map[agent.Process]bool{}, counts: map[agent.Process]json.RawMessage{}}
	m.sidecars = append(m.sidecars, u)
	was, err := m.readState("sidecar-"+conf.Name, &u.savedState)
	if err != nil {
		return err
	}
	if !was {
		if _, err := m.store.Open(release.ID(m.config.Release)); err != nil {
			return err
		}
		u.Sidecar = agent.New(m.config.Release, m.config.Limits)
		m.adoptNewestVersion(u)
		return m.carryOut(u, nil)
	}
	for _, version := range []distribute.Revision{u.savedState.InForce, u.savedState.Candidate} {
		if _, known := m.versions[version]; version != 0 && !known {
			return fmt.Errorf("%s: sidecar %s runs with it, and it is not there or damaged", m.versionFile(version), conf.Name)
		}
	}
	var found *agent.Process
	if u.savedState.StartCount > 0 && (u.savedState.Serving == nil || u.savedState.Phase == agent.Starting && u.savedState.Next == nil) {
		if found, err = claim(m.startFile(u, "start", u.savedState.StartCount)); err != nil {
			return err
		}
		if found != nil {
			found.Release, found.AdminAddress, found.StartNumber = u.savedState.Target, u.nextAdminAddress(), u.savedState.StartCount
			if u.savedState.Target == "" {
				found.Release = u.savedState.Confirmed
			}
		}
	}
	kept, todo := u.savedState, []agent.Action(nil)
	u.Sidecar, todo = agent.Restore(kept, m.config.Limits, m.now(), Lives, found)
	m.adoptNewestVersion(u)
	m.log.Info("taken up", "sidecar", conf.Name, "phase", kept.Phase.String(), "now", u.Serving, "next", u.Next, "found", found != nil)
	return m.carryOut(u, todo)
}

// lastStartFile is the name of a file of a sidecar's last start.
func (m *Machine) lastStartFile(u *managedSidecar, kind string) string {
	return m.startFile(u, kind, u.StartCount)
}

func (m *Machine) startFile(u *managedSidecar, kind string, startNumber uint64) string {
	return filepath.Join(m.config.Data, fmt.Sprintf("%s-%s-%d", kind, u.config.Name, startNumber))
}

// nextAdminAddress is the one for operators that a next process has.
func (u *managedSidecar) nextAdminAddress() string {
	for _, endpoint := range u.config.AdminAddresses {
		if u.savedState.Serving == nil || u.savedState.Serving.AdminAddress != endpoint {
			return endpoint
		}
	}
	return ""
}

// readState reads what is kept under a name; false: nothing is.
func (m *Machine) readState(name string, to any) (bool, error) {
	path := filepath.Join(m.config.Data, name+".json")
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	return true, nil
}

// writeState writes what is kept: beside, synced, renamed.
func (m *Machine) writeState(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(m.config.Data, name+".json"), text)
}

// replaceFile replaces a file as a whole: whoever reads it has the one or the other, also after a failure of the machine.
func replaceFile(path string, text []byte) error {
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// carryOut keeps what has changed, and only then does what is to be done.
func (m *Machine) carryOut(u *managedSidecar, actions []agent.Action) error {
	for first := true; first || len(actions) > 0; first = false {
		if err := m.saveState(u); err != nil {
			return err
		}
		if len(actions) == 0 {
			break
		}
		action := actions[0]
		actions = actions[1:]
		switch {
		case action.Start != "":
			actions = append(actions, m.startProcess(u, action.Start, action.Version)...)
		case action.Term != nil:
			signal(*action.Term, syscall.SIGTERM)
		case action.Kill != nil:
			signal(*action.Kill, syscall.SIGKILL)
		case action.Reload != nil:
			digest, err := m.reloadProcess(u, *action.Reload, action.Version)
			u.ReloadRequested(m.now(), *action.Reload, digest, err)
		case action.Check != nil:
			m.checkInBackground(u, *action.Check)
		}
	}
	err := m.saveState(u)
	if r := u.Report(u.config.Name); err == nil && r != u.lastReport { // what is reported is on the disk
		u.lastReport = r
		if m.subscription != nil {
			m.subscription.Report(r)
		}
	}
	return err
}

func (m *Machine) saveState(u *managedSidecar) error {
	was, _ := json.Marshal(u.savedState)
	is, _ := json.Marshal(u.PersistedState)
	if string(was) == string(is) {
		return nil
	}
	if err := m.writeState("sidecar-"+u.config.Name, u.PersistedState); err != nil {
		return err
	}
	if u.savedState.Phase != u.Phase || u.savedState.CompletedOrder != u.CompletedOrder {
		m.log.Info("sidecar", "name", u.config.Name, "phase", u.Phase.String(), "order", u.Order, "done", u.CompletedOrder, "failed", u.FailureReason, "fell", u.FallbackReason)
	}
	if was, is := u.savedState.ConfigurationState, u.ConfigurationState; was != is {
		m.log.Info("configuration", "sidecar", u.config.Name, "in_force", uint64(is.InForce), "trying", uint64(is.Candidate),
			"live", is.ByReload, "refused", uint64(is.Rejected), "why", is.RejectionReason)
	}
	u.savedState = cloneState(u.PersistedState)
	return nil
}

func cloneState(k agent.PersistedState) agent.PersistedState {
	for _, p := range []**agent.Process{&k.Serving, &k.Next, &k.Terminating} {
		if *p != nil {
			own := **p
			*p = &own
		}
	}
	return k
}

const retainedStarts = 8 // for how many starts files are left for people

// startProcess starts a release, with a version of its configuration.
func (m *Machine) startProcess(u *managedSidecar, id string, version distribute.Revision) []agent.Action {
	p, err := m.launch(u, id, version)
	if err != nil {
		m.log.Warn("not started", "sidecar", u.config.Name, "release", id, "err", err)
		if errors.Is(err, release.ErrNotFound) {
			u.ReleaseMissing(id)
		}
		return u.StartFailed(m.now(), err.Error())
	}
	p.Release, p.StartNumber = id, u.StartCount
	m.log.Info("started", "sidecar", u.config.Name, "release", id, "pid", p.PID)
	return u.ProcessStarted(m.now(), p)
}

func (m *Machine) launch(u *managedSidecar, id string, version distribute.Revision) (p agent.Process, err error) {
	r, err := m.store.Open(release.ID(id))
	if err != nil {
		return p, err
	}
	config := m.lastStartFile(u, "config")
	if err := m.writeSettings(u.config, r, m.versions[version].Content, config); err != nil {
		return p, err
	}
	m.removeOldFiles(u)
	return startProgram(m.lastStartFile(u, "start"), m.lastStartFile(u, "log"), r.Program, config, filepath.Join(m.config.Data, "tmp"), u.nextAdminAddress())
}

// removeOldFiles removes the files of old starts, but not those of a process that lives: it reads its configuration again.
func (m *Machine) removeOldFiles(u *managedSidecar) {
	entries, _ := os.ReadDir(m.config.Data)
	for _, e := range entries {
		for _, what := range []string{"start", "config", "log"} {
			rest, ok := strings.CutPrefix(e.Name(), what+"-"+u.config.Name+"-")
			n, err := strconv.ParseUint(rest, 10, 64)
			if !ok || err != nil || n+retainedStarts > u.StartCount {
				continue
			}
			lives := func(p *agent.Process) bool { return p != nil && p.StartNumber == n }
			if !slices.ContainsFunc([]*agent.Process{u.Serving, u.Next, u.Terminating}, lives) {
				os.Remove(filepath.Join(m.config.Data, e.Name()))
			}
		}
	}
}

// writeSettings writes a release's settings for a sidecar, with a version's over them.
func (m *Machine) writeSettings(s *SidecarConfig, r release.Release, version []byte, path string) error {
	text, err := mergedSettings(s, r, version)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func mergedSettings(s *SidecarConfig, r release.Release, version []byte) ([]byte, error) {
	text, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, err
	}
	return s.settings(text, version)
}

// Run is in charge until ctx ends. An error is one of the disk: what is kept is not known, and only a new start can tell.
func (m *Machine) Run(ctx context.Context, ln net.Listener) error {
	defer m.lockFile.Close()
	defer m.background.Wait()
	defer close(m.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.runContext = ctx
	if m.subscription != nil {
		m.background.Go(func() { m.subscription.Run(ctx) })
	}
	mux := http.NewServeMux()
	rpc.Handle(mux, PathStatus, maxRequestBytes, m.handleStatus)
	rpc.Handle(mux, PathOrder, maxRequestBytes, m.handleOrder)
	rpc.Handle(mux, PathCheck, maxRequestBytes, m.handleCheck)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: slog.NewLogLogger(m.log.Handler(), slog.LevelDebug)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	defer server.Close()
	tick := time.NewTicker(m.config.PollInterval)
	defer tick.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case err = <-failed:
		case f := <-m.posted:
			err = f()
		case <-tick.C:
			err = m.tick(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// tick looks at all processes, and at the clock.
func (m *Machine) tick(ctx context.Context) error {
	for _, u := range m.sidecars {
		var todo []agent.Action
		for _, p := range []*agent.Process{u.Serving, u.Next, u.Terminating} {
			if p != nil && !Lives(*p) {
				said := ""
				if p == u.Next { // whose start was the last
					said = lastLogLine(m.lastStartFile(u, "log"))
				}
				todo = append(todo, u.ProcessExited(m.now(), *p, said)...)
			}
		}
		u.SetIsolated(m.now(), m.now()-m.lastContact >= m.config.ContactTimeout)
		if err := m.carryOut(u, append(todo, u.Tick(m.now())...)); err != nil {
			return err
		}
		for p := range u.counts {
			if !u.runs(p) {
				delete(u.counts, p)
			}
		}
		for _, p := range []*agent.Process{u.Serving, u.Next} {
			if p != nil && !u.probing[*p] {
				u.probing[*p] = true
				m.background.Go(func() { m.probe(ctx, u, *p) })
			}
		}
	}
	return nil
}

func (u *managedSidecar) runs(p agent.Process) bool {
	return u.Serving != nil && *u.Serving == p || u.Next != nil && *u.Next == p
}

// post has f run by the goroutine that owns the machine; false: it has ended.
func (m *Machine) post(f func() error) bool {
	select {
	case m.posted <- f:
		return true
	case <-m.ended:
		return false
	}
}
