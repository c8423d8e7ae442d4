package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"petrelhook/internal/common/sock"
	"petrelhook/internal/rig/audit"
	"petrelhook/internal/rig/scenario"
)

// server is one place of the fleet: an address at which one process after another runs.
type server struct {
	f    *Fleet
	def  scenario.Server
	addr string // fixed once it has listened

	mu   sync.Mutex
	life *life // nil: no process runs
	full int   // faults of that kind that are on
	part map[scenario.Kind]float64
	slow float64
	n    int // of instances that had this place

	greed greed
}

// life is one process.
type life struct {
	s        *server
	name     string
	cores    *cores
	pressure *scenario.Pressure
	began    time.Duration
	cold     scenario.SlowStart
	fell     time.Duration
	started  int64 // Unix milliseconds; 0: long ago
	ln       net.Listener
	ctx      context.Context
	kill     context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{} // nil: it has ended
}

func newServer(f *Fleet, def scenario.Server) *server {
	return &server{f: f, def: def, addr: "127.0.0.1:0", part: map[scenario.Kind]float64{}, slow: 1}
}

// begin starts a process by a name.
func (s *server) begin(name string, cold scenario.SlowStart) error {
	ln, err := s.f.net.Listen(s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &life{
		s: s, name: name, cold: cold, cores: newCores(s.def, cold), ln: ln, began: s.f.now(), fell: audit.Never,
		conns: map[net.Conn]struct{}{},
	}
	if s.n++; s.n > 1 { // not from the run's start on
		l.pressure = scenario.NewPressure(s.f.s.Rules, s.def, cold)
		l.started = time.Now().UnixMilli()
	} else {
		l.began = audit.Never
	}
	l.ctx, l.kill = context.WithCancel(context.Background())
	l.cores.setSlow(s.slow)
	if s.life = l; s.n == 1 { // the address is fixed from now on, and read without a lock
		s.addr = ln.Addr().String()
	}
	s.f.spawn(l.accept)
	return nil
}

// end ends the process that runs, if one does: its connections are reset, what it had is gone.
func (s *server) end() {
	s.mu.Lock()
	l := s.life
	s.life = nil
	s.mu.Unlock()
	if l == nil {
		return
	}
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	s.f.rec.Incarnation(audit.Incarnation{Server: l.name, FirstInstance: s.def.Name, Start: l.began, End: s.f.now(), SlowStart: l.cold, CollapsedAt: l.fell})
}

// stop closes all that a life has open.
func (l *life) stop() {
	l.ln.Close()
	l.kill()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		sock.Abort(c)
	}
	l.conns = nil
}

// fall: it was pushed over, and stays down.
func (l *life) fall() {
	l.mu.Lock()
	again := l.fell != audit.Never
	if !again {
		l.fell = l.s.f.now()
	}
	l.mu.Unlock()
	if !again {
		l.s.publish(audit.Removed)
		l.stop()
	}
}

func (l *life) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.conns == nil {
			l.mu.Unlock()
			sock.Abort(c)
			return
		}
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		l.s.f.spawn(func() {
			(&exchange{l: l, c: c}).serve()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
			c.Close()
		})
	}
}

// strikes reports whether a fault that befalls a part of the requests befalls this one.
func (s *server) strikes(kind scenario.Kind, trace string) bool {
	s.mu.Lock()
	part := s.part[kind]
	s.mu.Unlock()
	return part > 0 && s.f.draw(string(kind), s.def.Name, trace) < part
}

func (s *server) turnsAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full > 0
}

// member is what discovery says of the place's present instance.
func (s *server) member(state audit.State, started int64) member {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := s.def.Name
	if s.life != nil {
		name = s.life.name
	}
	return member{
		ID: name, HostPort: s.addr, Zone: s.def.Zone, Kind: s.def.Kind, Cell: s.def.Cell,
		Lifecycle: state, Weight: float64(s.def.Cores) * s.def.Speed, StartedAt: started,
	}
}

// events are what a fault does to this server, and when.
func (s *server) events(fault scenario.Fault) []event {
	lasting := func(begin, end func()) []event {
		run := func(f func()) func() error { return func() error { f(); return nil } }
		return []event{{fault.At, run(begin)}, {fault.At + fault.Duration, run(end)}}
	}
	switch fault.Kind {
	case scenario.Slow:
		return lasting(func() { s.setSlow(fault.Factor) }, func() { s.setSlow(1) })
	case scenario.Stall:
		var at *life
		return lasting(func() { at = s.present(); at.stall(true) }, func() { at.stall(false) })
	case scenario.RejectAll:
		return lasting(func() { s.addFull(1) }, func() { s.addFull(-1) })
	case scenario.Isolated:
		return lasting(func() { s.f.net.Isolate(s.addr) }, func() { s.f.net.Restore(s.addr) })
	case scenario.Drain:
		return []event{{fault.At, func() error { s.publish(audit.Draining); return nil }}}
	case scenario.Terminate, scenario.Replace, scenario.Restart:
		return s.ending(fault)
	}
	return lasting(func() { s.setPart(fault.Kind, fault.Fraction) }, func() { s.setPart(fault.Kind, 0) })
}

// ending is the end of a process, and of the one that comes after it, if one does.
func (s *server) ending(fault scenario.Fault) (all []event) {
	if fault.Kind != scenario.Restart {
		all = append(all, event{fault.At, func() error { s.publish(audit.Draining); return nil }})
	}
	all = append(all, event{fault.At + fault.DrainTime, func() error {
		s.publish(audit.Removed)
		s.end()
		return nil
	}})
	if fault.Kind == scenario.Terminate {
		return all
	}
	return append(all, event{fault.At + fault.DrainTime + fault.Downtime, func() error {
		name := s.def.Name
		if fault.Kind == scenario.Replace {
			s.mu.Lock()
			name = fmt.Sprintf("%s.%d", s.def.Name, s.n+1)
			s.mu.Unlock()
		}
		if err := s.begin(name, fault.SlowStart); err != nil {
			return err
		}
		s.publish(audit.Up)
		return nil
	}})
}

// publish has discovery know of the present instance's state.
func (s *server) publish(state audit.State) {
	l := s.present()
	if l == nil {
		return // it had ended before
	}
	s.f.discovery.change(s.member(state, l.started))
}

func (s *server) present() *life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// stall stops or resumes a life; what has ended has nothing to stop.
func (l *life) stall(on bool) {
	switch {
	case l == nil:
	case on:
		l.cores.stall()
	default:
		l.cores.resume()
	}
}

func (s *server) setSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow = factor; s.life != nil {
		s.life.cores.setSlow(factor)
	}
}

func (s *server) setPart(kind scenario.Kind, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part[kind] = part
}

func (s *server) addFull(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full += n
}
