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
	"syscall"
	"time"

	"petrelhook/internal/agent"
	"petrelhook/internal/release"
	"petrelhook/internal/rollout"
	"petrelhook/internal/rpc"
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
}

// unit is one sidecar.
type unit struct {
	*agent.Sidecar
	conf  *Sidecar
	saved agent.Kept
	asked map[agent.Process]bool // its door is being asked
	said  map[agent.Process]json.RawMessage
}

// Open takes up the machine as it was left: what is kept, and what lives.
func Open(c *Config, log *slog.Logger) (*Machine, error) {
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
	m := &Machine{c: c, log: log, lock: lock, began: time.Now(), events: make(chan func() error, 256), ended: make(chan struct{})}
	if m.store, err = release.NewStore(c.Releases); err == nil {
		_, err = m.read("fence", &m.fence)
	}
	if err == nil {
		_, err = m.read("fence", &m.kept)
	}
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
		return m.after(u, nil)
	}
	var found *agent.Process
	if u.saved.Starts > 0 && (u.saved.Now == nil || u.saved.Phase == agent.Starting && u.saved.Next == nil) {
		if found, err = claim(m.numbered(u, "start", u.saved.Starts)); err != nil {
			return err
		}
		if found != nil {
			found.Release, found.Door = u.saved.To, u.door()
			if u.saved.To == "" {
				found.Release = u.saved.Confirmed
			}
		}
	}
	kept, todo := u.saved, []agent.Do(nil)
	u.Sidecar, todo = agent.Again(kept, m.c.Limits, m.now(), Lives, found)
	m.log.Info("taken up", "sidecar", conf.Name, "phase", kept.Phase.String(), "now", u.Now, "next", u.Next, "found", found != nil)
	return m.after(u, todo)
}

// path is the name of a file of a sidecar's last start.
func (m *Machine) path(u *unit, what string) string { return m.numbered(u, what, u.Starts) }

func (m *Machine) numbered(u *unit, what string, n uint64) string {
	return filepath.Join(m.c.Data, fmt.Sprintf("%s-%s-%d", what, u.conf.Name, n))
}

// door is the one for operators that a next process has.
func (u *unit) door() string {
	for _, door := range u.conf.Doors {
		if u.saved.Now == nil || u.saved.Now.Door != door {
			return door
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
	path := filepath.Join(m.c.Data, name+".json")
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
	dir, err := os.Open(m.c.Data)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// after keeps what has changed, and only then does what is to be done.
func (m *Machine) after(u *unit, todo []agent.Do) error {
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
			todo = append(todo, m.begin(u, do.Start)...)
		case do.Term != nil:
			signal(*do.Term, syscall.SIGTERM)
		case do.Kill != nil:
			signal(*do.Kill, syscall.SIGKILL)
		}
	}
	return m.save(u)
}

func (m *Machine) save(u *unit) error {
	was, _ := json.Marshal(u.saved)
	is, _ := json.Marshal(u.Kept)
	if string(was) == string(is) {
		return nil
	}
	if err := m.keep("sidecar-"+u.conf.Name, u.Kept); err != nil {
		return err
	}
	if u.saved.Phase != u.Phase || u.saved.Done != u.Done {
		m.log.Info("sidecar", "name", u.conf.Name, "phase", u.Phase.String(), "order", u.Order, "done", u.Done, "failed", u.Failed, "fell", u.Fell)
	}
	u.saved = copied(u.Kept)
	return nil
}

func copied(k agent.Kept) agent.Kept {
	for _, p := range []**agent.Process{&k.Now, &k.Next} {
		if *p != nil {
			own := **p
			*p = &own
		}
	}
	return k
}

const keptStarts = 8 // for how many starts files are left for people

// begin starts a release.
func (m *Machine) begin(u *unit, id string) []agent.Do {
	p, err := m.start(u, id)
	if err != nil {
		m.log.Warn("not started", "sidecar", u.conf.Name, "release", id, "err", err)
		if errors.Is(err, release.ErrNone) {
			u.Lost(id)
		}
		return u.NotBegun(m.now(), err.Error())
	}
	p.Release = id
	m.log.Info("started", "sidecar", u.conf.Name, "release", id, "pid", p.PID)
	return u.Began(m.now(), p)
}

func (m *Machine) start(u *unit, id string) (p agent.Process, err error) {
	r, err := m.store.Open(release.ID(id))
	if err != nil {
		return p, err
	}
	config := m.path(u, "config")
	if err := m.write(u.conf, r, config); err != nil {
		return p, err
	}
	if u.Starts > keptStarts {
		for _, what := range []string{"start", "config", "log"} {
			os.Remove(m.numbered(u, what, u.Starts-keptStarts))
		}
	}
	return start(m.path(u, "start"), m.path(u, "log"), r.Program, config, filepath.Join(m.c.Data, "tmp"), u.door())
}

// write writes a release's settings for a sidecar.
func (m *Machine) write(s *Sidecar, r release.Release, path string) error {
	text, err := os.ReadFile(r.Settings)
	if err == nil {
		text, err = s.settings(text)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Run is in charge until ctx ends. An error is one of the disk: what is kept is not known, and only a new start can tell.
func (m *Machine) Run(ctx context.Context, ln net.Listener) error {
	defer m.lock.Close()
	defer close(m.ended)
	mux := http.NewServeMux()
	rpc.Handle(mux, PathLook, maxCall, m.look)
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
		var todo []agent.Do
		for _, p := range []*agent.Process{u.Now, u.Next} {
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
		for _, p := range []*agent.Process{u.Now, u.Next} {
			if p != nil && !u.asked[*p] {
				u.asked[*p] = true
				go m.ask(ctx, u, *p)
			}
		}
	}
	return nil
}

func (u *unit) has(p agent.Process) bool {
	return u.Now != nil && *u.Now == p || u.Next != nil && *u.Next == p
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
