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
	c      *Config
	log    *slog.Logger
	store  *release.Store
	lock   *os.File
	began  time.Time
	units  []*unit
	fence  rollout.Fence
	kept   rollout.Fence // as it is on the disk
	heard  time.Duration // when a driver spoke last
	events chan func() error
	ended  chan struct{}

	ctx      context.Context // of Run, for what is begun beside
	sides    sync.WaitGroup
	checks   chan struct{} // one for each check that runs
	versions map[distribute.Revision]distribute.Version
	holds    distribute.Revision // the newest of them
	tells    subscription        // nil: nobody does
}

// subscription tells of newer versions; a subscribe.Client is one.
type subscription interface {
	Run(context.Context)
	Report(distribute.Report)
}

// unit is one sidecar.
type unit struct {
	*agent.Sidecar
	conf  *Sidecar
	saved agent.PersistedState
	asked map[agent.Process]bool // its endpoint is being asked
	said  map[agent.Process]json.RawMessage

	reported distribute.Report
}

// Open takes up the machine as it was left: what is kept, and what lives.
func Open(c *Config, log *slog.Logger) (*Machine, error) {
	return open(c, log, func(holds distribute.Revision, take func(distribute.Version) error) subscription {
		if len(c.Coordinators) == 0 {
			return nil
		}
		return subscribe.New(subscribe.Options{
			Addrs: c.Coordinators, Service: c.Application, Member: c.Member, Revision: holds, Store: take, Log: log,
		})
	})
}

func open(
	c *Config, log *slog.Logger, tells func(distribute.Revision, func(distribute.Version) error) subscription,
) (*Machine, error) {
	if err := os.MkdirAll(filepath.Join(c.Data, "tmp"), 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(c.Data, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another agent is in charge of it: %w", c.Data, err)
	}
	m := &Machine{c: c, log: log, lock: lock, began: time.Now(),
		events: make(chan func() error, 256), ended: make(chan struct{}),
		checks: make(chan struct{}, atOnce), versions: map[distribute.Revision]distribute.Version{}}
	if m.store, err = release.NewStore(c.Releases); err == nil {
		_, err = m.read("fence", &m.fence)
	}
	if err == nil {
		_, err = m.read("fence", &m.kept)
	}
	if err == nil {
		err = m.readVersions()
	}
	m.tells = tells(m.holds, m.taken)
	for i := range c.Sidecars {
		if err == nil {
			err = m.take(&c.Sidecars[i])
		}
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	return m, nil
}

func (m *Machine) now() time.Duration { return time.Since(m.began) }

// take takes up one sidecar.
func (m *Machine) take(conf *Sidecar) error {
	u := &unit{conf: conf, asked: map[agent.Process]bool{}, said: map[agent.Process]json.RawMessage{}}
	m.units = append(m.units, u)
	was, err := m.read("sidecar-"+conf.Name, &u.saved)
	if err != nil {
		return err
	}
	if !was {
		if _, err := m.store.Open(release.ID(m.c.Release)); err != nil {
			return err
		}
		u.Sidecar = agent.New(m.c.Release, m.c.Limits)
		m.want(u)
		return m.after(u, nil)
	}
	for _, version := range []distribute.Revision{u.saved.InForce, u.saved.Trying} {
		if _, known := m.versions[version]; version != 0 && !known {
			return fmt.Errorf("%s: sidecar %s runs with it, and it is not there or damaged", m.versionFile(version), conf.Name)
		}
	}
	var found *agent.Process
	if u.saved.Starts > 0 && (u.saved.Serving == nil || u.saved.Phase == agent.Starting && u.saved.Next == nil) {
		if found, err = claim(m.numbered(u, "start", u.saved.Starts)); err != nil {
			return err
		}
		if found != nil {
			found.Release, found.AdminAddress, found.Start = u.saved.Target, u.endpoint(), u.saved.Starts
			if u.saved.Target == "" {
				found.Release = u.saved.Confirmed
			}
		}
	}
	kept, todo := u.saved, []agent.Action(nil)
	u.Sidecar, todo = agent.Restore(kept, m.c.Limits, m.now(), Lives, found)
	m.want(u)
	m.log.Info("taken up", "sidecar", conf.Name, "phase", kept.Phase.String(), "now", u.Serving, "next", u.Next, "found", found != nil)
	return m.after(u, todo)
}

// path is the name of a file of a sidecar's last start.
func (m *Machine) path(u *unit, what string) string { return m.numbered(u, what, u.Starts) }

func (m *Machine) numbered(u *unit, what string, n uint64) string {
	return filepath.Join(m.c.Data, fmt.Sprintf("%s-%s-%d", what, u.conf.Name, n))
}

// endpoint is the one for operators that a next process has.
func (u *unit) endpoint() string {
	for _, endpoint := range u.conf.Doors {
		if u.saved.Serving == nil || u.saved.Serving.AdminAddress != endpoint {
			return endpoint
		}
	}
	return ""
}

// read reads what is kept under a name; false: nothing is.
func (m *Machine) read(name string, to any) (bool, error) {
	path := filepath.Join(m.c.Data, name+".json")
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

// keep writes what is kept: beside, synced, renamed.
func (m *Machine) keep(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replace(filepath.Join(m.c.Data, name+".json"), text)
}

// replace replaces a file as a whole: whoever reads it has the one or the other, also after a failure of the machine.
func replace(path string, text []byte) error {
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

// after keeps what has changed, and only then does what is to be done.
func (m *Machine) after(u *unit, todo []agent.Action) error {
	for first := true; first || len(todo) > 0; first = false {
		if err := m.save(u); err != nil {
			return err
		}
		if len(todo) == 0 {
			break
		}
		do := todo[0]
		todo = todo[1:]
		switch {
		case do.Start != "":
			todo = append(todo, m.begin(u, do.Start, do.Version)...)
		case do.Term != nil:
			signal(*do.Term, syscall.SIGTERM)
		case do.Kill != nil:
			signal(*do.Kill, syscall.SIGKILL)
		case do.Reload != nil:
			digest, err := m.tell(u, *do.Reload, do.Version)
			u.Told(m.now(), *do.Reload, digest, err)
		case do.Check != nil:
			m.verify(u, *do.Check)
		}
	}
	err := m.save(u)
	if r := u.Report(u.conf.Name); err == nil && r != u.reported { // what is reported is on the disk
		u.reported = r
		if m.tells != nil {
			m.tells.Report(r)
		}
	}
	return err
}

func (m *Machine) save(u *unit) error {
	was, _ := json.Marshal(u.saved)
	is, _ := json.Marshal(u.PersistedState)
	if string(was) == string(is) {
		return nil
	}
	if err := m.keep("sidecar-"+u.conf.Name, u.PersistedState); err != nil {
		return err
	}
	if u.saved.Phase != u.Phase || u.saved.Done != u.Done {
		m.log.Info("sidecar", "name", u.conf.Name, "phase", u.Phase.String(), "order", u.Order, "done", u.Done, "failed", u.Failed, "fell", u.FallbackReason)
	}
	if was, is := u.saved.Configured, u.Configured; was != is {
		m.log.Info("configuration", "sidecar", u.conf.Name, "in_force", uint64(is.InForce), "trying", uint64(is.Trying),
			"live", is.Live, "refused", uint64(is.Refused), "why", is.Why)
	}
	u.saved = copied(u.PersistedState)
	return nil
}

func copied(k agent.PersistedState) agent.PersistedState {
	for _, p := range []**agent.Process{&k.Serving, &k.Next, &k.Terminating} {
		if *p != nil {
			own := **p
			*p = &own
		}
	}
	return k
}

const keptStarts = 8 // for how many starts files are left for people

// begin starts a release, with a version of its configuration.
func (m *Machine) begin(u *unit, id string, version distribute.Revision) []agent.Action {
	p, err := m.start(u, id, version)
	if err != nil {
		m.log.Warn("not started", "sidecar", u.conf.Name, "release", id, "err", err)
		if errors.Is(err, release.ErrNone) {
			u.Lost(id)
		}
		return u.NotBegun(m.now(), err.Error())
	}
	p.Release, p.Start = id, u.Starts
	m.log.Info("started", "sidecar", u.conf.Name, "release", id, "pid", p.PID)
	return u.Began(m.now(), p)
}

func (m *Machine) start(u *unit, id string, version distribute.Revision) (p agent.Process, err error) {
	r, err := m.store.Open(release.ID(id))
	if err != nil {
		return p, err
	}
	config := m.path(u, "config")
	if err := m.write(u.conf, r, m.versions[version].Content, config); err != nil {
		return p, err
	}
	m.forget(u)
	return start(m.path(u, "start"), m.path(u, "log"), r.Program, config, filepath.Join(m.c.Data, "tmp"), u.endpoint())
}

// forget removes the files of old starts, but not those of a process that lives: it reads its configuration again.
func (m *Machine) forget(u *unit) {
	entries, _ := os.ReadDir(m.c.Data)
	for _, e := range entries {
		for _, what := range []string{"start", "config", "log"} {
			rest, ok := strings.CutPrefix(e.Name(), what+"-"+u.conf.Name+"-")
			n, err := strconv.ParseUint(rest, 10, 64)
			if !ok || err != nil || n+keptStarts > u.Starts {
				continue
			}
			lives := func(p *agent.Process) bool { return p != nil && p.Start == n }
			if !slices.ContainsFunc([]*agent.Process{u.Serving, u.Next, u.Terminating}, lives) {
				os.Remove(filepath.Join(m.c.Data, e.Name()))
			}
		}
	}
}

// write writes a release's settings for a sidecar, with a version's over them.
func (m *Machine) write(s *Sidecar, r release.Release, version []byte, path string) error {
	text, err := merged(s, r, version)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func merged(s *Sidecar, r release.Release, version []byte) ([]byte, error) {
	text, err := os.ReadFile(r.Settings)
	if err != nil {
		return nil, err
	}
	return s.settings(text, version)
}

// Run is in charge until ctx ends. An error is one of the disk: what is kept is not known, and only a new start can tell.
func (m *Machine) Run(ctx context.Context, ln net.Listener) error {
	defer m.lock.Close()
	defer m.sides.Wait()
	defer close(m.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.ctx = ctx
	if m.tells != nil {
		m.sides.Go(func() { m.tells.Run(ctx) })
	}
	mux := http.NewServeMux()
	rpc.Handle(mux, PathStatus, maxCall, m.look)
	rpc.Handle(mux, PathOrder, maxCall, m.order)
	rpc.Handle(mux, PathCheck, maxCall, m.check)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		ErrorLog: slog.NewLogLogger(m.log.Handler(), slog.LevelDebug)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	defer server.Close()
	tick := time.NewTicker(m.c.Look)
	defer tick.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case err = <-failed:
		case f := <-m.events:
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
	for _, u := range m.units {
		var todo []agent.Action
		for _, p := range []*agent.Process{u.Serving, u.Next, u.Terminating} {
			if p != nil && !Lives(*p) {
				said := ""
				if p == u.Next { // whose start was the last
					said = lastWords(m.path(u, "log"))
				}
				todo = append(todo, u.Died(m.now(), *p, said)...)
			}
		}
		u.Cut(m.now(), m.now()-m.heard >= m.c.Heard)
		if err := m.after(u, append(todo, u.Tick(m.now())...)); err != nil {
			return err
		}
		for p := range u.said {
			if !u.has(p) {
				delete(u.said, p)
			}
		}
		for _, p := range []*agent.Process{u.Serving, u.Next} {
			if p != nil && !u.asked[*p] {
				u.asked[*p] = true
				m.sides.Go(func() { m.ask(ctx, u, *p) })
			}
		}
	}
	return nil
}

func (u *unit) has(p agent.Process) bool {
	return u.Serving != nil && *u.Serving == p || u.Next != nil && *u.Next == p
}

// post has f run by the goroutine that owns the machine; false: it has ended.
func (m *Machine) post(f func() error) bool {
	select {
	case m.events <- f:
		return true
	case <-m.ended:
		return false
	}
}
