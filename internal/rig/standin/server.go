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

// server is one address of the fleet, at which one process after another runs.
type server struct {
	fleet *Fleet
	def   scenario.Server
	addr  string // fixed once it has listened

	mu             sync.Mutex
	process        *process // nil: no process runs
	fullFaults     int      // active faults by which the server rejects all requests
	faultFractions map[scenario.Kind]float64
	slowdown       float64
	instances      int // that ran at this address so far

	greed greed
}

// process is one incarnation of a server.
type process struct {
	server      *server
	name        string
	cores       *cores
	pressure    *scenario.Pressure
	began       time.Duration
	slowStart   scenario.SlowStart
	collapsedAt time.Duration
	started     int64 // Unix milliseconds; 0: long ago
	listener    net.Listener
	ctx         context.Context
	kill        context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{} // nil: the process has ended
}

// newServer is a server at which no process runs yet.
func newServer(f *Fleet, def scenario.Server) *server {
	return &server{fleet: f, def: def, addr: "127.0.0.1:0", faultFractions: map[scenario.Kind]float64{}, slowdown: 1}
}

// begin starts a process with a name.
func (s *server) begin(name string, slowStart scenario.SlowStart) error {
	ln, err := s.fleet.net.Listen(s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &process{
		server: s, name: name, slowStart: slowStart, cores: newCores(s.def, slowStart), listener: ln, began: s.fleet.now(), collapsedAt: audit.Never,
		conns: map[net.Conn]struct{}{},
	}
	if s.instances++; s.instances > 1 { // it starts during the run
		p.pressure = scenario.NewPressure(s.fleet.scenario.Rules, s.def, slowStart)
		p.started = time.Now().UnixMilli()
	} else {
		p.began = audit.Never
	}
	p.ctx, p.kill = context.WithCancel(context.Background())
	p.cores.setSlowdown(s.slowdown)
	if s.process = p; s.instances == 1 { // the address is fixed from now on, and read without a lock
		s.addr = ln.Addr().String()
	}
	s.fleet.spawn(p.accept)
	return nil
}

// end ends the process that runs, if there is one: its connections are reset, and its requests are lost.
func (s *server) end() {
	s.mu.Lock()
	p := s.process
	s.process = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	s.fleet.recorder.Incarnation(audit.Incarnation{Server: p.name, FirstInstance: s.def.Name, Start: p.began, End: s.fleet.now(), SlowStart: p.slowStart, CollapsedAt: p.collapsedAt})
}

// stop closes the listener and all connections of a process.
func (p *process) stop() {
	p.listener.Close()
	p.kill()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		sock.Abort(c)
	}
	p.conns = nil
}

// collapse ends a process that was overloaded in its slow start. It is not started again.
func (p *process) collapse() {
	p.mu.Lock()
	again := p.collapsedAt != audit.Never
	if !again {
		p.collapsedAt = p.server.fleet.now()
	}
	p.mu.Unlock()
	if !again {
		p.server.publish(audit.Removed)
		p.stop()
	}
}

// accept serves connections until the process ends.
func (p *process) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.conns == nil {
			p.mu.Unlock()
			sock.Abort(c)
			return
		}
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		p.server.fleet.spawn(func() {
			(&exchange{process: p, conn: c}).serve()
			p.mu.Lock()
			delete(p.conns, c)
			p.mu.Unlock()
			c.Close()
		})
	}
}

// faultHits reports whether a fault that affects a fraction of the requests affects this one.
func (s *server) faultHits(kind scenario.Kind, trace string) bool {
	s.mu.Lock()
	fraction := s.faultFractions[kind]
	s.mu.Unlock()
	return fraction > 0 && s.fleet.draw(string(kind), s.def.Name, trace) < fraction
}

// full reports whether a fault has the server reject all requests.
func (s *server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullFaults > 0
}

// member is the entry of discovery's list for the present instance.
func (s *server) member(state audit.State, started int64) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := s.def.Name
	if s.process != nil {
		name = s.process.name
	}
	return Member{
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
		return lasting(func() { s.setSlowdown(fault.Factor) }, func() { s.setSlowdown(1) })
	case scenario.Stall:
		var at *process
		return lasting(func() { at = s.current(); at.stall(true) }, func() { at.stall(false) })
	case scenario.RejectAll:
		return lasting(func() { s.addFullFault(1) }, func() { s.addFullFault(-1) })
	case scenario.Isolated:
		return lasting(func() { s.fleet.net.Isolate(s.addr) }, func() { s.fleet.net.Restore(s.addr) })
	case scenario.Drain:
		return []event{{fault.At, func() error { s.publish(audit.Draining); return nil }}}
	case scenario.Terminate, scenario.Replace, scenario.Restart:
		return s.endEvents(fault)
	}
	return lasting(func() { s.setFaultFraction(fault.Kind, fault.Fraction) }, func() { s.setFaultFraction(fault.Kind, 0) })
}

// endEvents are the end of a process, and the start of the next one, if there is one.
func (s *server) endEvents(fault scenario.Fault) (all []event) {
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
			name = fmt.Sprintf("%s.%d", s.def.Name, s.instances+1)
			s.mu.Unlock()
		}
		if err := s.begin(name, fault.SlowStart); err != nil {
			return err
		}
		s.publish(audit.Up)
		return nil
	}})
}

// publish gives discovery the state of the present instance.
func (s *server) publish(state audit.State) {
	p := s.current()
	if p == nil {
		return // it had ended before
	}
	s.fleet.discovery.change(s.member(state, p.started))
}

// current is the process that runs; nil: none does.
func (s *server) current() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// stall stops or resumes a process; p is nil if none ran.
func (p *process) stall(on bool) {
	switch {
	case p == nil:
	case on:
		p.cores.stall()
	default:
		p.cores.resume()
	}
}

// setSlowdown sets the factor of this process and of those that follow it.
func (s *server) setSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowdown = factor; s.process != nil {
		s.process.cores.setSlowdown(factor)
	}
}

// setFaultFraction sets the fraction of requests that a kind of fault affects.
func (s *server) setFaultFraction(kind scenario.Kind, fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFractions[kind] = fraction
}

// addFullFault changes the number of active faults by which the server rejects all requests.
func (s *server) addFullFault(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullFaults += n
}
